//! Backends: each answers after its work, and notes which requests it ran.

use std::{
    io::{self, BufReader},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{http, record::Record, store::Store};

/// Requests that a backend processes concurrently, and requests that wait for that.
const SLOTS: usize = 2;
const QUEUE: usize = 12;

/// Time for which a backend is slow after it has started during traffic, and how much slower.
const COLD_TIME: Duration = Duration::from_secs(3);
const COLD_FACTOR: f64 = 1.6;

/// A request that a backend ran: its id, its path and the time.
pub type Run = (String, String, Duration);

/// A backend; clones are the same one.
#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub born: u64,
    cold_until: Option<Instant>,
    pub work: Duration,
    seq: Arc<AtomicU64>,
    draining: Arc<AtomicBool>,
    runs: Arc<Mutex<Vec<Run>>>,
    load: Arc<Load>,
    record: Record,
}

impl Backend {
    /// Starts a backend; `is_cold` tells that it starts during traffic.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
        is_cold: bool,
        record: Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let backend = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |it| it.as_millis() as u64),
            cold_until: is_cold.then(|| Instant::now() + COLD_TIME),
            work,
            seq: Arc::new(AtomicU64::new(1)),
            draining: Arc::default(),
            runs: Arc::default(),
            load: Arc::default(),
            record,
        };
        let server = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        backend
    }

    /// Returns the time for which it stays slow.
    fn cold_left(&self) -> Duration {
        let until = self
            .cold_until
            .map(|it| it.saturating_duration_since(Instant::now()));
        until.unwrap_or_default()
    }

    /// Returns the requests that it ran.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Registers the backend in the store, as ready or draining.
    pub fn register(&self, store: &Store, state: &str) {
        self.draining.store(state == "draining", Ordering::Relaxed);
        let seq = self.seq.fetch_add(1, Ordering::Relaxed);
        let Self {
            service,
            zone,
            address,
            born,
            ..
        } = self;
        let cold_left = self.cold_left().as_millis();
        let entry = format!(
            r#"{{"service":"{service}","addr":"{address}","zone":"{zone}","version":"v1","slots":{SLOTS},"state":"{state}","coldLeftMs":{cold_left},"seq":{seq},"born":{born}}}"#
        );
        store.put("servers", &self.id, &entry);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(input) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(input);
        while let Ok(Some(request)) = http::read(&mut input) {
            if self.answer(&stream, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &TcpStream, request: &http::Message) -> io::Result<()> {
        let id = request.header("x-request-id");
        if request.first[1] == "/health" {
            let status = if self.draining.load(Ordering::Relaxed) {
                503
            } else {
                200
            };
            return http::respond(stream, status, &[("X-Instance-Id", &self.id)], b"");
        }
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            let headers = [("X-Request-Id", id), ("X-Instance-Id", &self.id)];
            return http::respond(stream, 421, &headers, b"");
        }
        let Some(_slot) = Slot::take(&self.load) else {
            self.record
                .write(&format!("backend {} rejects {id}", self.id));
            let headers = [("X-Request-Id", id), ("X-Not-Executed", "1")];
            return http::respond(stream, 503, &headers, b"");
        };
        if is_closed(stream) {
            self.record.write(&format!(
                "backend {} drops {id}, whose caller has left",
                self.id
            ));
            return Err(io::ErrorKind::NotConnected.into());
        }
        let now = self.record.now();
        self.record.write(&format!(
            "backend {} ({}) runs {id} {}",
            self.id, self.service, request.first[1]
        ));
        let run = (id.to_owned(), request.first[1].clone(), now);
        self.runs.lock().unwrap().push(run);
        let is_cold = !self.cold_left().is_zero();
        thread::sleep(self.work.mul_f64(if is_cold { COLD_FACTOR } else { 1.0 }));
        let stamp = format!("{}.{id}.ok", self.id);
        let mut headers = vec![
            ("X-Request-Id", id),
            ("X-Server-Stamp", &*stamp),
            ("Keep-Alive", "timeout=10"),
        ];
        if self.draining.load(Ordering::Relaxed) {
            headers.push(("Server-Leaving", "1"));
        }
        http::respond(stream, 200, &headers, format!("{:016}", 7).as_bytes())
    }
}

/// Requests that run and that wait at a backend.
#[derive(Default)]
struct Load {
    counts: Mutex<(usize, usize)>,
    freed: Condvar,
}

/// A slot of a backend; dropping it frees it.
struct Slot(Arc<Load>);

impl Slot {
    /// Waits for a slot; `None` if the queue is full.
    fn take(load: &Arc<Load>) -> Option<Self> {
        let mut counts = load.counts.lock().unwrap();
        if counts.0 >= SLOTS {
            if counts.1 >= QUEUE {
                return None;
            }
            counts.1 += 1;
            counts = load.freed.wait_while(counts, |it| it.0 >= SLOTS).unwrap();
            counts.1 -= 1;
        }
        counts.0 += 1;
        Some(Self(load.clone()))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.counts.lock().unwrap().0 -= 1;
        self.0.freed.notify_one();
    }
}

/// Returns whether the caller has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_read_timeout(None);
    match peeked {
        Ok(read) => read == 0,
        Err(e) => !matches!(
            e.kind(),
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
        ),
    }
}
