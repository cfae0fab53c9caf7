//! A machine freezes for some seconds while it serves, and wakes again.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    backend::{Backend, Kind},
    client::{Client, End},
    instance::{self, Deployment, Instance},
    record::Record,
    store::Store,
};

const HOST: &str = "docket.example";
/// Zones, and the machines in each. With the connections below, a machine may open four to each
/// backend, as one of the twelve of dts-riga may where backends accept 50.
const ZONES: [(&str, usize); 2] = [("a", 1), ("b", 1)];
const CONNECTIONS: usize = 8;

/// Backends of the service of the first route, and of that of the route added later.
const ORDER_BACKENDS: usize = 8;
const LOOKUP_BACKENDS: usize = 2;

/// Shorter than the longest freeze in the site file, 4.8 s.
const FREEZE: Duration = Duration::from_millis(4_500);
const FREEZES: usize = 8;
const BETWEEN: Duration = Duration::from_millis(4_500);

const LOOKERS: usize = 48;
const ORDERERS: usize = 8;

fn config(version: u64, has_lookups: bool) -> String {
    let lookup = format!(
        r#",{{"name":"lookup","host":"{HOST}","pathPrefix":"/lookup/","routeType":"idempotent",
"timeoutMs":1200,"targetLatencyMs":120,"priority":1,"service":"lookups","maxAttempts":2}}"#
    );
    let lookup = if has_lookups { lookup.as_str() } else { "" };
    let services = [service("orders", CONNECTIONS), service("lookups", CONNECTIONS)];
    format!(
        r#"{{"version":{version},"routes":[{{"name":"order","host":"{HOST}","pathPrefix":"/order/",
"routeType":"idempotent","timeoutMs":5000,"targetLatencyMs":500,"priority":1,"service":"orders",
"maxAttempts":2}}{lookup}],"services":[{}],"limits":{{"maxHeaderBytes":16384,
"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        services.join(",")
    )
}

fn service(name: &str, connections: usize) -> String {
    format!(
        r#"{{"name":"{name}","healthPath":"/health","maxConns":{connections},"protocol":"h1",
"tls":false,"coldStartS":3.0}}"#
    )
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let temporary = instance::temporary_folder("freeze");
    let code = play(&record, &temporary, has_trouble);
    instance::remove_folder(&temporary);
    code
}

/// One client attempt.
struct Attempt {
    at: f64,
    is_lookup: bool,
    status: u16,
}

fn play(record: &Record, temporary: &Path, has_trouble: bool) -> i32 {
    let store = Store::default();
    let address = store.start();
    let mut backends: Vec<Arc<Backend>> = Vec::new();
    let kind = |service: &str, zone: &str, work, bytes, queue| Kind {
        service: service.into(),
        zone: zone.into(),
        slots: 2,
        queue,
        work: Duration::from_millis(work),
        bytes,
    };
    for at in 0..LOOKUP_BACKENDS {
        let it = kind("lookups", ZONES[at % 2].0, 20, 200, 12);
        backends.push(Backend::start(&format!("i-l{at}"), it, record));
    }
    for at in 0..ORDER_BACKENDS {
        let it = kind("orders", ZONES[at % ZONES.len()].0, 120, 1_500, 8);
        backends.push(Backend::start(&format!("i-o{at}"), it, record));
    }
    for backend in &backends {
        store.put("servers", &backend.id, &backend.entry(1));
    }
    store.put("config", "main", &config(3, false));
    let deployment = Deployment {
        folder: temporary.to_owned(),
        store: address,
        zones: ZONES.iter().map(|(name, _)| (*name).to_owned()).collect(),
        bounds: String::new(),
        cpu_share: 0.17,
        net: 3,
    };
    let mut instances: Vec<Instance> = Vec::new();
    for (zone, count) in ZONES {
        for _ in 0..count {
            instances.push(deployment.start(instances.len(), zone));
        }
    }
    let machines = instances.len();
    let instances = Arc::new(instances);
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    {
        // Backends write their entries at each heartbeat.
        let (stop, store, backends) = (Arc::clone(&stop), store.clone(), backends.clone());
        threads.push(thread::spawn(move || {
            let mut seq = 1;
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(1_200));
                seq += 1;
                for backend in &backends {
                    store.put("servers", &backend.id, &backend.entry(seq));
                }
            }
        }));
    }
    if !instances.iter().all(|it| it.wait_until_ready(Duration::from_secs(10))) {
        record.say("an instance did not become ready");
        stop.store(true, Ordering::Relaxed);
        return 2;
    }
    thread::sleep(Duration::from_secs(6));
    store.put("config", "main", &config(8, true));
    record.say("version 8, which adds the route of lookups, is acknowledged");
    thread::sleep(Duration::from_secs(4));

    let states: Arc<Vec<State>> = Arc::new((0..machines).map(|_| State::default()).collect());
    for at in 0..machines {
        // The platform asks each daemon once per second; two misses take it out of rotation.
        let (stop, states) = (Arc::clone(&stop), Arc::clone(&states));
        let (instances, record) = (Arc::clone(&instances), record.clone());
        threads.push(thread::spawn(move || {
            let mut misses = 0;
            while !stop.load(Ordering::Relaxed) {
                misses = if instances[at].is_ready() { 0 } else { misses + 1 };
                let is_out = misses >= 2;
                if states[at].is_out.swap(is_out, Ordering::Relaxed) != is_out {
                    record.write(&format!("{} out of rotation: {is_out}", instances[at].name));
                }
                thread::sleep(Duration::from_secs(1));
            }
        }));
    }
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    for at in 0..LOOKERS + ORDERERS {
        let is_lookup = at < LOOKERS;
        let caller = Caller {
            at,
            is_lookup,
            fronts: instances.iter().map(|it| it.front).collect(),
            states: Arc::clone(&states),
            stop: Arc::clone(&stop),
            attempts: Arc::clone(&attempts),
            record: record.clone(),
        };
        threads.push(thread::spawn(move || caller.run()));
    }
    thread::sleep(Duration::from_secs(4));
    for at in 0..FREEZES {
        let (subject, state) = (&instances[at % machines], &states[at % machines]);
        if has_trouble {
            record.say(&format!("{} freezes", subject.name));
            state.is_frozen.store(true, Ordering::Relaxed);
            subject.signal("STOP");
            thread::sleep(FREEZE);
            subject.signal("CONT");
            state.is_frozen.store(false, Ordering::Relaxed);
            record.say(&format!("{} wakes", subject.name));
        } else {
            thread::sleep(FREEZE);
        }
        thread::sleep(BETWEEN);
    }
    thread::sleep(Duration::from_secs(4));
    let from = record.now();
    record.say("steady state, judged from here: nothing is disturbed since more than settleWindowMs");
    thread::sleep(Duration::from_secs(15));
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let attempts = attempts.lock().unwrap();
    let judged = |is_lookup: bool| {
        let all = attempts.iter().filter(|it| it.at >= from && it.is_lookup == is_lookup);
        let (mut served, mut count) = (0, 0);
        for attempt in all {
            count += 1;
            served += u32::from(attempt.status == 200);
        }
        (served, count)
    };
    let ((orders, all_orders), (lookups, all_lookups)) = (judged(false), judged(true));
    record.say(&format!("requests on the first route: {orders} of {all_orders} served"));
    record.say(&format!("requests on the route added later: {lookups} of {all_lookups} served"));
    for instance in instances.iter() {
        let Ok((_, text)) = instance::get(instance.metrics, "/metrics") else {
            continue;
        };
        for line in text.lines().filter(|it| it.contains("no_connection")) {
            record.say(&format!("{}: {line}", instance.name));
        }
    }
    let share = |served: u32, all: u32| f64::from(served) / f64::from(all.max(1));
    let is_broken = all_lookups >= 20
        && share(lookups, all_lookups) < 0.25 * share(orders, all_orders);
    record.say(if is_broken { "CONFIG is broken" } else { "CONFIG holds" });
    i32::from(is_broken)
}

