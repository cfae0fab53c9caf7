//! An entry of another writer, which can't be read, stands among those of the backends.

use std::{
    collections::HashSet,
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

const HOST: &str = "order.example";
const ZONES: [&str; 2] = ["a", "b"];
const MACHINES: usize = 4;
const BACKENDS: usize = 8;
const CLIENTS: usize = 24;
const DEADLINE: Duration = Duration::from_secs(5);

/// `heartbeatMs`, `drainMs`, and `recoveryS` with a second to spare.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const DRAIN: Duration = Duration::from_millis(3_000);
const RECOVERY: Duration = Duration::from_secs(13);

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let temporary = instance::temporary_folder("foreign");
    let code = play(&record, &temporary, has_trouble);
    instance::remove_folder(&temporary);
    code
}

fn config() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"order","host":"{HOST}","pathPrefix":"/order/",
"routeType":"idempotent","timeoutMs":5000,"targetLatencyMs":500,"priority":2,
"service":"orders","maxAttempts":2}}],"services":[{{"name":"orders","healthPath":"/health",
"maxConns":68,"protocol":"h1","tls":false,"coldStartS":3.0}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,
"idleTimeoutMs":15000}}}}"#
    )
}

/// The other writer's entry. Its text is valid JSON (RFC 8259, 8.2), but names no character.
fn foreign_entry(seq: u64) -> String {
    format!(
        "{{\"service\":\"orders\",\"addr\":\"127.0.0.1:9\",\"zone\":\"a\",\"version\":\"\\ud800\",\
         \"slots\":2,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":1}}"
    )
}

/// One client attempt.
struct Attempt {
    id: String,
    sent: f64,
    status: u16,
}

fn play(record: &Record, temporary: &Path, has_trouble: bool) -> i32 {
    let store = Store::default();
    let address = store.start();
    let backends: Vec<Arc<Backend>> = (0..BACKENDS)
        .map(|at| {
            let kind = Kind {
                service: "orders".into(),
                zone: ZONES[at % ZONES.len()].into(),
                slots: 2,
                queue: 8,
                work: Duration::from_millis(120),
                bytes: 1_500,
            };
            Backend::start(&format!("i-o{at}"), kind, record)
        })
        .collect();
    for backend in &backends {
        store.put("servers", &backend.id, &backend.entry(1));
    }
    store.put("config", "main", &config());
    let deployment = Deployment {
        folder: temporary.to_owned(),
        store: address,
        zones: ZONES.iter().map(ToString::to_string).collect(),
        bounds: String::new(),
        cpu_share: 0.17,
        net: 4,
    };
    let mut instances: Vec<Instance> = (0..MACHINES)
        .map(|at| deployment.start(at, ZONES[at % ZONES.len()]))
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let is_foreign = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    {
        // All writers write at each heartbeat.
        let (stop, is_foreign, store) = (Arc::clone(&stop), Arc::clone(&is_foreign), store.clone());
        let backends = backends.clone();
        threads.push(thread::spawn(move || {
            let mut seq = 1;
            while !stop.load(Ordering::Relaxed) {
                seq += 1;
                for backend in &backends {
                    store.put("servers", &backend.id, &backend.entry(seq));
                }
                if is_foreign.load(Ordering::Relaxed) {
                    store.put_text("servers", "x-other", &foreign_entry(seq));
                }
                thread::sleep(HEARTBEAT);
            }
        }));
    }
    if !instances.iter().all(|it| it.wait_until_ready(Duration::from_secs(10))) {
        record.say("an instance did not become ready");
        stop.store(true, Ordering::Relaxed);
        return 2;
    }
    thread::sleep(Duration::from_secs(6));
    let fronts: Vec<_> = instances.iter().map(|it| it.front).collect();
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    for at in 0..CLIENTS {
        let (stop, attempts, record) = (Arc::clone(&stop), Arc::clone(&attempts), record.clone());
        let fronts = fronts.clone();
        threads.push(thread::spawn(move || {
            let mut client = Client::new(HOST, &record);
            let mut turn = at;
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(400 + (at as u64 * 37) % 200));
                turn += 1;
                let start = Instant::now();
                for attempt in 0..2 {
                    let left = DEADLINE.saturating_sub(start.elapsed());
                    let to = fronts[(at + turn / 8 + attempt) % fronts.len()];
                    let sent = record.now();
                    let path = format!("/order/{at}-{turn}");
                    let (id, end) = client.ask(to, &path, left, |_| false);
                    let status = end.status();
                    attempts.lock().unwrap().push(Attempt { id, sent, status });
                    match end {
                        End::Answered(answer) if answer.status() < 400 => break,
                        _ => {
                            client.close();
                            thread::sleep(Duration::from_millis(300));
                        }
                    }
                }
            }
        }));
    }
    thread::sleep(Duration::from_secs(8));
    if has_trouble {
        record.say("another writer's entry stands among those of the backends from now on");
        is_foreign.store(true, Ordering::Relaxed);
    }
    thread::sleep(Duration::from_secs(6));
    let leaving = &backends[0];
    leaving.drain();
    store.put("servers", &leaving.id, &leaving.entry(1_000));
    let drained = record.now();
    record.say(&format!("the store has acknowledged that {} is draining", leaving.id));
    thread::sleep(DRAIN + Duration::from_secs(4));
    let late_from = drained + DRAIN.as_secs_f64();
    let reached: HashSet<String> = leaving.reached_after(late_from).into_iter().collect();
    let is_late = |it: &&Attempt| it.sent > late_from && reached.contains(&it.id);
    let late = attempts.lock().unwrap().iter().filter(is_late).count();
    record.say(&format!("{late} requests have reached it that were sent later than drainMs after that"));

    let before = record.now();
    record.say("all processes are killed");
    for instance in &mut instances {
        instance.signal("KILL");
    }
    thread::sleep(Duration::from_secs(1));
    for instance in &mut instances {
        instance.restart();
    }
    let back = record.now();
    record.say("all processes run again");
    thread::sleep(RECOVERY);
    let from = record.now();
    thread::sleep(Duration::from_secs(12));
    let is_ready = instances.iter().filter(|it| it.is_ready()).count();
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let attempts = attempts.lock().unwrap();
    let share = |from: f64, to: f64| {
        let all = attempts.iter().filter(|it| it.sent >= from && it.sent < to);
        let (mut served, mut count) = (0, 0);
        for attempt in all {
            count += 1;
            served += u32::from(attempt.status == 200);
        }
        record.say(&format!("sent from {from:.1} to {to:.1} s: {served} of {count} served"));
        f64::from(served) / f64::from(count.max(1))
    };
    let usual = share(0.0, before);
    let _ = share(before, back);
    let recovered = share(from, record.now());
    record.say(&format!("{is_ready} of {MACHINES} instances are ready"));
    let is_broken = usual >= 0.25 && recovered < 0.25;
    record.say(if is_broken { "RECOVER is broken" } else { "RECOVER holds" });
    record.say(if late > 0 { "DRAIN is broken" } else { "DRAIN holds" });
    i32::from(is_broken)
}
