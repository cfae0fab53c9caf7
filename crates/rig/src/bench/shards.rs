//! Bench `shards`: CPU time of the reducer for a query by its number of shards, sent directly to
//! the upstreams and through their owners.

use std::time::Duration;

use base::{CallId, RequestId};
use bytes::Bytes;
use node::{Call, Event, Hit, Reply, Send, SubRequest, UpstreamEvent};
use prost::Message;
use wire::{Body, Envelope, Relay, RelayPart, RelayResult, Relayed, ResultCode};

use super::{
    meter::{cpu_timed, micros},
    node_harness::NodeHarness,
    scale::{Scale, name},
    sweep::Sweep,
};

/// Instances in addition to the measured one.
const PEERS: usize = 92;

/// Number of measured queries at each point; one more before them is not counted.
const QUERIES: usize = 30;

/// Number of hits in each reply.
const HITS: usize = 2;

const SHARDS: [usize; 8] = [1, 10, 50, 100, 200, 350, 500, 700];

const BODY: &[u8] = br#"{"query":"harpist cardiff","limit":5}"#;

/// Sweeps the shards of a query and the parts of a relay.
pub(super) fn run() {
    measure_direct();
    measure_coordinator();
    measure_owner();
}

/// Measures queries whose sub-requests all go directly to the upstreams.
fn measure_direct() {
    let columns = ["us/query", "us/sub-request"];
    let mut sweep = Sweep::new("query, direct to the upstreams", "shards", &columns);
    for shards in SHARDS {
        let mut harness = start_harness(0, shards);
        let mut spent = Duration::ZERO;
        for query in 0..=QUERIES {
            let cpu = harness.cpu_time_of([search_event(query)]) + answer_sends(&mut harness);
            spent += if query == 0 { Duration::ZERO } else { cpu };
        }
        assert_eq!(harness.answers, QUERIES + 1, "a query has no answer");
        let each = micros(spent) / QUERIES as f64;
        sweep.add(shards, &[each, each / shards as f64]);
    }
    sweep.finish();
}

/// Measures the coordinator of a query, the instance that received it; the owners are stand-ins.
fn measure_coordinator() {
    let columns = [
        "us/query",
        "us/sub-request",
        "relays",
        "relay B/part",
        "result B/part",
        "codec us/part",
    ];
    let mut sweep = Sweep::new("query, over 93 owners, coordinator", "shards", &columns);
    for shards in SHARDS {
        let mut harness = start_harness(PEERS, shards);
        let mut total = Traffic::default();
        let mut spent = Duration::ZERO;
        for query in 0..=QUERIES {
            let mut traffic = Traffic::default();
            let cpu =
                harness.cpu_time_of([search_event(query)]) + answer_all(&mut harness, &mut traffic);
            if query > 0 {
                spent += cpu;
                total.add(&traffic);
            }
        }
        assert_eq!(harness.answers, QUERIES + 1, "a query has no answer");
        let each = micros(spent) / QUERIES as f64;
        let parts = total.parts.max(1) as f64;
        sweep.add(
            shards,
            &[
                each,
                each / shards as f64,
                total.relays as f64 / QUERIES as f64,
                total.relay_bytes as f64 / parts,
                total.result_bytes as f64 / parts,
                micros(total.codec) / parts,
            ],
        );
    }
    sweep.finish();
}

/// Measures an owner that receives relays.
fn measure_owner() {
    let columns = ["us/relay", "us/part", "relay B/part", "result B/part"];
    let mut sweep = Sweep::new("relay, owner", "parts", &columns);
    for parts in [1, 2, 4, 8, 16, 32] {
        let mut harness = start_harness(0, 700);
        // The peer is in another data centre, so that the instance still owns every upstream.
        harness.receive_heartbeat(1, |h| h.data_centre = Scale::data_centre(1).to_string());
        let mut spent = Duration::ZERO;
        let (mut asked, mut answered) = (0, 0);
        for query in 0..=QUERIES {
            let relay = relay_message(query, parts);
            let message = harness.message(1, Body::Relay(relay));
            if let Event::Peer(envelope) = &message {
                asked += envelope.frame_bytes();
            }
            let cpu = harness.cpu_time_of([message]) + answer_sends(&mut harness);
            let results = std::mem::take(&mut harness.relays);
            spent += if query == 0 { Duration::ZERO } else { cpu };
            answered += results.iter().map(|(_, m)| m.frame_bytes()).sum::<usize>();
        }
        let each = micros(spent) / QUERIES as f64;
        let all = ((QUERIES + 1) * parts) as f64;
        let (asked, answered) = (asked as f64 / all, answered as f64 / all);
        sweep.add(parts, &[each, each / parts as f64, asked, answered]);
    }
    sweep.finish();
}

