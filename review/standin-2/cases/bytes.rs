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
    rig::{Backend, Fault, Instance, Power, Record, Runs, Tally, configure, gather, no_fault, route},
    store::Store,
};

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let (store, runs) = (Store::default(), Runs::default());
    let address = store.serve();
    let variant = std::env::var("VARIANT").unwrap_or_default();
    let with_id = variant.contains("id");
    let count = AtomicU64::new(0);
    let faulty: Fault = {
        let record = record.clone();
        Arc::new(move |_, run, sound, stream| {
            if !count.fetch_add(1, Ordering::Relaxed).is_multiple_of(5) {
                return None;
            }
            if stream.write_all(sound).is_err() {
                return Some(false);
            }
            // Late: where the next response is expected.
            let mut byte = [0];
            if !matches!(stream.peek(&mut byte), Ok(1)) {
                return Some(false);
            }
            let mut headers = vec![("X-Server-Stamp", run.stamp.as_str())];
            if with_id {
                headers.push(("X-Request-Id", run.id.as_str()));
            }
            let extra = http::encode(200, &headers, &run.body);
            record.line(&format!("extra    {} sends its answer to {} once more", run.backend, run.id));
            Some(stream.write_all(&extra).is_ok())
        })
    };
    let work = Power { work: Duration::from_millis(5), slots: 4 };
    let start = |name: &str, service: &str, fault: Fault| {
        let it = Backend::start(name, service, "riga-a", work, &runs, record, fault);
        it.register(&store, "ready");
    };
    let is_gather = variant.contains("gather");
    let shards: Vec<String> = (0..4).map(|at| format!("shard-{at}")).collect();
    if is_gather {
        for shard in &shards {
            let fault = if trouble && shard == "shard-0" { Arc::clone(&faulty) } else { no_fault() };
            start(&format!("i-{shard}"), shard, fault);
        }
        let shards_ref: Vec<&str> = shards.iter().map(String::as_str).collect();
        configure(&store, 3, &[gather("r-1", "/orders/", &shards, 2_000)], &shards_ref);
    } else {
        start("i-1", "order-desk", if trouble { faulty } else { no_fault() });
        let routes = [route("r-1", "/orders/", "idempotent", "order-desk", 2_000)];
        configure(&store, 3, &routes, &["order-desk"]);
    }
    let mut instance = Instance::new("edge-riga-a-1", "riga-a", address);
    instance.start().map_err(|e| e.to_string())?;
    if !instance.wait_ready() {
        return Err("the instance is not ready".into());
    }
    thread::sleep(Duration::from_secs(5));
    let tally = Tally::default();
    let mut wrong = Vec::new();
    for number in 1..=120 {
        let id = format!("c1-{number}");
        let mut link = Connection::open(instance.front, Duration::from_secs(3))
            .map_err(|e| e.to_string())?;
        record.line(&format!("send     {id} GET /orders/{number}"));
        let headers = [
            ("Host", "dts.example"),
            ("X-Request-Id", id.as_str()),
            ("X-Timeout-Remaining", "2000"),
        ];
        match link.get(&format!("/orders/{number}"), &headers) {
            Ok(reply) => {
                let stamps = reply.header("X-Server-Stamp").or(reply.header("X-Part-Stamps"));
                let stamps: Vec<&str> = stamps.unwrap_or("").split(", ").collect();
                let text = String::from_utf8_lossy(&reply.body).into_owned();
                record.line(&format!("answer   {id} {} {stamps:?} {text:?}", reply.status));
                tally.add(&reply.status.to_string());
                let own = runs.of(&id);
                let is_own = |stamp: &&str| own.iter().any(|run| run.stamp == **stamp);
                if reply.status == 200 && !stamps.iter().all(|it| is_own(&it)) {
                    record.line(&format!("wrong    {id} has an answer to another request"));
                    wrong.push(id);
                }
            }
            Err(e) => {
                record.line(&format!("answer   {id} none: {e}"));
                tally.add("none");
            }
        }
        thread::sleep(Duration::from_millis(150));
    }
    record.line(&format!("answers  {tally}"));
    if wrong.is_empty() {
        return Ok(None);
    }
    Ok(Some(format!(
        "MIXED: {} of 120 requests got a success that belongs to another request: {}",
        wrong.len(),
        wrong.join(" ")
    )))
}
