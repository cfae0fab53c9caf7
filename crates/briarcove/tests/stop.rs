//! Requests that arrive while an instance is about to stop, on connections that callers have kept.

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rig::edge::{Behaviour, Site, Upstream};

use crate::edge::start_site;

/// Time from SIGTERM in which the platform lets a process end.
const GRACE: Duration = Duration::from_secs(6);

/// How a request on a kept connection ended.
#[derive(Debug)]
struct Outcome {
    id: String,
    /// Status of the answer; `None` if the connection closed without one.
    status: Option<u16>,
    /// Time from the signal to the last byte of the request, for the message of a failed test.
    #[expect(dead_code, reason = "shown by Debug only")]
    sent_after: Duration,
}

/// Opens a connection and uses it once, so that the instance knows it as a kept one.
fn open(site: &Site, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(site.caller_address()).unwrap();
    stream.set_read_timeout(Some(GRACE)).unwrap();
    let head = request("GET", "/status/1", id, 0);
    stream.write_all(head.as_bytes()).unwrap();
    assert_eq!(read_status(&mut stream), Some(200));
    stream
}

fn request(method: &str, path: &str, id: &str, body: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: search.example\r\nx-request-id: {id}\r\n\
         x-timeout-remaining: 1900\r\ncontent-length: {body}\r\n\r\n"
    )
}

/// Reads a whole answer and returns its status; `None` if the connection closes before its end.
fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut answer = Vec::new();
    let mut buf = [0; 4_096];
    loop {
        let read = stream.read(&mut buf).ok().filter(|read| *read > 0)?;
        answer.extend_from_slice(&buf[..read]);
        // Bodies of these answers are not text.
        let text = String::from_utf8_lossy(&answer);
        let Some((head, _)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|it| it.strip_prefix("content-length: "));
        let length: usize = length.unwrap().parse().unwrap();
        if answer.len() >= head.len() + 4 + length {
            return head.split(' ').nth(1)?.parse().ok();
        }
    }
}

/// Sends a request in pieces, the last one at a time after the signal.
fn send(mut stream: TcpStream, id: String, pieces: u32, signal: Instant, at: Duration) -> Outcome {
    let gap = Duration::from_millis(100);
    let body = vec![b'x'; 400 * pieces as usize];
    let first = signal + at - gap * pieces;
    thread::sleep(first.saturating_duration_since(Instant::now()));
    let head = request("POST", "/order/1", &id, body.len());
    let mut is_open = stream.write_all(head.as_bytes()).is_ok();
    for piece in body.chunks(400) {
        thread::sleep(gap);
        is_open = is_open && stream.write_all(piece).is_ok();
    }
    let sent_after = signal.elapsed();
    let status = read_status(&mut stream).filter(|_| is_open);
    Outcome {
        id,
        status,
        sent_after,
    }
}

/// Stops an instance while requests that must not be repeated arrive over the whole grace period, and
/// returns how they ended.
fn stop_under_orders(name: &str, work: Duration, pieces: u32) -> (Vec<Outcome>, Vec<Upstream>) {
    let (mut site, upstreams) = start_site(name);
    let connections: Vec<TcpStream> = (0..60).map(|n| open(&site, &format!("k{n}"))).collect();
    for upstream in &upstreams[6..] {
        upstream.set_behaviour(Behaviour::Replies(work));
    }
    site.signal(Signal::SIGTERM).unwrap();
    let signal = Instant::now();
    let senders = connections.into_iter().enumerate().map(|(at, stream)| {
        let id = format!("order-{at}");
        let after = Duration::from_millis(2_500 + 55 * at as u64);
        thread::spawn(move || send(stream, id, pieces, signal, after))
    });
    let senders: Vec<_> = senders.collect();
    let outcomes = senders.into_iter().map(|it| it.join().unwrap()).collect();
    assert_eq!(site.wait().unwrap(), Some(0));
    assert!(signal.elapsed() < GRACE, "{:?}", signal.elapsed());
    (outcomes, upstreams)
}

/// Returns the requests that an upstream has received and that did not end with its reply, or that
/// were refused although they had run.
fn lost(outcomes: Vec<Outcome>, upstreams: &[Upstream]) -> Vec<Outcome> {
    let arrivals: Vec<String> = upstreams
        .iter()
        .flat_map(Upstream::arrivals)
        .map(|arrival| arrival.id)
        .collect();
    let is_lost = |it: &Outcome| arrivals.contains(&it.id) && it.status != Some(200);
    outcomes.into_iter().filter(is_lost).collect()
}

/// Requests late in the grace period were passed on, and ended without their replies (LOST).
#[test]
fn requests_late_in_the_grace_are_served_or_not_passed_on() {
    let (outcomes, upstreams) = stop_under_orders("stop_late", Duration::from_millis(400), 0);
    let served = outcomes.iter().filter(|it| it.status == Some(200)).count();
    let refused = outcomes.iter().filter(|it| it.status == Some(503)).count();
    assert!(served >= 30, "{served} served: {outcomes:#?}");
    assert!(refused > 0, "{outcomes:#?}");
    let lost = lost(outcomes, &upstreams);
    assert!(lost.is_empty(), "{lost:#?}");
}

/// Requests whose bodies arrived after the end of the grace period were passed on and cut off.
#[test]
fn requests_whose_bodies_end_late_are_not_passed_on() {
    let (outcomes, upstreams) = stop_under_orders("stop_bodies", Duration::from_millis(400), 6);
    let lost = lost(outcomes, &upstreams);
    assert!(lost.is_empty(), "{lost:#?}");
}
