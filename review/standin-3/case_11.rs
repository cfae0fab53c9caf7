//! Case 11: an instance keeps the old configuration after its watch was lost.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    backend::Backend,
    client,
    config::{self, Route},
    edge::Edge,
    record::Record,
    store::Store,
};

/// Time from the acknowledgement of a version until it must be in force (`configApplyMs`).
const APPLY: Duration = Duration::from_millis(3_000);

/// Time after which machines count as in touch again (`settleWindowMs`), and half a second.
const SETTLED: Duration = Duration::from_millis(4_500);

/// Time for which the store turns one machine away by silence.
const SILENCE: Duration = Duration::from_millis(1_000);

/// Backends of the service that is released, and how many of them a release replaces (0.42).
const OTHERS: usize = 12;
const REPLACED: usize = 5;

/// Time between two replacements.
const RELEASE_GAP: Duration = Duration::from_millis(1_000);

/// Time after which a backend that drains has left.
const DRAIN: Duration = Duration::from_millis(4_000);

/// Time after the acknowledgement of the last version until the clients stop.
const OBSERVED: Duration = Duration::from_secs(10);

/// A request: its id, the instance, the time at which it was sent, and the status of its answer.
type Sent = (String, usize, Duration, u16);

fn configuration(version: u64, service: &str) -> String {
    let target = format!(r#""service":"{service}""#);
    let routes = [
        Route {
            name: "r-status",
            prefix: "/timi402/",
            kind: "idempotent",
            timeout_ms: 5_000,
            aim_ms: 500,
            target: &target,
        },
        Route {
            name: "r-other",
            prefix: "/ziti98/",
            kind: "idempotent",
            timeout_ms: 5_000,
            aim_ms: 500,
            target: r#""service":"other""#,
        },
    ];
    config::write(version, &routes, &["old", "new", "other"], 192)
}

/// Writes a configuration, and the object of its route.
fn configure(store: &Store, version: u64, service: &str) {
    store.put("config", "main", &configuration(version, service));
    let route = format!(r#"{{"name":"r-status","service":"{service}"}}"#);
    store.put("routes", "r-status", &route);
}

pub fn run(folder: &Path, record: &Record, trouble: bool) -> Result<bool, String> {
    let store = Store::new(record.clone());
    let work = Duration::from_millis(10);
    let start = |id: &str, service: &str, zone: &str, is_cold: bool| {
        let backend = Backend::start(id, service, zone, work, is_cold, record.clone());
        backend.register(&store, "ready");
        backend
    };
    let zones = ["prairie-a", "prairie-b"];
    let old: Vec<Backend> = (0..2)
        .map(|at| start(&format!("i-old{at}"), "old", zones[at], false))
        .collect();
    let new: Vec<Backend> = (0..2)
        .map(|at| start(&format!("i-new{at}"), "new", zones[at], false))
        .collect();
    let mut others: Vec<Backend> = (0..OTHERS)
        .map(|at| start(&format!("i-other{at}"), "other", zones[at % 2], false))
        .collect();
    configure(&store, 4, "old");
    let ip = |at: usize| IpAddr::V4(Ipv4Addr::new(127, 0, 3, at as u8 + 1));
    let stores: Vec<SocketAddr> = (0..3).map(|_| store.serve()).collect();
    let edges: Vec<Edge> = (0..3)
        .map(|at| {
            Edge::start(
                folder,
                &format!("edge-{at}"),
                ip(at),
                zones[at % 2],
                stores[at],
            )
        })
        .collect();
    if !edges.iter().all(Edge::await_ready) {
        return Err("an instance is not ready in time".into());
    }
    record.write("all instances are ready");

    // Clients send to each instance, some fifteen requests a second.
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = edges
        .iter()
        .enumerate()
        .map(|(at, edge)| {
            let (sent, stop, record, front) =
                (sent.clone(), stop.clone(), record.clone(), edge.front);
            thread::spawn(move || {
                let mut count = 0;
                while !stop.load(Ordering::Relaxed) {
                    count += 1;
                    let id = format!("{at:02x}{count:014x}");
                    let now = record.now();
                    let headers = [("X-Request-Id", &*id), ("X-Timeout-Remaining", "5000")];
                    let status =
                        client::get(front, "/timi402/2f", &headers).map_or(0, |it| it.status());
                    record.write(&format!(
                        "client: {id} to edge-{at}, sent at {:.3}: {status}",
                        now.as_secs_f64()
                    ));
                    sent.lock().unwrap().push((id, at, now, status));
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(6));

    // The store turns edge-1 away by silence for a second, in which the operator writes a version.
    store.after_probe(stores[1]);
    if trouble {
        record.write("the store is silent to edge-1");
        store.silence(Some(stores[1]));
    }
    thread::sleep(Duration::from_millis(200));
    configure(&store, 7, "old");
    record.write("version 7 is acknowledged: routes as before");
    thread::sleep(SILENCE - Duration::from_millis(200));
    store.silence(None);
    record.write("the store serves edge-1 again");
    thread::sleep(Duration::from_millis(100));

    // A release replaces backends of another service, one after the other.
    let mut next = 0;
    let mut replace = || {
        let id = format!("i-other{}", OTHERS + next);
        let backend = start(&id, "other", zones[next % 2], true);
        let leaving = others.remove(0);
        leaving.register(&store, "draining");
        record.write(&format!("release: {id} starts, {} drains", leaving.id));
        others.push(backend);
        next += 1;
        let store = store.clone();
        thread::spawn(move || {
            thread::sleep(DRAIN);
            store.remove("servers", &leaving.id);
        });
    };
    let settled = record.now() + SETTLED;
    for _ in 0..REPLACED {
        replace();
        thread::sleep(RELEASE_GAP);
    }
    thread::sleep(settled.saturating_sub(record.now()));

    // Everything is calm and in touch: a version moves the route to another service. Another release
    // follows.
    configure(&store, 11, "new");
    let acknowledged = record.now();
    record.write("version 11 is acknowledged: the route goes to the service new");
    thread::sleep(RELEASE_GAP / 2);
    for _ in 0..REPLACED {
        replace();
        thread::sleep(RELEASE_GAP);
    }
    thread::sleep((acknowledged + OBSERVED).saturating_sub(record.now()));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }

    // No request that was sent later than that may be run by the old service.
    let due = acknowledged + APPLY;
    let late: Vec<Sent> = sent
        .lock()
        .unwrap()
        .iter()
        .filter(|(_, _, at, _)| *at > due)
        .cloned()
        .collect();
    let ran =
        |all: &[Backend], id: &str| all.iter().any(|it| it.runs().iter().any(|run| run.0 == id));
    for at in 0..edges.len() {
        let of_edge = late.iter().filter(|it| it.1 == at);
        let by_old = of_edge.clone().filter(|it| ran(&old, &it.0)).count();
        let by_new = of_edge.clone().filter(|it| ran(&new, &it.0)).count();
        record.write(&format!(
            "edge-{at}: of {} requests sent later than {} ms after the acknowledgement of version 11, {by_old} were run by the old service, {by_new} by the new one",
            of_edge.count(), APPLY.as_millis()
        ));
    }
    if late.len() < 100 {
        return Err("too few requests".into());
    }
    Ok(!late.iter().any(|it| ran(&old, &it.0)))
}
