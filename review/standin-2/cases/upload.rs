//! A planned stop while clients send bodies that take a while to arrive.

use std::{
    io::Write,
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

const GRACE: Duration = Duration::from_secs(6);
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Clients, each with a kept connection on which it sends one request after the SIGTERM.
const CLIENTS: u32 = 24;

struct Sent {
    id: String,
    first: Instant,
    last: Instant,
    answer: Option<u16>,
    ended: Instant,
}

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let (store, runs) = (Store::default(), Runs::default());
    let address = store.serve();
    let work = Power {
        work: Duration::from_millis(450),
        slots: 4,
    };
    for name in ["i-1", "i-2"] {
        let it = Backend::start(
            name,
            "order-desk",
            "riga-a",
            work,
            &runs,
            record,
            no_fault(),
            None,
        );
        it.register(&store, "ready");
    }
    let routes = [route("r-1", "/orders/", "idempotent", "order-desk", 5_000)];
    configure(&store, 3, &routes, &["order-desk"]);
    let mut instance = Instance::new("edge-riga-a-1", "riga-a", address);
    instance.start().map_err(|e| e.to_string())?;
    if !instance.wait_ready() {
        return Err("the instance is not ready".into());
    }
    thread::sleep(Duration::from_secs(8));
    let front = instance.front;
    let sent = Arc::new(Mutex::new(Vec::new()));
    let tally = Tally::default();
    let stop = Instant::now() + Duration::from_secs(2);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, sent, tally) = (record.clone(), Arc::clone(&sent), tally.clone());
            // Spread over the time for which the instance may still serve.
            let start = stop + Duration::from_millis(3_000) + Duration::from_millis(100) * client;
            thread::spawn(move || {
                let Ok(mut link) = Connection::open(front, Duration::from_secs(6)) else {
                    return;
                };
                // A first request, so that the connection is a kept one.
                let _ = exchange(&mut link, &format!("c{client}-1"), 0, &record);
                thread::sleep(start.saturating_duration_since(Instant::now()));
                if link.is_over() {
                    tally.add("connection over before the request");
                    return;
                }
                if let Some(it) = exchange(&mut link, &format!("c{client}-2"), 6, &record) {
                    tally.add(&format!("{:?}", it.answer));
                    sent.lock().expect("no panic").push(it);
                }
            })
        })
        .collect();
    thread::sleep(stop.saturating_duration_since(Instant::now()));
    let stopped = Instant::now();
    if trouble {
        instance.signal("TERM");
        record.line("signal   SIGTERM");
    }
    while stopped.elapsed() < GRACE {
        if let Some(status) = instance.ended() {
            record.line(&format!("end      the process has ended: {status}"));
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    record.line(&format!("answers  {tally}"));
    let mut lost = Vec::new();
    for it in sent.lock().map_err(|_| "a client failed")?.iter() {
        let ran = runs.of(&it.id);
        let is_late = it.ended > it.last + LOSS_SLACK;
        if it.answer.is_none() && !ran.is_empty() {
            let ms = |at: Instant| at.saturating_duration_since(stopped).as_millis();
            record.line(&format!(
                "lost     {}: first byte {} ms and last byte {} ms after SIGTERM, run by {} at {} ms, connection ended without an answer at {} ms ({})",
                it.id, ms(it.first), ms(it.last), ran[0].backend, ms(ran[0].at), ms(it.ended),
                if is_late { "over lossSlackMs later" } else { "passed on" },
            ));
            lost.push(it.id.clone());
        }
    }
    if lost.is_empty() {
        return Ok(None);
    }
    Ok(Some(format!(
        "LOST: {} requests were passed on and got no answer: {}",
        lost.len(),
        lost.join(" ")
    )))
}

/// Sends a request whose body takes a number of steps of 100 ms, and reads its answer.
fn exchange(link: &mut Connection, id: &str, steps: usize, record: &Record) -> Option<Sent> {
    let step = vec![b'x'; 400];
    let head = format!(
        "POST /orders/new HTTP/1.1\r\nHost: dts.example\r\nX-Request-Id: {id}\r\n\
         X-Timeout-Remaining: 5000\r\nContent-Length: {}\r\n\r\n",
        step.len() * steps
    );
    let first = Instant::now();
    record.line(&format!(
        "send     {id} POST /orders/new, {} bytes",
        step.len() * steps
    ));
    link.output.write_all(head.as_bytes()).ok()?;
    for _ in 0..steps {
        thread::sleep(Duration::from_millis(100));
        link.output.write_all(&step).ok()?;
    }
    let last = Instant::now();
    record.line(&format!("sent     {id} whole"));
    let reply = link.response();
    let ended = Instant::now();
    match &reply {
        Ok(reply) => record.line(&format!("answer   {id} {}", reply.status)),
        Err(e) => record.line(&format!("answer   {id} none: {e}")),
    }
    let answer = reply.ok().map(|it| it.status);
    Some(Sent {
        id: id.to_owned(),
        first,
        last,
        answer,
        ended,
    })
}