/// What the platform and the clients can see of a daemon.
#[derive(Default)]
struct State {
    is_frozen: AtomicBool,
    is_out: AtomicBool,
}

/// A client that sends one request after the other.
struct Caller {
    at: usize,
    is_lookup: bool,
    fronts: Vec<SocketAddr>,
    states: Arc<Vec<State>>,
    stop: Arc<AtomicBool>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    record: Record,
}

impl Caller {
    /// Returns the daemon for a new connection: that of the client's hash, or the next in rotation.
    fn daemon(&self, attempt: usize) -> usize {
        let count = self.fronts.len();
        let first = self.at;
        let order = (0..count).map(|step| (first + attempt + step) % count);
        let mut usable = order.filter(|at| !self.states[*at].is_out.load(Ordering::Relaxed));
        usable.next().unwrap_or(first % count)
    }

    fn run(self) {
        let mut client = Client::new(HOST, &self.record);
        let think = 1_000_u64;
        let (path, deadline) = match self.is_lookup {
            true => ("/lookup", Duration::from_millis(1_200)),
            false => ("/order", Duration::from_millis(5_000)),
        };
        let mut seed = self.at as u64 + 1;
        let mut turn = 0;
        while !self.stop.load(Ordering::Relaxed) {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            thread::sleep(Duration::from_millis(think / 2 + (seed >> 33) % think));
            turn += 1;
            let start = Instant::now();
            let path = format!("{path}/{}-{turn}", self.at);
            let mut pause = Duration::ZERO;
            for attempt in 0..2 {
                thread::sleep(pause);
                let left = deadline.saturating_sub(start.elapsed());
                if left < Duration::from_millis(20) {
                    break;
                }
                let to = match client.kept().filter(|_| attempt == 0 && turn % 8 != 0) {
                    Some(kept) => self.fronts.iter().position(|it| *it == kept).unwrap_or(0),
                    None => {
                        client.close();
                        self.daemon(attempt)
                    }
                };
                // A daemon that stood still before the request was sent has not read it.
                let was_still = self.states[to].is_frozen.load(Ordering::Relaxed);
                let is_still =
                    |_| was_still && self.states[to].is_frozen.load(Ordering::Relaxed);
                let (_, end) = client.ask(self.fronts[to], &path, left, is_still);
                self.attempts.lock().unwrap().push(Attempt {
                    at: self.record.now(),
                    is_lookup: self.is_lookup,
                    status: end.status(),
                });
                let End::Answered(answer) = end else {
                    continue;
                };
                if answer.status() < 400 {
                    break;
                }
                // The time to wait that the answer names, a third of the time left at most.
                let left = deadline.saturating_sub(start.elapsed());
                let named = answer.header("retry-after").and_then(|it| it.parse::<f64>().ok());
                pause = Duration::from_secs_f64(named.unwrap_or(0.0)).min(left / 3);
            }
        }
    }
}
