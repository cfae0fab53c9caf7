//! Backends that a request crashes, and that are back some seconds later.

use std::{
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http,
    rig::{Record, Run, Runs, next_number, work},
    store::Store,
};

/// Path of the request that crashes the backends that run it.
pub const CRASH_PATH: &str = "/orders/crash";

/// Interval of a backend's writes, its slots, and its work; as in dts-riga, it is slow for 3 s after a
/// start.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const SLOTS: u32 = 2;
const WORK: Duration = Duration::from_millis(20);
const COLD: Duration = Duration::from_secs(3);
const COLD_FACTOR: f64 = 1.6;

/// Time for which a backend that has crashed is away.
const AWAY: Duration = Duration::from_secs(4);

/// Time of three heartbeats, after which the store removes the entry of a silent backend.
const LAPSE: Duration = Duration::from_millis(3_600);

/// A backend machine, on which one incarnation after the other runs.
pub struct Machine {
    address: SocketAddr,
    service: String,
    /// Whether requests to [`CRASH_PATH`] crash the backends.
    is_harmful: bool,
    store: Store,
    runs: Runs,
    record: Record,
    starts: AtomicU64,
    /// Time until which the backend is slow after its start.
    cold_until: Mutex<Instant>,
    free: (Mutex<u32>, Condvar),
    has_crashed: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Machine {
    /// Starts a machine, whose backends have a service.
    pub fn start(
        service: &str,
        is_harmful: bool,
        store: &Store,
        runs: &Runs,
        record: &Record,
    ) -> io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let machine = Arc::new(Self {
            address: listener.local_addr()?,
            service: service.to_owned(),
            is_harmful,
            store: store.clone(),
            runs: runs.clone(),
            record: record.clone(),
            starts: AtomicU64::new(0),
            cold_until: Mutex::new(Instant::now()),
            free: (Mutex::new(SLOTS), Condvar::new()),
            has_crashed: AtomicBool::new(false),
            open: Mutex::default(),
        });
        thread::spawn(move || machine.run(listener));
        Ok(())
    }

    fn run(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let number = self.starts.fetch_add(1, Ordering::Relaxed);
            let name = format!("i-{}-{number}", self.address.port());
            let bound = listener
                .take()
                .map_or_else(|| TcpListener::bind(self.address), Ok);
            let Ok(bound) = bound else {
                thread::sleep(Duration::from_millis(50));
                continue;
            };
            let _ = bound.set_nonblocking(true);
            self.has_crashed.store(false, Ordering::Relaxed);
            let born = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |it| it.as_millis());
            let started = Instant::now();
            let cold = if number == 0 { Duration::ZERO } else { COLD };
            *self.cold_until.lock().expect("no panic") = started + cold;
            let mut beats = 0;
            while !self.has_crashed.load(Ordering::Relaxed) {
                if started.elapsed() >= HEARTBEAT * beats {
                    beats += 1;
                    let cold_left = cold.saturating_sub(started.elapsed()).as_millis();
                    // The entry changes only when more than `seq` does.
                    if beats == 1 || !cold.is_zero() && started.elapsed() < cold + HEARTBEAT {
                        let spec = format!(
                            r#"{{"service":"{}","addr":"{}","zone":"riga-a","version":"v1","slots":{SLOTS},"state":"ready","coldLeftMs":{cold_left},"seq":{beats},"born":{born}}}"#,
                            self.service, self.address
                        );
                        self.store.put("servers", &name, spec.as_bytes());
                    }
                }
                match bound.accept() {
                    Ok((stream, _)) => self.serve(stream, &name),
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
            drop(bound);
            for stream in self.open.lock().expect("no panic").drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            let store = self.store.clone();
            thread::spawn(move || {
                thread::sleep(LAPSE);
                store.remove("servers", &name);
            });
            thread::sleep(AWAY);
        }
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream, name: &str) {
        let (own, name) = (Arc::clone(self), name.to_owned());
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let (Ok(input), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        self.open.lock().expect("no panic").push(kept);
        thread::spawn(move || {
            let mut input = BufReader::new(input);
            while let Ok(req) = http::read_request(&mut input) {
                if !own.answer(&req, &mut stream, &name) {
                    return;
                }
            }
        });
    }

    /// Waits for a slot; returns false if the backend crashes meanwhile.
    fn take_slot(&self) -> bool {
        let mut free = self.free.0.lock().expect("no panic");
        while *free == 0 {
            free = self.free.1.wait(free).expect("no panic");
        }
        *free -= 1;
        drop(free);
        let has_crashed = self.has_crashed.load(Ordering::Relaxed);
        if has_crashed {
            self.give_slot();
        }
        !has_crashed
    }

    fn give_slot(&self) {
        *self.free.0.lock().expect("no panic") += 1;
        self.free.1.notify_one();
    }

    fn answer(&self, req: &http::Request, stream: &mut TcpStream, name: &str) -> bool {
        if self.has_crashed.load(Ordering::Relaxed) {
            return false;
        }
        if req.target == "/health" {
            return stream
                .write_all(&http::encode(200, &[("X-Instance-Id", name)], b""))
                .is_ok();
        }
        let id = req.header("X-Request-Id").to_owned();
        let expected = req.header("X-Expect-Instance");
        if !expected.is_empty() && expected != name {
            let headers = [("X-Request-Id", id.as_str()), ("X-Not-Executed", "1")];
            return stream.write_all(&http::encode(421, &headers, b"")).is_ok();
        }
        if !self.take_slot() {
            return false;
        }
        let number = next_number();
        let run = Run {
            stamp: format!("{name}.{number}"),
            body: format!("{number:016}").into_bytes(),
            id: id.clone(),
            backend: name.to_owned(),
            at: Instant::now(),
        };
        if req.target == CRASH_PATH && self.is_harmful {
            self.runs.add(run);
            self.record
                .line(&format!("crash    {name} begins to run {id} and crashes"));
            self.has_crashed.store(true, Ordering::Relaxed);
            self.give_slot();
            return false;
        }
        self.record.line(&format!(
            "run      {id} {} {} by {name}",
            req.method, req.target
        ));
        let is_cold = Instant::now() < *self.cold_until.lock().expect("no panic");
        let is_open = work(
            stream,
            if is_cold {
                WORK.mul_f64(COLD_FACTOR)
            } else {
                WORK
            },
        );
        self.give_slot();
        if !is_open || self.has_crashed.load(Ordering::Relaxed) {
            return false;
        }
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Server-Stamp", run.stamp.as_str()),
        ];
        stream
            .write_all(&http::encode(200, &headers, &run.body))
            .is_ok()
    }
}
