//! Another writer leaves an entry that can't be read among those of the backends. Then a backend
//! drains, as in any release.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use super::Outcome;
use crate::{
    http::Connection,
    rig::{Backend, Instance, Power, Record, Runs, Tally, configure, no_fault, route},
    store::Store,
};

const DRAIN: Duration = Duration::from_millis(3_000);

/// Time from the end of that on for which the draining backend goes on serving.
const SERVES_ON: Duration = Duration::from_secs(5);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let (store, runs) = (Store::default(), Runs::default());
    let address = store.serve();
    let backend = |name: &str| {
        let work = Power {
            work: Duration::from_millis(10),
            slots: 4,
        };
        Backend::start(
            name,
            "order-desk",
            "riga-a",
            work,
            &runs,
            record,
            no_fault(),
        )
    };
    let backends = [backend("i-1"), backend("i-2"), backend("i-3")];
    for it in &backends {
        it.register(&store, "ready");
    }
    let routes = [route("r-1", "/orders/", "idempotent", "order-desk", 2_000)];
    configure(&store, 3, &routes, &["order-desk"]);
    let mut instance = Instance::new("edge-riga-a-1", "riga-a", address);
    instance.start().map_err(|e| e.to_string())?;
    if !instance.wait_ready() {
        return Err("the instance is not ready".into());
    }
    // In touch from here on: traffic begins 10 s after the machines.
    thread::sleep(Duration::from_secs(8));
    let sent = Arc::new(Mutex::new(HashMap::new()));
    let tally = Tally::default();
    let front = instance.front;
    let until = Instant::now() + Duration::from_secs(4) + DRAIN + SERVES_ON;
    let client = {
        let (record, sent, tally) = (record.clone(), Arc::clone(&sent), tally.clone());
        thread::spawn(move || request_until(until, front, &record, &sent, &tally))
    };
    thread::sleep(Duration::from_secs(2));
    if trouble {
        let spec = unreadable(&std::env::var("VARIANT").unwrap_or_default());
        store.put("servers", "i-foreign", &spec);
        let text = String::from_utf8_lossy(&spec).into_owned();
        record.line(&format!(
            "store    another writer creates servers/i-foreign: {:.200}",
            text
        ));
    }
    thread::sleep(Duration::from_secs(2));
    // The backend that is used most.
    let so_far = runs.all();
    let used = |it: &&Backend| so_far.iter().filter(|run| run.backend == it.name).count();
    let leaver = backends.iter().max_by_key(used).ok_or("no backend")?;
    let drained = leaver.register(&store, "draining");
    let leaver = &leaver.name;
    record.line(&format!(
        "store    {leaver} reports draining, and the store acknowledges it"
    ));
    client.join().map_err(|_| "a client failed")?;
    let sent = sent.lock().map_err(|_| "a client failed")?.clone();
    let is_late = |id: &str| sent.get(id).is_some_and(|at| *at > drained + DRAIN);
    let all = runs.all();
    let late: Vec<_> = all
        .iter()
        .filter(|run| run.backend == *leaver && is_late(&run.id))
        .collect();
    let others = all
        .iter()
        .filter(|run| run.backend != *leaver && is_late(&run.id))
        .count();
    record.line(&format!("answers  {tally}"));
    record.line(&format!(
        "sent later than {} ms after the acknowledgement: {} reached {leaver}, {others} the others",
        DRAIN.as_millis(),
        late.len()
    ));
    for line in instance.log_lines("failed to list objects", 3) {
        record.line(&format!("log      {line}"));
    }
    record.line(&format!("calls    {:?}", store.calls()));
    if trouble {
        // What follows is not part of the verdict.
        instance.kill();
        instance.end_first_start();
        instance.start().map_err(|e| e.to_string())?;
        let ready = instance.wait_ready();
        record.line(&format!("after a restart, ready within 15 s: {ready}"));
    }
    if late.is_empty() {
        return Ok(None);
    }
    Ok(Some(format!(
        "DRAIN: {} requests reached {leaver} later than drainMs after the store had acknowledged that it \
         is draining, the first {:.0} ms and the last {:.0} ms after it",
        late.len(),
        (late[0].at - drained).as_secs_f64() * 1e3,
        (late[late.len() - 1].at - drained).as_secs_f64() * 1e3,
    )))
}

/// Returns an entry of another writer. All variants have the same effect; the first is valid JSON in
/// which a field has another type, a number beyond the range of a double.
fn unreadable(variant: &str) -> Vec<u8> {
    let version = match variant {
        "" | "number" => b"1e400".to_vec(),
        "surrogate" => b"\"v1 \\ud83d\"".to_vec(),
        "depth" => format!("{}1{}", "[".repeat(200), "]".repeat(200)).into_bytes(),
        _ => b"\"v1 \xff\xfe\"".to_vec(),
    };
    let head = br#"{"service":"order-desk","zone":"riga-a","version":"#;
    let tail = br#","slots":2,"state":"ready","seq":1}"#;
    [&head[..], &version, &tail[..]].concat()
}

fn request_until(
    until: Instant,
    front: std::net::SocketAddr,
    record: &Record,
    sent: &Mutex<HashMap<String, Instant>>,
    tally: &Tally,
) {
    let mut link: Option<Connection> = None;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let id = format!("c1-{number}");
        if link.as_mut().is_none_or(Connection::is_over) {
            link = Connection::open(front, Duration::from_secs(3)).ok();
        }
        let Some(open) = link.as_mut() else {
            tally.add("no connection");
            continue;
        };
        if let Ok(mut sent) = sent.lock() {
            sent.insert(id.clone(), Instant::now());
        }
        record.line(&format!("send     {id} GET /orders/{number}"));
        let headers = [
            ("Host", "dts.example"),
            ("X-Request-Id", id.as_str()),
            ("X-Timeout-Remaining", "2000"),
        ];
        match open.get(&format!("/orders/{number}"), &headers) {
            Ok(reply) => {
                record.line(&format!("answer   {id} {}", reply.status));
                tally.add(&reply.status.to_string());
            }
            Err(e) => {
                record.line(&format!("answer   {id} none: {e}"));
                tally.add("none");
                link = None;
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
}