/// Relay messages of queries and the CPU time of encoding and decoding them.
#[derive(Default)]
struct Traffic {
    relays: usize,
    parts: usize,
    relay_bytes: usize,
    result_bytes: usize,
    codec: Duration,
}

impl Traffic {
    fn add(&mut self, other: &Self) {
        self.relays += other.relays;
        self.parts += other.parts;
        self.relay_bytes += other.relay_bytes;
        self.result_bytes += other.result_bytes;
        self.codec += other.codec;
    }
}

fn start_harness(peers: usize, shards: usize) -> NodeHarness {
    let scale = Scale {
        shards,
        ..Scale::default()
    };
    let harness = NodeHarness::start(peers, scale.objects(1));
    assert!(harness.node.stats().ready, "the instance is not ready");
    harness
}

fn search_event(query: usize) -> Event {
    let number = query as u64 + 1;
    let call = Call::Search {
        request: RequestId(u128::from(number)),
        entry: name("entry-000-00000".into()),
        deadline: None,
        body: Bytes::from_static(BODY),
    };
    Event::Call(CallId(number), call)
}

fn hits() -> Vec<Hit> {
    let hit = |score| Hit {
        id: "d-000001".into(),
        score,
        text: "harp and choir in Cardiff".into(),
    };
    (0..HITS as u64).map(hit).collect()
}

/// Answers requests to upstreams until there are none and returns the CPU time of the reducer.
fn answer_sends(harness: &mut NodeHarness) -> Duration {
    let mut spent = Duration::ZERO;
    while !harness.sends.is_empty() {
        let sends = std::mem::take(&mut harness.sends);
        let replies: Vec<_> = sends.into_iter().filter_map(reply_event).collect();
        spent += harness.cpu_time_of(replies);
    }
    spent
}

fn reply_event(send: Send) -> Option<Event> {
    let SubRequest::Search { echo, .. } = send.sub_request else {
        return None;
    };
    let reply = Reply {
        echo,
        hits: hits(),
        draining: false,
    };
    Some(Event::Upstream(send.attempt, UpstreamEvent::Replied(reply)))
}

/// Answers relays and requests to upstreams until there are none and returns the CPU time of the
/// reducer.
fn answer_all(harness: &mut NodeHarness, traffic: &mut Traffic) -> Duration {
    let mut spent = answer_sends(harness);
    while !harness.relays.is_empty() {
        for (from, relay) in std::mem::take(&mut harness.relays) {
            let Some(Body::Relay(asked)) = &relay.body else {
                continue;
            };
            let results = asked
                .parts
                .iter()
                .map(|part| relay_result(asked, part))
                .collect();
            let Event::Peer(answer) = harness.message(from, Body::Relayed(Relayed { results }))
            else {
                continue;
            };
            traffic.relays += 1;
            traffic.parts += asked.parts.len();
            traffic.relay_bytes += relay.frame_bytes();
            traffic.result_bytes += answer.frame_bytes();
            traffic.codec += cpu_timed(|| relay.encode_to_vec()).1;
            let bytes = Bytes::from(answer.encode_to_vec());
            let (answer, decoding) = cpu_timed(|| Envelope::decode(bytes));
            traffic.codec += decoding;
            spent += harness.cpu_time_of(answer.ok().map(Event::Peer));
        }
        spent += answer_sends(harness);
    }
    spent
}

fn relay_result(relay: &Relay, part: &RelayPart) -> RelayResult {
    let hit = |hit: Hit| wire::Hit {
        id: hit.id.into(),
        score: hit.score,
        text: hit.text.into(),
    };
    RelayResult {
        attempt: part.attempt,
        request: relay.request.clone(),
        snapshot: relay.snapshot,
        shard: part.shard.clone(),
        code: ResultCode::Replied.into(),
        hits: hits().into_iter().map(hit).collect(),
        echo: part.echo,
        ..RelayResult::default()
    }
}

/// Returns a relay with this number of parts, each for a different upstream.
fn relay_message(query: usize, parts: usize) -> Relay {
    let part = |number: usize| RelayPart {
        attempt: (query * 1_000 + number) as u64,
        upstream: Scale::upstream(0, number).to_string(),
        shard: format!("shard-{number:04}"),
        probe: false,
        echo: number as u64,
    };
    Relay {
        request: Bytes::copy_from_slice(&(query as u128 + 1).to_be_bytes()),
        service: Scale::service(0).to_string(),
        snapshot: 1,
        left_us: 150_000,
        limit: 20,
        body: Bytes::from_static(BODY),
        parts: (0..parts).map(part).collect(),
        hops: 1,
    }
}
