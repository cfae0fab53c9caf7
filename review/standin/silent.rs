//! Open connections to the store go silent, and a backend leaves that never reports `draining`: its
//! entry is removed, it goes on serving for `drainMs` and a little longer, and then exits.

use std::{
    collections::HashSet,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    backend::{Backend, Kind},
    client::Client,
    instance::{self, Deployment, Instance},
    record::Record,
    store::Store,
};

const HOST: &str = "order.example";
const ZONES: [&str; 2] = ["a", "b"];
const MACHINES: usize = 8;
const BACKENDS: usize = 7;
const CLIENTS: usize = 36;
/// Times that the connections go silent, each with another backend that leaves.
const EPISODES: usize = 3;
const DEADLINE: Duration = Duration::from_secs(5);

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// `drainMs` and `settleWindowMs`, in seconds.
const DRAIN_S: f64 = 3.0;
const SETTLE_S: f64 = 4.0;
/// Time from the removal of its entry until the backend exits.
const SERVES: Duration = Duration::from_millis(4_200);

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let temporary = instance::temporary_folder("silent");
    let code = play(&record, &temporary, has_trouble);
    instance::remove_folder(&temporary);
    code
}

fn config() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"order","host":"{HOST}","pathPrefix":"/order/",
"routeType":"non_idempotent","timeoutMs":5000,"targetLatencyMs":500,"priority":2,
"service":"orders","maxAttempts":2}}],"services":[{{"name":"orders","healthPath":"/health",
"maxConns":68,"protocol":"h1","tls":false,"coldStartS":3.0}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,
"idleTimeoutMs":15000}}}}"#
    )
}

fn play(record: &Record, temporary: &Path, has_trouble: bool) -> i32 {
    let store = Store::default();
    let address = store.start();
    let backends: Vec<Arc<Backend>> = (0..BACKENDS)
        .map(|at| {
            let kind = Kind {
                service: "orders".into(),
                zone: ZONES[at % ZONES.len()].into(),
                slots: 6,
                queue: 24,
                work: Duration::from_millis(220),
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
        net: 5,
    };
    let instances: Vec<Instance> = (0..MACHINES)
        .map(|at| deployment.start(at, ZONES[at % ZONES.len()]))
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let left = Arc::new(AtomicUsize::new(0));
    let mut threads = Vec::new();
    {
        let (stop, left, store) = (Arc::clone(&stop), Arc::clone(&left), store.clone());
        let backends = backends.clone();
        threads.push(thread::spawn(move || {
            let mut seq = 1;
            while !stop.load(Ordering::Relaxed) {
                seq += 1;
                for backend in &backends[left.load(Ordering::Relaxed)..] {
                    store.put("servers", &backend.id, &backend.entry(seq));
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
    let sent: Arc<Mutex<Vec<(f64, String, u16)>>> = Arc::default();
    for at in 0..CLIENTS {
        let (stop, sent, record) = (Arc::clone(&stop), Arc::clone(&sent), record.clone());
        let to = fronts[at % fronts.len()];
        threads.push(thread::spawn(move || {
            let mut client = Client::new(HOST, &record);
            let mut turn = 0;
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(200 + (at as u64 * 37) % 100));
                turn += 1;
                let at_s = record.now();
                let (id, end) = client.ask(to, &format!("/order/{at}-{turn}"), DEADLINE, |_| false);
                sent.lock().unwrap().push((at_s, id, end.status()));
            }
        }));
    }
    // Long enough for the instances not to act in step any more after their start.
    thread::sleep(Duration::from_secs(22));
    let mut windows = Vec::new();
    for leaving in &backends[..EPISODES] {
        let silent = record.now();
        if has_trouble {
            record.say("all open connections to the store go silent; new ones work");
            store.silence();
        }
        thread::sleep(Duration::from_millis(300));
        left.fetch_add(1, Ordering::Relaxed);
        store.remove("servers", &leaving.id);
        let gone = record.now();
        let id = &leaving.id;
        record.say(&format!("the store has removed the entry of {id}, which goes on serving"));
        thread::sleep(SERVES);
        leaving.end();
        record.say(&format!("{id} exits"));
        // In touch: settleWindowMs after the connections went silent.
        windows.push((leaving, gone, (gone + DRAIN_S).max(silent + SETTLE_S)));
        thread::sleep(Duration::from_secs(8));
    }
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let sent = sent.lock().unwrap();
    let (mut late, mut lost) = (0, 0);
    for (leaving, gone, from) in windows {
        let reached: HashSet<String> = leaving.reached_after(from).into_iter().collect();
        for (at, id, status) in sent.iter().filter(|it| it.0 > from && reached.contains(&it.1)) {
            late += 1;
            lost += u32::from(*status != 200);
            record.say(&format!(
                "{id}, sent {:.3} s after the acknowledgement, has reached {}: answer {status}",
                at - gone,
                leaving.id
            ));
        }
    }
    record.say(&format!(
        "{late} requests too late, of {}; {lost} of them, which may run only once, were cut off by an exit",
        sent.len()
    ));
    record.say(if late > 0 { "DRAIN is broken" } else { "DRAIN holds" });
    i32::from(late > 0)
}
