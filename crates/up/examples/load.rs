//! Measures the CPU time per sub-request over loopback.
//!
//! `cargo run --release -p up --example load -- <connections> <in flight> <seconds>`

use std::{
    env, fs,
    time::{Duration, Instant},
};

use base::{AttemptId, RequestId, SnapshotId};
use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::StreamExt;
use node::{Echo, Event, Send, SubRequest, UpstreamEvent};
use up::{Pools, Settings};

#[expect(dead_code, reason = "the rest is used by the tests")]
#[path = "../tests/fake.rs"]
mod fake;

/// Number of upstreams, so that the connections are spread over several addresses.
const UPSTREAMS: usize = 4;

const HITS: &str = r#"[{"id":"d-000001","score":71,"text":"harp and choir in Cardiff"},
{"id":"d-000002","score":66,"text":"ceilidh band in Swansea"}]"#;

/// Returns the CPU time of this thread.
fn cpu_time() -> Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|n| n.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}

fn main() {
    let number = |n: usize, fallback: usize| {
        env::args()
            .nth(n)
            .and_then(|a| a.parse().ok())
            .unwrap_or(fallback)
    };
    let (connections, in_flight, seconds) = (number(1, 8), number(2, 64), number(3, 3));
    let upstreams: Vec<_> = (0..UPSTREAMS)
        .map(|_| fake::FakeUpstream::start(|request| Some(request.search_reply(HITS))).address)
        .collect();
    let runtime = compio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async move {
        let (events, mut events_rx) = mpsc::unbounded();
        let pools = Pools::new(Settings::default(), events);
        let mut next = AttemptId(0);
        let mut send = || {
            next = next.next();
            pools.send(Send {
                attempt: next,
                address: upstreams[next.0 as usize % UPSTREAMS],
                connections: connections as u32,
                timeout: Duration::from_secs(2),
                grace: Duration::ZERO,
                sub_request: SubRequest::Search {
                    echo: Echo {
                        request: RequestId(0x0123_4567_89ab_cdef),
                        attempt: next.0,
                        snapshot: SnapshotId(7),
                        shard: "s-0001".parse().expect("a valid name"),
                    },
                    limit: 5,
                    body: Bytes::from_static(br#"{"query":"harp cardiff","limit":5}"#),
                },
            });
        };
        (0..in_flight).for_each(|_| send());
        let (start, used) = (Instant::now(), cpu_time());
        let (mut replies, mut failures) = (0u32, 0u32);
        while start.elapsed() < Duration::from_secs(seconds as u64) {
            match events_rx.next().await {
                Some(Event::Upstream(_, UpstreamEvent::Replied(_))) => replies += 1,
                _ => failures += 1,
            }
            send();
        }
        let (elapsed, used) = (start.elapsed(), cpu_time() - used);
        println!(
            "{:.0} replies/s, {failures} failures, {:.1} us of CPU time each, {:?}",
            f64::from(replies) / elapsed.as_secs_f64(),
            used.as_secs_f64() * 1e6 / f64::from(replies),
            pools.stats(),
        );
    });
}
