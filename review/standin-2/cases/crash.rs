//! A request crashes each backend that begins to run it, and comes again after each rolling restart.

use std::{
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use super::Outcome;
use crate::{
    http::{self, Connection},
    rig::{Instance, Record, Run, Runs, Tally, configure, next_number, route},
    store::Store,
};

const SETTLE: Duration = Duration::from_millis(4_000);

/// Crashes after which the retries are counted, and the most retries that are allowed then.
const CRASHES: usize = 3;
const MAX_RETRIES: usize = 3;

/// Time for which a backend that has crashed is away.
const AWAY: Duration = Duration::from_secs(3);

/// Time of three heartbeats, after which the store removes the entry of a silent backend.
const LAPSE: Duration = Duration::from_millis(3_600);

const BACKENDS: usize = 8;
const CRASH_PATH: &str = "/orders/crash";

/// How often the request comes, and a rolling restart between two times.
const TIMES: usize = 6;

/// A backend machine, on which one incarnation after the other runs.
struct Machine {
    address: SocketAddr,
    store: Store,
    runs: Runs,
    record: Record,
    starts: AtomicU64,
    has_crashed: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Machine {
    fn run(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let name = format!(
                "i-{}-{}",
                self.address.port(),
                self.starts.fetch_add(1, Ordering::Relaxed)
            );
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
            let spec = format!(
                r#"{{"service":"order-desk","addr":"{}","zone":"riga-a","version":"v1","slots":2,"state":"ready","coldLeftMs":0,"seq":1,"born":{born}}}"#,
                self.address
            );
            self.store.put("servers", &name, spec.as_bytes());
            while !self.has_crashed.load(Ordering::Relaxed) {
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
        let number = next_number();
        let run = Run {
            stamp: format!("{name}.{number}"),
            body: format!("{number:016}").into_bytes(),
            id: id.clone(),
            backend: name.to_owned(),
            at: Instant::now(),
        };
        if req.target == CRASH_PATH {
            self.runs.add(run);
            self.record
                .line(&format!("crash    {name} begins to run {id} and crashes"));
            self.has_crashed.store(true, Ordering::Relaxed);
            return false;
        }
        thread::sleep(Duration::from_millis(20));
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Server-Stamp", run.stamp.as_str()),
        ];
        stream
            .write_all(&http::encode(200, &headers, &run.body))
            .is_ok()
    }
}

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let (store, runs) = (Store::default(), Runs::default());
    let address = store.serve();
    for _ in 0..BACKENDS {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let machine = Arc::new(Machine {
            address: listener.local_addr().map_err(|e| e.to_string())?,
            store: store.clone(),
            runs: runs.clone(),
            record: record.clone(),
            starts: AtomicU64::new(0),
            has_crashed: AtomicBool::new(false),
            open: Mutex::default(),
        });
        thread::spawn(move || machine.run(listener));
    }
    let routes = [route("r-1", "/orders/", "idempotent", "order-desk", 2_000)];
    configure(&store, 3, &routes, &["order-desk"]);
    let mut instances: Vec<Instance> = (1..=2)
        .map(|at| Instance::new(&format!("edge-riga-a-{at}"), "riga-a", address))
        .collect();
    for it in &mut instances {
        it.start().map_err(|e| e.to_string())?;
    }
    for it in &instances {
        if !it.wait_ready() {
            return Err("an instance is not ready".into());
        }
        it.end_first_start();
    }
    thread::sleep(Duration::from_secs(6));
    let fronts: Vec<SocketAddr> = instances.iter().map(|it| it.front).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let tally = Tally::default();
    let usual = {
        let (is_over, tally, fronts) = (Arc::clone(&is_over), tally.clone(), fronts.clone());
        thread::spawn(move || {
            for number in 0_usize.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("u{number}");
                let sent =
                    get(fronts[number % 2], &format!("/orders/{number}"), &id).or_else(|_| {
                        get(
                            fronts[(number + 1) % 2],
                            &format!("/orders/{number}"),
                            &format!("{id}r"),
                        )
                    });
                tally.add(&sent.map_or_else(|_| "none".to_owned(), |it| it.to_string()));
                thread::sleep(Duration::from_millis(40));
            }
        })
    };
    let mut last_start = Instant::now();
    for time in 1..=TIMES {
        // All machines are in touch again.
        thread::sleep((SETTLE + Duration::from_millis(500)).saturating_sub(last_start.elapsed()));
        let id = format!("c{time}");
        record.line(&format!("send     {id} GET {CRASH_PATH}"));
        let end = get(fronts[time % 2], CRASH_PATH, &id);
        record.line(&format!("answer   {id} {end:?}"));
        thread::sleep(Duration::from_secs(2));
        if trouble && time < TIMES {
            for it in &mut instances {
                restart(it, record)?;
            }
            last_start = Instant::now();
        } else {
            thread::sleep(Duration::from_secs(9));
        }
    }
    is_over.store(true, Ordering::Relaxed);
    let _ = usual.join();
    record.line(&format!("answers  to other requests: {tally}"));
    let all = runs.all();
    record.line(&format!("crashes  {} in all", all.len()));
    let Some(third) = all.get(CRASHES - 1) else {
        return Ok(None);
    };
    let late: Vec<&Run> = all
        .iter()
        .filter(|run| run.at > third.at + SETTLE)
        .collect();
    // Those beyond the first of each client attempt, the narrowest reading of "retries".
    let mut ids: Vec<&str> = late.iter().map(|run| run.id.as_str()).collect();
    ids.dedup();
    let retries = late.len() - ids.len();
    record.line(&format!(
        "retries  later than settleWindowMs after the third crash {} arrivals, {retries} of them beyond the \
         first of a client attempt",
        late.len()
    ));
    Ok((retries > MAX_RETRIES).then(|| {
        format!(
            "BUDGET: later than settleWindowMs after it had crashed {CRASHES} backends, a request reached \
             backends {} times, {retries} of them in retries of the instances, and crashed {} in all",
            late.len(),
            all.len()
        )
    }))
}

/// Stops an instance as the platform does, and starts it again.
fn restart(instance: &mut Instance, record: &Record) -> Result<(), String> {
    record.line("signal   SIGTERM");
    instance.signal("TERM");
    let end = Instant::now() + Duration::from_secs(6);
    while instance.ended().is_none() && Instant::now() < end {
        thread::sleep(Duration::from_millis(20));
    }
    instance.kill();
    thread::sleep(Duration::from_millis(200));
    instance.start().map_err(|e| e.to_string())?;
    match instance.wait_ready() {
        true => record.line("start    ready again"),
        false => return Err("an instance is not ready after its restart".into()),
    }
    Ok(())
}

fn get(front: SocketAddr, target: &str, id: &str) -> io::Result<u16> {
    let headers = [
        ("Host", "dts.example"),
        ("X-Request-Id", id),
        ("X-Timeout-Remaining", "2000"),
    ];
    Ok(Connection::open(front, Duration::from_secs(3))?
        .get(target, &headers)?
        .status)
}
