//! Stand-in for a backend: slots, a queue, and the checks that PROTOCOL.md names.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Conn, Message},
    record::Record,
};

/// What one backend is like.
#[derive(Clone)]
pub struct Kind {
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    /// Bytes of its answers.
    pub bytes: usize,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

pub struct Backend {
    pub id: String,
    pub address: SocketAddr,
    pub kind: Kind,
    born: u64,
    load: Mutex<Load>,
    freed: Condvar,
    is_draining: AtomicBool,
    /// Seconds at which requests reached it, with their ids.
    reached: Mutex<Vec<(f64, String)>>,
    record: Record,
}

impl Backend {
    pub fn start(id: &str, kind: Kind, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let born = std::time::UNIX_EPOCH.elapsed().expect("a clock").as_millis() as u64;
        let backend = Arc::new(Self {
            id: id.into(),
            address: listener.local_addr().expect("an address"),
            kind,
            born,
            load: Mutex::default(),
            freed: Condvar::new(),
            is_draining: AtomicBool::new(false),
            reached: Mutex::default(),
            record: record.clone(),
        });
        let serving = Arc::clone(&backend);
        http::serve(listener, move |mut conn| {
            while let Ok(Some(request)) = conn.read(false) {
                if !serving.answer(&mut conn, &request) {
                    return;
                }
            }
        });
        backend
    }

    /// Returns what it writes to the store.
    pub fn entry(&self, seq: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{}\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{}}}",
            self.kind.service,
            self.address,
            self.kind.zone,
            self.kind.slots,
            if self.is_draining.load(Ordering::Relaxed) { "draining" } else { "ready" },
            self.born
        )
    }

    /// Reports from now on that it is draining, also in all its answers, and goes on serving.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Writes an answer; returns whether the connection stays open.
    fn write(&self, conn: &mut Conn, line: &str, headers: &[(&str, &str)], body: &[u8]) -> bool {
        let is_draining = self.is_draining.load(Ordering::Relaxed);
        let mut headers = headers.to_vec();
        if is_draining {
            headers.extend([("Server-Leaving", "1"), ("Connection", "close")]);
        }
        conn.write(line, &headers, body).is_ok() && !is_draining
    }

    /// Returns the ids of the requests that reached it later than a time in seconds.
    pub fn reached_after(&self, from: f64) -> Vec<String> {
        let reached = self.reached.lock().unwrap();
        let late = reached.iter().filter(|(at, _)| *at > from);
        late.map(|(_, id)| id.clone()).collect()
    }

    /// Answers a request; returns whether the connection stays open.
    fn answer(&self, conn: &mut Conn, request: &Message) -> bool {
        if request.path() == "/health" {
            let headers = [("X-Instance-Id", self.id.as_str())];
            let line = match self.is_draining.load(Ordering::Relaxed) {
                true => "HTTP/1.1 503 Service Unavailable",
                false => "HTTP/1.1 200 OK",
            };
            return self.write(conn, line, &headers, b"");
        }
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        if request.header("x-expect-instance").is_some_and(|it| it != self.id) {
            let headers = [("X-Instance-Id", self.id.as_str()), ("X-Request-Id", &id)];
            return self.write(conn, "HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        self.reached.lock().unwrap().push((self.record.now(), id.clone()));
        let not_executed = [("X-Not-Executed", "1"), ("X-Request-Id", id.as_str())];
        let left = request.header("x-timeout-remaining").and_then(|it| it.parse().ok());
        let until = Instant::now() + Duration::from_millis(left.unwrap_or(60_000));
        {
            let mut load = self.load.lock().unwrap();
            if load.running >= self.kind.slots && load.waiting >= self.kind.queue {
                drop(load);
                let line = "HTTP/1.1 503 Service Unavailable";
                return self.write(conn, line, &not_executed, b"");
            }
            load.waiting += 1;
            while load.running >= self.kind.slots {
                load = self.freed.wait_timeout(load, Duration::from_millis(10)).unwrap().0;
                if conn.is_closed() || Instant::now() >= until {
                    break;
                }
            }
            load.waiting -= 1;
            if load.running >= self.kind.slots {
                return false;
            }
            load.running += 1;
        }
        self.record.write(&format!("run {id} at {} ({})", self.id, self.kind.service));
        let end = Instant::now() + self.kind.work;
        let mut is_open = true;
        while is_open && Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            thread::sleep(left.min(Duration::from_millis(10)));
            is_open = !conn.is_closed();
        }
        self.load.lock().unwrap().running -= 1;
        self.freed.notify_all();
        if !is_open {
            return false;
        }
        let stamp = format!("{}.{id}", self.id);
        let headers = [("X-Request-Id", id.as_str()), ("X-Server-Stamp", &stamp)];
        let body = vec![b'x'; self.kind.bytes];
        self.write(conn, "HTTP/1.1 200 OK", &headers, &body)
    }
}
