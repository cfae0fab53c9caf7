//! A request crashes each backend that begins to run it, and comes again after each rolling restart.

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

/// Crashes after which the retries are counted, and the most retries that are allowed then.
const CRASHES: usize = 3;
const MAX_RETRIES: usize = 3;

const BACKENDS: usize = 8;

/// How often the request comes, and a rolling restart between two times.
const TIMES: usize = 6;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let (store, runs) = (Store::default(), Runs::default());
    let address = store.serve();
    for _ in 0..BACKENDS {
        Machine::start("order-desk", true, &store, &runs, record).map_err(|e| e.to_string())?;
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
    let in_rotation = rotation(instances.iter().map(|it| it.ready).collect(), &is_over);
    let tally = Tally::default();
    let usual = {
        let (is_over, tally, fronts) = (Arc::clone(&is_over), tally.clone(), fronts.clone());
        let record = record.clone();
        let in_rotation = Arc::clone(&in_rotation);
        thread::spawn(move || {
            for number in 0_usize.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let target = format!("/orders/{number}");
                // The platform passes it to a machine in rotation.
                let is_in = |at: usize| in_rotation[at].load(Ordering::Relaxed);
                let at = if is_in(number % 2) {
                    number % 2
                } else {
                    (number + 1) % 2
                };
                let id = format!("u{number}");
                record.line(&format!("send     {id} GET {target}"));
                let end = get(fronts[at], &target, &id);
                let text = end.map_or_else(|_| "none".to_owned(), |it| it.to_string());
                record.line(&format!("answer   {id} {text}"));
                tally.add(&text);
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

/// Asks each machine once a second whether it is ready, as the platform does. Two misses take it out of
/// rotation.
fn rotation(ready: Vec<SocketAddr>, is_over: &Arc<AtomicBool>) -> Arc<Vec<AtomicBool>> {
    let in_rotation: Arc<Vec<AtomicBool>> =
        Arc::new(ready.iter().map(|_| AtomicBool::new(true)).collect());
    let (is_over, shown) = (Arc::clone(is_over), Arc::clone(&in_rotation));
    thread::spawn(move || {
        let mut misses = vec![0; ready.len()];
        while !is_over.load(Ordering::Relaxed) {
            for (at, address) in ready.iter().enumerate() {
                let reply = Connection::open(*address, Duration::from_secs(1))
                    .and_then(|mut link| link.get("/-/ready", &[("Host", "platform")]));
                let is_ready = reply.is_ok_and(|it| it.status == 200);
                misses[at] = if is_ready { 0 } else { misses[at] + 1 };
                shown[at].store(misses[at] < 2, Ordering::Relaxed);
            }
            thread::sleep(Duration::from_secs(1));
        }
    });
    in_rotation
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
