//! Case 11: after clients have left together, an instance sends nothing more to a service.

use std::{
    io::Write,
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
    edge::{self, Edge},
    record::Record,
    store::Store,
};

/// Instances: as many as the small deployments have.
const EDGES: usize = 12;

/// Clients that send to one instance at the same moment.
const GROUP: usize = 20;

/// Time after which a client leaves: half of the objective.
const LEAVES_AFTER: Duration = Duration::from_millis(60);

/// Time between the groups of two instances, so that all of them have come within 8 s.
const GROUP_INTERVAL: Duration = Duration::from_millis(600);

/// Times at which each instance gets such a group, one after the other.
const ROUNDS: usize = 4;

/// Time after the last client has left, from which the state is steady.
const SETTLED: Duration = Duration::from_millis(6_000);

/// A request: the instance, the route, the time at which it was sent, and the status of its answer.
type Sent = (usize, &'static str, Duration, u16);

const FIRST: &str = "/timi402/";
const ADDED: &str = "/bapu56/";

fn configuration(version: u64, has_added: bool) -> String {
    let route = |name, prefix, target| Route {
        name,
        prefix,
        kind: "idempotent",
        timeout_ms: 1_200,
        aim_ms: 120,
        target,
    };
    let mut routes = vec![route("r-first", FIRST, r#""service":"first""#)];
    if has_added {
        routes.push(route("r-added", ADDED, r#""service":"added""#));
    }
    config::write(version, &routes, &["first", "added"], 50)
}

pub fn run(folder: &Path, record: &Record, trouble: bool) -> Result<bool, String> {
    let store = Store::new(record.clone());
    let work = Duration::from_millis(30);
    let zones = ["prairie-a", "prairie-b"];
    for at in 0..6 {
        let service = if at < 4 { "first" } else { "added" };
        let id = format!("i-{service}{at}");
        Backend::start(&id, service, zones[at % 2], work, record.clone()).register(&store, "ready");
    }
    store.put("config", "main", &configuration(4, false));
    let ip = |at: usize| IpAddr::V4(Ipv4Addr::new(127, 0, 4, at as u8 + 1));
    let edges: Vec<Edge> = (0..EDGES)
        .map(|at| {
            Edge::start(
                folder,
                &format!("edge-{at}"),
                ip(at),
                zones[at % 2],
                store.serve(),
            )
        })
        .collect();
    if !edges.iter().all(Edge::await_ready) {
        return Err("an instance is not ready in time".into());
    }
    record.write("all instances are ready");
    thread::sleep(Duration::from_secs(5));
    store.put("config", "main", &configuration(7, true));
    record.write("version 7 is acknowledged: it adds the route r-added");
    thread::sleep(Duration::from_secs(4));

    // Clients send to each instance on the first route, seven requests a second.
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let fronts: Vec<SocketAddr> = edges.iter().map(|it| it.front).collect();
    let clients: Vec<_> = (0..EDGES)
        .map(|at| {
            spawn_clients(
                at,
                fronts[at],
                FIRST,
                Duration::from_millis(143),
                &sent,
                &stop,
                record,
            )
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let mut count = 0;

    // At each instance in turn, a group of clients sends on the added route at the same moment.
    record.write("the groups of clients begin to send on the added route");
    let begun = record.now();
    for at in (0..ROUNDS).flat_map(|_| 0..EDGES) {
        count += 1;
        send_group(at, count, fronts[at], trouble, record);
        thread::sleep(GROUP_INTERVAL);
    }
    let others = sent
        .lock()
        .unwrap()
        .iter()
        .filter(|it| it.2 >= begun)
        .count();
    let group = ROUNDS * EDGES * GROUP;
    record.write(&format!(
        "meanwhile {others} other requests were answered; {group} were those of the groups"
    ));
    record.write("the groups are done");
    thread::sleep(SETTLED);

    // The state is steady: clients send on both routes.
    let steady = record.now();
    record.write("steady state: clients send on both routes");
    let more: Vec<_> = (0..EDGES)
        .map(|at| {
            spawn_clients(
                at,
                fronts[at],
                ADDED,
                Duration::from_millis(333),
                &sent,
                &stop,
                record,
            )
        })
        .collect();
    thread::sleep(Duration::from_secs(10));
    stop.store(true, Ordering::Relaxed);
    for client in clients.into_iter().chain(more) {
        let _ = client.join();
    }

    let sent = sent.lock().unwrap();
    let share = |route: &str, edge: Option<usize>| {
        let all = sent.iter().filter(|it| it.1 == route && it.2 >= steady);
        let all: Vec<&Sent> = all.filter(|it| edge.is_none_or(|at| at == it.0)).collect();
        let served = all.iter().filter(|it| it.3 == 200).count();
        (served, all.len(), served as f64 / all.len().max(1) as f64)
    };
    for at in 0..EDGES {
        let ((a, b, _), (c, d, _)) = (share(FIRST, Some(at)), share(ADDED, Some(at)));
        record.write(&format!(
            "edge-{at}: served {a} of {b} on the first route, {c} of {d} on the added one"
        ));
    }
    let (first, added) = (share(FIRST, None), share(ADDED, None));
    record.write(&format!(
        "all: served {} of {} on the first route, {} of {} on the added one",
        first.0, first.1, added.0, added.1
    ));
    if added.1 < 20 || first.1 < 20 {
        return Err("too few requests".into());
    }
    Ok(added.2 >= first.2 / 4.0)
}

/// Sends requests to an instance at an interval, each by a client of its own, whether the ones before
/// are answered or not.
fn spawn_clients(
    at: usize,
    front: SocketAddr,
    route: &'static str,
    interval: Duration,
    sent: &Arc<Mutex<Vec<Sent>>>,
    stop: &Arc<AtomicBool>,
    record: &Record,
) -> thread::JoinHandle<()> {
    let (sent, stop, record) = (sent.clone(), stop.clone(), record.clone());
    thread::spawn(move || {
        let mut clients = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let id = format!("{:x}{at:02x}{:012x}", route.len(), clients.len());
            let (sent, record) = (sent.clone(), record.clone());
            clients.push(thread::spawn(move || {
                let now = record.now();
                let headers = [("X-Request-Id", &*id), ("X-Timeout-Remaining", "1200")];
                let path = format!("{route}{id}");
                let status = client::get(front, &path, &headers).map_or(0, |it| it.status());
                let time = now.as_secs_f64();
                record.write(&format!(
                    "client: {id} to edge-{at}, sent at {time:.3}: {status}"
                ));
                sent.lock().unwrap().push((at, route, now, status));
            }));
            thread::sleep(interval);
        }
        for client in clients {
            let _ = client.join();
        }
    })
}

/// Sends the requests of a group of clients at the same moment. With the disruption they leave
/// after a while, all of them together; without it they wait for their answers.
fn send_group(at: usize, group: usize, front: SocketAddr, leaves: bool, record: &Record) {
    let mut streams = Vec::new();
    for client in 0..GROUP {
        if let Ok(mut stream) = edge::connect(front) {
            let id = format!("e{group:02x}{client:013x}");
            let text = format!(
                "GET {ADDED}{client:x} HTTP/1.1\r\nHost: pupu76.example\r\nX-Request-Id: {id}\r\nX-Timeout-Remaining: 1200\r\n\r\n"
            );
            if stream.write_all(text.as_bytes()).is_ok() {
                streams.push(stream);
            }
        }
    }
    record.write(&format!(
        "group: {} clients have sent to edge-{at}",
        streams.len()
    ));
    if leaves {
        thread::sleep(LEAVES_AFTER);
        drop(streams);
        record.write(&format!("group: the clients of edge-{at} have left"));
        return;
    }
    let mut statuses = Vec::new();
    for stream in streams {
        let answer = crate::http::read(&mut std::io::BufReader::new(stream));
        statuses.push(answer.ok().flatten().map_or(0, |it| it.status()));
    }
    record.write(&format!("group: the answers of edge-{at} are {statuses:?}"));
}
