//! A faulty backend sends additional bytes after a complete response.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use super::Outcome;
use crate::{
    http::{self, Connection},
    rig::{Backend, Fault, Instance, Power, Record, Runs, Tally, configure, gather, no_fault},
    store::Store,
};

/// Requests of the client, one after the other.
const REQUESTS: u32 = 250;

/// Each so many'th answer of the faulty backend is followed by additional bytes.
const EXTRA_EACH: u64 = 25;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let (store, runs) = (Store::default(), Runs::default());
    let address = store.serve();
    let power = Power {
        work: Duration::from_millis(5),
        slots: 4,
    };
    let shards: Vec<String> = (0..4).map(|at| format!("advocate-portal-{at}")).collect();
    for (at, shard) in shards.iter().enumerate() {
        let fault = if trouble && at == 0 {
            extra(record)
        } else {
            no_fault()
        };
        let name = format!("i-{at}");
        let it = Backend::start(&name, shard, "riga-a", power, &runs, record, fault, None);
        it.register(&store, "ready");
    }
    let services: Vec<&str> = shards.iter().map(String::as_str).collect();
    configure(
        &store,
        3,
        &[gather("r-1", "/dockets/", &shards, 2_000)],
        &services,
    );
    let mut instance = Instance::new("edge-riga-a-1", "riga-a", address);
    instance.start().map_err(|e| e.to_string())?;
    if !instance.wait_ready() {
        return Err("the instance is not ready".into());
    }
    thread::sleep(Duration::from_secs(5));
    let tally = Tally::default();
    let mut wrong = Vec::new();
    for number in 1..=REQUESTS {
        let id = format!("c1-{number}");
        let mut link =
            Connection::open(instance.front, Duration::from_secs(3)).map_err(|e| e.to_string())?;
        record.line(&format!("send     {id} GET /dockets/{number}"));
        let headers = [
            ("Host", "dts.example"),
            ("X-Request-Id", id.as_str()),
            ("X-Timeout-Remaining", "2000"),
        ];
        match link.get(&format!("/dockets/{number}"), &headers) {
            Ok(reply) => {
                let stamps = reply.header("X-Part-Stamps").unwrap_or("");
                let stamps: Vec<&str> = stamps.split(", ").collect();
                let text = String::from_utf8_lossy(&reply.body).into_owned();
                record.line(&format!(
                    "answer   {id} {} {stamps:?} {text:?}",
                    reply.status
                ));
                tally.add(&reply.status.to_string());
                let own = runs.of(&id);
                let is_own = |stamp: &&str| own.iter().any(|run| run.stamp == **stamp);
                if reply.status == 200 && !stamps.iter().all(|it| is_own(&it)) {
                    record.line(&format!(
                        "wrong    {id} has a part of the answer to another request"
                    ));
                    wrong.push(id);
                }
            }
            Err(e) => {
                record.line(&format!("answer   {id} none: {e}"));
                tally.add("none");
            }
        }
        thread::sleep(Duration::from_millis(80));
    }
    record.line(&format!("answers  {tally}"));
    if wrong.is_empty() {
        return Ok(None);
    }
    Ok(Some(format!(
        "MIXED: {} of {REQUESTS} requests got a success with a part that belongs to another request: {}",
        wrong.len(),
        wrong.join(" ")
    )))
}

/// Returns the fault of a backend that sends an answer once more, without an id, where its next
/// answer is expected.
fn extra(record: &Record) -> Fault {
    let (record, count) = (record.clone(), AtomicU64::new(0));
    Arc::new(move |_, run, sound, stream| {
        if count.fetch_add(1, Ordering::Relaxed) % EXTRA_EACH != EXTRA_EACH - 1 {
            return None;
        }
        if stream.write_all(sound).is_err() {
            return Some(false);
        }
        let mut byte = [0];
        if !matches!(stream.peek(&mut byte), Ok(1)) {
            return Some(false);
        }
        record.line(&format!(
            "extra    {} sends its answer to {} once more",
            run.backend, run.id
        ));
        let copy = http::encode(200, &[("X-Server-Stamp", &run.stamp)], &run.body);
        Some(stream.write_all(&copy).is_ok())
    })
}
