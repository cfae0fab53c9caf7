//! A faulty backend sends an answer once more, late, where its next answer is expected.

use std::{
    collections::HashMap,
    io::Write,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::Outcome;
use crate::{
    http::{self, Connection},
    rig::{
        Backend, Fault, Instance, Power, Record, Refuse, Runs, Tally, configure, no_fault, route,
    },
    store::Store,
};

/// Clients, and the requests that each of them sends, one after the other.
const CLIENTS: u32 = 8;
const REQUESTS: u32 = 400;

/// Other callers, which the case does not play, fill the backend for a moment now and then.
const FULL_EACH: Duration = Duration::from_millis(3_000);
const FULL_FOR: Duration = Duration::from_millis(100);

/// At most one of so many answers is sent once more.
const EXTRA_EACH: u64 = 25;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let (store, runs) = (Store::default(), Runs::default());
    let address = store.serve();
    let due = Due::default();
    let power = Power {
        work: Duration::from_millis(20),
        slots: 4,
    };
    for (name, zone) in [("i-1", "riga-a"), ("i-2", "riga-b")] {
        let (fault, refuse) = match name {
            "i-1" => (extra(record, &due), full(record, &due, trouble)),
            _ => (no_fault(), None),
        };
        let it = Backend::start(
            name,
            "order-desk",
            zone,
            power,
            &runs,
            record,
            fault,
            refuse,
        );
        it.register(&store, "ready");
    }
    let routes = [route(
        "r-1",
        "/orders/",
        "non_idempotent",
        "order-desk",
        5_000,
    )];
    configure(&store, 3, &routes, &["order-desk"]);
    let mut instance = Instance::new("edge-riga-a-1", "riga-a", address);
    instance.start().map_err(|e| e.to_string())?;
    if !instance.wait_ready() {
        return Err("the instance is not ready".into());
    }
    thread::sleep(Duration::from_secs(6));
    let tally = Tally::default();
    let answers: Arc<Mutex<HashMap<String, String>>> = Arc::default();
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|client| {
            let (record, tally, answers) = (record.clone(), tally.clone(), Arc::clone(&answers));
            let front = instance.front;
            thread::spawn(move || {
                let mut link: Option<Connection> = None;
                for number in 1..=REQUESTS {
                    let id = format!("c{client}-{number}");
                    if link.as_mut().is_none_or(Connection::is_over) {
                        link = Connection::open(front, Duration::from_secs(6)).ok();
                    }
                    let sent = link.as_mut().and_then(|it| post(it, &id, &record).ok());
                    if sent.is_none() {
                        link = None;
                    }
                    let text = sent.map_or("none".to_owned(), |status| status.to_string());
                    record.line(&format!("answer   {id} {text}"));
                    tally.add(&text);
                    answers.lock().expect("no panic").insert(id, text);
                    thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let answers = answers.lock().map_err(|_| "a client failed")?.clone();
    thread::sleep(Duration::from_secs(1));
    record.line(&format!("answers  {tally}"));
    let (mut twice, mut untrue) = (Vec::new(), Vec::new());
    for (id, answer) in &answers {
        let ran = runs.of(id);
        if ran.len() > 1 {
            let by: Vec<&str> = ran.iter().map(|run| run.backend.as_str()).collect();
            record.line(&format!(
                "twice    {id} was run by {}, answered {answer}",
                by.join(" and ")
            ));
            twice.push(id.clone());
        }
        if !ran.is_empty() && (answer == "503" || answer == "429") {
            record.line(&format!("refused  {id} has run and was answered {answer}"));
            untrue.push(id.clone());
        }
    }
    if twice.is_empty() && untrue.is_empty() {
        return Ok(None);
    }
    Ok(Some(format!(
        "TWICE: {} of {} requests that aren't idempotent ran more than once ({}); REFUSED: {} \
         ran and were answered 429 or 503 ({})",
        twice.len(),
        CLIENTS * REQUESTS,
        twice.join(" "),
        untrue.len(),
        untrue.join(" ")
    )))
}

/// Connections on which a copy of the last refusal is due, by the address of the peer.
type Due = Arc<Mutex<Vec<SocketAddr>>>;

const REFUSAL: [(&str, &str); 1] = [("X-Not-Executed", "1")];

/// Returns how a backend that is full now and then refuses requests, which do not run. With `trouble`,
/// some refusals are noted to be sent once more.
fn full(record: &Record, due: &Due, trouble: bool) -> Refuse {
    let (answers, extras) = (AtomicU64::new(0), AtomicU64::new(0));
    let (record, due, start) = (record.clone(), Arc::clone(due), Instant::now());
    Some(Arc::new(move |id, stream| {
        let peer = stream.peer_addr().ok()?;
        let so_far = answers.fetch_add(1, Ordering::Relaxed);
        let phase = start.elapsed().as_millis() % FULL_EACH.as_millis();
        let mut due = due.lock().ok()?;
        if phase >= FULL_FOR.as_millis() || due.contains(&peer) {
            return None;
        }
        record.line(&format!("full     i-1 refuses {id}"));
        if trouble && (extras.load(Ordering::Relaxed) + 1) * EXTRA_EACH <= so_far {
            extras.fetch_add(1, Ordering::Relaxed);
            due.push(peer);
        }
        Some(stream.write_all(&http::encode(503, &REFUSAL, b"")).is_ok())
    }))
}

/// Returns the fault of that backend: it sends a refusal once more where its next answer on the
/// connection is expected, and then that answer.
fn extra(record: &Record, due: &Due) -> Fault {
    let (record, due) = (record.clone(), Arc::clone(due));
    Arc::new(move |_, run, sound, stream| {
        let peer = stream.peer_addr().ok()?;
        let mut due = due.lock().ok()?;
        let at = due.iter().position(|it| *it == peer)?;
        due.remove(at);
        record.line(&format!(
            "extra    i-1 sends its last answer once more, then that to {}",
            run.id
        ));
        let both = [http::encode(503, &REFUSAL, b""), sound.to_vec()].concat();
        Some(stream.write_all(&both).is_ok())
    })
}

fn post(link: &mut Connection, id: &str, record: &Record) -> std::io::Result<u16> {
    record.line(&format!("send     {id} POST /orders/{id}"));
    let body = format!("order {id}");
    let head = format!(
        "POST /orders/{id} HTTP/1.1\r\nHost: dts.example\r\nX-Request-Id: {id}\r\n\
         X-Timeout-Remaining: 5000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    link.output.write_all(head.as_bytes())?;
    Ok(link.response()?.status)
}
