//! A request crashes each backend that begins to run it, and its client comes again: for some seconds
//! more often than it is told, then once a second.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{
    Outcome,
    crashing::{CRASH_PATH, Machine},
};
use crate::{
    http::Connection,
    rig::{Instance, Record, Run, Runs, Tally, configure, route},
    store::Store,
};

const SETTLE: Duration = Duration::from_millis(4_000);

/// Crashes after which the arrivals are counted, and the most that are allowed then.
const CRASHES: usize = 3;
const MAX_LATER: usize = 3;

/// Backends of the service, as many as each shard of dts-riga has.
const BACKENDS: usize = 2;

/// Time for which the client repeats its request more often than it is told, as long as the users'
/// `retry_abuse` lasts, and the time between an answer and its next request then.
const ABUSE: Duration = Duration::from_millis(5_500);
const ABUSE_PAUSE: Duration = Duration::from_millis(120);

/// The same later.
const PAUSE: Duration = Duration::from_millis(1_000);

/// Time for which the client comes.
const SPAN: Duration = Duration::from_secs(50);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let (store, runs) = (Store::default(), Runs::default());
    let address = store.serve();
    let start = |service: &str| {
        Machine::start(service, trouble, &store, &runs, record).map_err(|e| e.to_string())
    };
    for _ in 0..BACKENDS {
        start("order-desk")?;
        start("billing-ledger")?;
    }
    let routes = [
        route("r-1", "/bills/", "idempotent", "billing-ledger", 2_000),
        route("r-2", "/orders/", "idempotent", "order-desk", 2_000),
    ];
    configure(&store, 3, &routes, &["billing-ledger", "order-desk"]);
    let mut instance = Instance::new("edge-riga-a-1", "riga-a", address);
    instance.start().map_err(|e| e.to_string())?;
    if !instance.wait_ready() {
        return Err("the instance is not ready".into());
    }
    thread::sleep(Duration::from_secs(6));
    let is_over = Arc::new(AtomicBool::new(false));
    let usual = |name: &'static str, path: &'static str| {
        let (is_over, tally, front) = (Arc::clone(&is_over), Tally::default(), instance.front);
        let (counted, record) = (tally.clone(), record.clone());
        let client = thread::spawn(move || {
            for number in 0_usize.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let (target, id) = (format!("{path}{number}"), format!("{name}{number}"));
                record.line(&format!("send     {id} GET {target}"));
                let end = get(front, &target, &id);
                let end = end.map_or_else(|_| "none".to_owned(), |it| it.to_string());
                record.line(&format!("answer   {id} {end}"));
                tally.add(&end);
                thread::sleep(Duration::from_millis(60));
            }
        });
        (client, counted)
    };
    let clients = [
        usual("b", "/bills/"),
        usual("o", "/orders/"),
        usual("p", "/orders/"),
    ];
    thread::sleep(Duration::from_secs(4));
    let (start, tally) = (Instant::now(), Tally::default());
    for number in 0.. {
        if start.elapsed() >= SPAN {
            break;
        }
        let id = format!("c{number}");
        record.line(&format!("send     {id} GET {CRASH_PATH}"));
        let end = get(instance.front, CRASH_PATH, &id);
        let end = end.map_or_else(|_| "none".to_owned(), |it| it.to_string());
        record.line(&format!("answer   {id} {end}"));
        tally.add(&end);
        let is_abuse = start.elapsed() < ABUSE;
        thread::sleep(if is_abuse { ABUSE_PAUSE } else { PAUSE });
    }
    is_over.store(true, Ordering::Relaxed);
    record.line(&format!("answers  to that client: {tally}"));
    for ((client, tally), service) in
        clients
            .into_iter()
            .zip(["another service", "its service", "its service"])
    {
        client.join().map_err(|_| "a client failed")?;
        record.line(&format!(
            "answers  to other requests for {service}: {tally}"
        ));
    }
    let all = runs.all();
    record.line(&format!("crashes  {} in all", all.len()));
    let Some(third) = all.get(CRASHES - 1) else {
        return Ok(None);
    };
    let later: Vec<&Run> = all
        .iter()
        .filter(|run| run.at > third.at + SETTLE)
        .collect();
    record.line(&format!(
        "later    {} arrivals later than settleWindowMs after the third crash",
        later.len()
    ));
    Ok((later.len() > MAX_LATER).then(|| {
        format!(
            "BUDGET: later than settleWindowMs after it had crashed {CRASHES} backends, a request reached \
             backends {} times more, and crashed each of them",
            later.len()
        )
    }))
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
