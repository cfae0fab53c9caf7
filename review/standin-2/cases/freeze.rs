//! The machine of an instance freezes once, for some seconds, at usual load.

use std::{
    io::{self, Write},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::Outcome;
use crate::{
    http::Connection,
    rig::{Backend, Instance, Power, Record, Runs, Tally, configure, no_fault, route},
    store::Store,
};

/// Longest of the users' standard days for the kind `node_freeze`: 4.8 s.
const FREEZE: Duration = Duration::from_millis(4_500);

/// Work of a request: between those of the two searches, 15 and 5 ms, and that of `order-status`.
const WORK: Duration = Duration::from_millis(30);

/// Requests a second: 45% of what two backends with two slots serve.
const RATE: f64 = 60.0;

/// Time that a client waits in all, as in `docket-sweep`.
const DEADLINE: Duration = Duration::from_millis(1_200);

/// Time that a machine has after the freeze, twice `settleWindowMs`.
const SETTLE: Duration = Duration::from_secs(8);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let (store, runs) = (Store::default(), Runs::default());
    let address = store.serve();
    let power = Power {
        work: WORK,
        slots: 2,
    };
    for (name, service) in [
        ("i-1", "order-desk"),
        ("i-2", "order-desk"),
        ("i-3", "billing-ledger"),
    ] {
        let it = Backend::start(name, service, "riga-a", power, &runs, record, no_fault());
        it.register(&store, "ready");
    }
    let first = route("r-1", "/bills/", "idempotent", "billing-ledger", 1_200);
    configure(
        &store,
        3,
        std::slice::from_ref(&first),
        &["billing-ledger", "order-desk"],
    );
    let mut instance = Instance::new("edge-riga-a-1", "riga-a", address);
    instance.start().map_err(|e| e.to_string())?;
    if !instance.wait_ready() {
        return Err("the instance is not ready".into());
    }
    thread::sleep(Duration::from_secs(2));
    let added = route("r-2", "/orders/", "idempotent", "order-desk", 1_200);
    configure(
        &store,
        4,
        &[first, added],
        &["billing-ledger", "order-desk"],
    );
    record.line("store    version 4 adds the route /orders/");
    thread::sleep(Duration::from_secs(5));
    let is_frozen = Arc::new(AtomicBool::new(false));
    let load = |name, path, per_s| Load {
        front: instance.front,
        record: record.clone(),
        is_frozen: Arc::clone(&is_frozen),
        name,
        path,
        per_s,
    };
    let before = load("a", "/orders/", RATE).run(Duration::from_secs(4));
    record.line(&format!("answers  before the freeze: {before}"));
    let during = thread::scope(|scope| {
        scope.spawn(|| {
            if trouble {
                thread::sleep(Duration::from_secs(1));
                record.line("freeze   begins");
                is_frozen.store(true, Ordering::Relaxed);
                instance.signal("STOP");
                thread::sleep(FREEZE);
                instance.signal("CONT");
                is_frozen.store(false, Ordering::Relaxed);
                record.line("freeze   is over");
            }
        });
        load("b", "/orders/", RATE).run(FREEZE + Duration::from_secs(1) + SETTLE)
    });
    record.line(&format!(
        "answers  from the freeze until it has settled: {during}"
    ));
    let (added, first) = thread::scope(|scope| {
        let added = scope.spawn(|| load("c", "/orders/", RATE).run(Duration::from_secs(15)));
        let first = scope.spawn(|| load("d", "/bills/", 5.0).run(Duration::from_secs(15)));
        (added.join(), first.join())
    });
    let (added, first) = (
        added.map_err(|_| "a client failed")?,
        first.map_err(|_| "a client failed")?,
    );
    record.line(&format!(
        "answers  steady state, route added later: {added}"
    ));
    record.line(&format!("answers  steady state, first route: {first}"));
    record.line(&format!("ready    {}", instance.is_ready()));
    for line in instance.log_lines("no_connection", 2) {
        record.line(&format!("log      {line}"));
    }
    let served = |it: &Tally| it.count("200") as f64 / it.total().max(1) as f64;
    Ok((served(&added) < served(&first) / 4.0).then(|| {
        format!(
            "CONFIG: in steady state the route that was added later is served {:.3} of its requests, \
             the first one {:.3}; a fresh request to /orders/ is never answered again",
            served(&added),
            served(&first)
        )
    }))
}

/// Clients that come at a rate, each on a connection of its own.
struct Load {
    front: SocketAddr,
    record: Record,
    is_frozen: Arc<AtomicBool>,
    name: &'static str,
    path: &'static str,
    per_s: f64,
}

impl Load {
    fn run(&self, span: Duration) -> Tally {
        let tally = Tally::default();
        let mut seed = 12_345_u64;
        let mut next = Instant::now();
        let until = next + span;
        let mut clients = Vec::new();
        while next < until {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            seed = seed
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let random = (seed >> 11) as f64 / (1_u64 << 53) as f64;
            next += Duration::from_secs_f64(-(1.0 - random).ln() / self.per_s);
            let id = format!("{}{}", self.name, clients.len() + 1);
            let (front, path, tally) = (self.front, self.path, tally.clone());
            let (record, is_frozen) = (self.record.clone(), Arc::clone(&self.is_frozen));
            clients.push(thread::spawn(move || {
                tally.add(&client(front, path, &id, &record, &is_frozen));
            }));
        }
        for client in clients {
            let _ = client.join();
        }
        tally
    }
}

/// Sends a request, and once more if it got no answer; returns how it ended.
fn client(
    front: SocketAddr,
    path: &str,
    id: &str,
    record: &Record,
    is_frozen: &AtomicBool,
) -> String {
    let start = Instant::now();
    let mut end = String::new();
    for attempt in 1..=2 {
        let left = DEADLINE.saturating_sub(start.elapsed());
        if left < Duration::from_millis(10) {
            break;
        }
        let id = format!("{id}-{attempt}");
        record.line(&format!("send     {id} GET {path}{id}"));
        end = match exchange(front, path, &id, left, is_frozen) {
            Ok(status) => status.to_string(),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => "left".to_owned(),
            Err(e) => format!("none: {e}"),
        };
        record.line(&format!("answer   {id} {end}"));
        if end == "200" || end == "503" {
            break;
        }
    }
    end
}

fn exchange(
    front: SocketAddr,
    path: &str,
    id: &str,
    left: Duration,
    is_frozen: &AtomicBool,
) -> io::Result<u16> {
    // A client leaves a daemon that has not read its request after a third of the time left.
    let third = left / 3;
    let mut link = Connection::open(front, third)?;
    let head = format!(
        "GET {path}{id} HTTP/1.1\r\nHost: dts.example\r\nX-Request-Id: {id}\r\n\
         X-Timeout-Remaining: {}\r\n\r\n",
        left.as_millis()
    );
    link.output.write_all(head.as_bytes())?;
    match link.response() {
        Err(e) if e.kind() == io::ErrorKind::WouldBlock && !is_frozen.load(Ordering::Relaxed) => {
            link.output.set_read_timeout(Some(left - third))?;
            Ok(link.response()?.status)
        }
        other => Ok(other?.status),
    }
}
