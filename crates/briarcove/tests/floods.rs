//! Upstreams that send bytes without end in place of replies.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

use rig::edge::{route_gather, route_one};
use serde_json::json;

use crate::edge::start_site;

/// Shards whose only upstream floods.
const FLOODING: usize = 20;

/// Searches at a time; each opens a connection to each of those upstreams.
const SEARCHES: usize = 10;

/// Memory limit of the smallest machines, in bytes.
const MEMORY_LIMIT: u64 = 112_000_000;

/// What an upstream sends first, and then again and again.
const FLOODS: [(&str, &str); 6] = [
    ("", "no answer"),
    ("HTTP/1.1 200 OK\r\nx-long: ", "a"),
    (
        "HTTP/1.1 200 OK\r\nx-server-stamp: sig.0\r\n\r\n",
        "a body without end ",
    ),
    (
        "HTTP/1.1 200 OK\r\nx-server-stamp: sig.0\r\ntransfer-encoding: chunked\r\n\r\n",
        "4\r\nbody\r\n",
    ),
    ("HTTP/1.1 200 OK\r\n", "x-more: 1\r\n"),
    ("", "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"),
];

/// Starts a server that answers each connection with a flood.
fn serve_floods() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let mut stream = stream.unwrap();
            let (first, next) = FLOODS[number % FLOODS.len()];
            thread::spawn(move || {
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request);
                let block = next.repeat(4_096);
                let mut is_open = stream.write_all(first.as_bytes()).is_ok();
                while is_open {
                    is_open = stream.write_all(block.as_bytes()).is_ok();
                }
            });
        }
    });
    address
}

#[test]
fn floods_of_many_upstreams_cost_neither_memory_nor_other_requests() {
    let (site, _upstreams) = start_site("floods");
    let address = serve_floods();
    let shards: Vec<String> = (0..FLOODING).map(|n| format!("flood-{n}")).collect();
    for shard in &shards {
        let entry = json!({"service": shard, "addr": address.to_string(), "zone": "here",
            "version": "v1", "slots": 2, "state": "ready", "coldLeftMs": 0, "seq": 1,
            "born": 1_700_000_000_000_u64});
        site.store.put("servers", &format!("{shard}-1"), entry);
    }
    let mut shards: Vec<&str> = shards.iter().map(|shard| &**shard).collect();
    let routes = [
        route_gather("/flooded/", &shards, 0.9, 200),
        route_one("/status/", "desk", true),
    ];
    shards.push("desk");
    site.configure(2, &routes, &shards);
    thread::sleep(Duration::from_millis(1_800));
    thread::scope(|scope| {
        for caller in 0..SEARCHES {
            let site = &site;
            scope.spawn(move || {
                for round in 0..4 {
                    let id = format!("flooded-{caller}-{round}");
                    let answer = site.ask("GET", "/flooded/1", &id, 1_200).unwrap();
                    assert!(!answer.status().is_success(), "{id}: {answer:?}");
                }
            });
        }
        for round in 0..20 {
            let asked = Instant::now();
            let answer = site.ask("GET", "/status/1", &format!("s{round}"), 3_000);
            assert_eq!(answer.unwrap().status(), 200);
            assert!(
                asked.elapsed() < Duration::from_secs(2),
                "{:?}",
                asked.elapsed()
            );
            thread::sleep(Duration::from_millis(100));
        }
    });
    let peak = site.peak_memory().unwrap();
    assert!(peak < MEMORY_LIMIT, "{peak} bytes");
    let log = site.log().unwrap();
    assert!(!log.contains("request quarantined"), "a flood is no crash");
}
