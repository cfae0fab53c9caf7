//! Searches, slots, drain, crash, cancel and runs of the upstream stand-in.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::future::{join, join_all};
use http::Response;
use rig::{
    client::Error,
    upstream::{Group, Report, Upstreams},
};
use serde_json::{Value, json};

use super::{block_on, call, control, report};

const QUERY: &str = r#"{"query":"harpist cardiff"}"#;

/// Starts one upstream with two snapshots that are partitioned into different shards.
fn start(params: Value) -> (Upstreams, SocketAddr) {
    let shard = |name: &str| json!({"name": name, "replicas": ["u1"]});
    let group = json!({"services": [{
        "index": {"service": "diary", "snapshots": [
            {"id": 7, "shards": [shard("a"), shard("b")]},
            {"id": 8, "shards": [shard("c")]},
        ]},
        "documents": 400,
        "params": params,
        "upstreams": [{"name": "u1"}],
    }]});
    let group: Group = serde_json::from_value(group).unwrap();
    let upstreams = Upstreams::spawn(group).unwrap();
    let (_, address) = upstreams.addresses().next().unwrap();
    (upstreams, address)
}

async fn search_shard(
    address: SocketAddr,
    request: &str,
    (snapshot, shard): (&str, &str),
    body: &str,
) -> Result<Response<Bytes>, Error> {
    let headers = [
        ("request-id", request),
        ("snapshot", snapshot),
        ("shard", shard),
        ("deadline-ms", "2000"),
        ("limit", "5"),
    ];
    call(address, "POST", "/v1/search", &headers, body).await
}

async fn search(address: SocketAddr, request: &str, body: &str) -> Response<Bytes> {
    let reply = search_shard(address, request, ("7", "a"), body).await;
    reply.unwrap()
}

async fn run(address: SocketAddr, key: &str, body: &str) -> Result<Response<Bytes>, Error> {
    let headers = [
        ("request-id", "0f"),
        ("idempotency-key", key),
        ("deadline-ms", "2000"),
    ];
    call(address, "POST", "/v1/run", &headers, body).await
}

#[test]
fn a_search_repeats_its_identity_and_ranks_hits() {
    let (_upstreams, address) = start(json!({}));
    block_on(async {
        let reply = search(address, "aa-1", QUERY).await;
        assert_eq!(reply.status(), 200);
        assert_eq!(reply.headers()["request-id"], "aa-1");
        assert_eq!(reply.headers()["snapshot"], "7");
        assert_eq!(reply.headers()["shard"], "a");
        let hits: Vec<Value> = serde_json::from_slice(reply.body()).unwrap();
        assert_eq!(hits.len(), 5);
        assert!(hits.is_sorted_by_key(|hit| std::cmp::Reverse(hit["score"].as_u64())));
        assert!(hits[0]["id"].as_str().unwrap().starts_with("7-"));
        assert!(hits[0]["text"].as_str().unwrap().contains("Cardiff"));
    });
}

#[test]
fn a_snapshot_that_is_not_served_is_named_with_those_that_are() {
    let (_upstreams, address) = start(json!({}));
    block_on(async {
        let all = search_shard(address, "aa-1", ("9", "a"), QUERY).await;
        assert_eq!(all.unwrap().headers()["snapshots"], "7,8");
        control(address, r#"{"snapshots":[8]}"#).await;
        let old = search_shard(address, "aa-2", ("7", "a"), QUERY).await;
        let old = old.unwrap();
        assert_eq!(old.status(), 410);
        assert_eq!(old.headers()["snapshots"], "8");
        let new = search_shard(address, "aa-3", ("8", "c"), QUERY).await;
        assert_eq!(new.unwrap().status(), 200);
    });
}

#[test]
fn slots_are_never_exceeded() {
    let (_upstreams, address) = start(json!({"slots": 3, "queue": 4, "service_us": 100_000}));
    block_on(async {
        let ids: Vec<_> = (0..10).map(|i| format!("aa-{i}")).collect();
        let searches = ids.iter().map(|id| search(address, id, QUERY));
        let replies = join_all(searches).await;
        let count = |status: u16| replies.iter().filter(|r| r.status() == status).count();
        assert_eq!((count(200), count(503)), (7, 3));
        let report: Report = report(address).await;
        assert_eq!((report.max_in_work, report.counters.searches), (3, 7));
    });
}

#[test]
fn clients_that_leave_the_queue_give_their_place_on() {
    let (_upstreams, address) = start(json!({"slots": 1, "queue": 2, "service_us": 300_000}));
    block_on(async {
        let client_timeout = Duration::from_millis(20);
        let ids = ["aa-1", "aa-2", "aa-3"];
        let leave = ids.map(|id| compio::time::timeout(client_timeout, search(address, id, QUERY)));
        assert!(join_all(leave).await.iter().all(Result::is_err));
        // Lets the upstream notice the closed connections; this must take less than a service time.
        compio::time::sleep(Duration::from_millis(50)).await;
        let ids = ["aa-4", "aa-5"];
        let replies = join_all(ids.map(|id| search(address, id, QUERY))).await;
        assert!(replies.iter().all(|r| r.status() == 200));
        let report: Report = report(address).await;
        assert_eq!(report.max_in_work, 1);
    });
}

#[test]
fn connections_over_the_limit_are_closed_and_counted() {
    let (_upstreams, address) = start(json!({"connections": 2, "slots": 9, "service_us": 50_000}));
    block_on(async {
        let ids = ["aa-1", "aa-2", "aa-3", "aa-4"];
        let searches = ids.map(|id| search_shard(address, id, ("7", "a"), QUERY));
        let replies = join_all(searches).await;
        assert_eq!(replies.iter().filter(|r| r.is_err()).count(), 2);
        compio::time::sleep(Duration::from_millis(20)).await;
        let report: Report = report(address).await;
        assert_eq!((report.max_connections, report.refused_connections), (2, 2));
    });
}

#[test]
fn a_draining_upstream_refuses_after_its_grace() {
    let (_upstreams, address) = start(json!({"grace_ms": 60, "health_lag_ms": 150}));
    block_on(async {
        control(address, r#"{"drain":true}"#).await;
        let within = search(address, "aa-1", QUERY).await;
        assert_eq!(within.status(), 200);
        assert_eq!(within.headers()["draining"], "1");
        let health = call(address, "GET", "/health", &[], "").await.unwrap();
        assert_eq!(health.body().as_ref(), br#"{"draining":false,"live":true}"#);
        compio::time::sleep(Duration::from_millis(160)).await;
        let after = search(address, "aa-2", QUERY).await;
        assert_eq!(after.status(), 503);
        assert_eq!(after.headers()["draining"], "1");
        let health = call(address, "GET", "/health", &[], "").await.unwrap();
        assert_eq!(health.body().as_ref(), br#"{"draining":true,"live":true}"#);
        let report: Report = report(address).await;
        assert!(report.late_starts_ms.len() == 1 && report.late_starts_ms[0] < 60);
        assert!(report.late_refusals_ms.len() == 1 && report.late_refusals_ms[0] >= 60);
    });
}

#[test]
fn a_marker_in_a_body_crashes_the_upstream_for_a_time() {
    let params = json!({"crash_marker": "poison", "restart_ms": 200, "service_us": 100_000});
    let (_upstreams, address) = start(params);
    block_on(async {
        let concurrent = search_shard(address, "aa-1", ("7", "a"), QUERY);
        let crash = async {
            compio::time::sleep(Duration::from_millis(30)).await;
            search_shard(address, "aa-2", ("7", "a"), "poison").await
        };
        let (concurrent, crash) = join(concurrent, crash).await;
        assert!(concurrent.is_err() && crash.is_err());
        let refused = search_shard(address, "aa-3", ("7", "a"), QUERY).await;
        assert!(matches!(refused, Err(Error::Connect { .. })));
        compio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(search(address, "aa-4", QUERY).await.status(), 200);
        let report: Report = report(address).await;
        assert_eq!((report.counters.crashes, report.max_in_work), (1, 1));
    });
}

#[test]
fn a_cancelled_search_ends_early_and_frees_its_slot() {
    let (_upstreams, address) = start(json!({"slots": 1, "service_us": 1_000_000}));
    block_on(async {
        let began = Instant::now();
        let cancel = async {
            compio::time::sleep(Duration::from_millis(30)).await;
            let id = [("request-id", "aa-1")];
            call(address, "POST", "/v1/cancel", &id, "").await.unwrap()
        };
        let (cancelled, reply) = join(search(address, "aa-1", QUERY), cancel).await;
        assert_eq!(
            (cancelled.status().as_u16(), reply.status().as_u16()),
            (499, 204)
        );
        assert!(began.elapsed() < Duration::from_millis(500));
        control(address, r#"{"service_us":0}"#).await;
        assert_eq!(search(address, "aa-2", QUERY).await.status(), 200);
    });
}

#[test]
fn work_past_its_deadline_is_dropped() {
    let (_upstreams, address) = start(json!({"slots": 1, "service_us": 3_000_000}));
    block_on(async {
        let queued = async {
            compio::time::sleep(Duration::from_millis(50)).await;
            let headers = [
                ("request-id", "aa-2"),
                ("snapshot", "7"),
                ("shard", "a"),
                ("deadline-ms", "200"),
            ];
            call(address, "POST", "/v1/search", &headers, QUERY).await
        };
        let (worked, queued) = join(search(address, "aa-1", QUERY), queued).await;
        assert_eq!(worked.status(), 504);
        assert_eq!(queued.unwrap().status(), 503);
        let report: Report = report(address).await;
        assert_eq!((report.counters.searches, report.counters.expired), (1, 2));
    });
}

#[test]
fn a_cold_start_refuses_then_serves() {
    let (_upstreams, address) = start(json!({"cold_start_ms": 300}));
    block_on(async {
        assert_eq!(search(address, "aa-1", QUERY).await.status(), 503);
        compio::time::sleep(Duration::from_millis(350)).await;
        assert_eq!(search(address, "aa-2", QUERY).await.status(), 200);
    });
}

#[test]
fn every_execution_of_a_run_is_on_record() {
    let params = json!({"crash_marker": "poison", "restart_ms": 50, "lose_replies": 1});
    let (_upstreams, address) = start(params);
    block_on(async {
        assert!(run(address, "k1", "{}").await.is_err());
        let reply = run(address, "k2", "{}").await.unwrap();
        assert_eq!(reply.headers()["request-id"], "0f");
        assert!(run(address, "k3", "poison").await.is_err());
        compio::time::sleep(Duration::from_millis(150)).await;
        let report: Report = report(address).await;
        let keys: Vec<_> = report.executions.iter().map(|e| &*e.key).collect();
        assert_eq!(keys, ["k1", "k2", "k3"]);
    });
}

#[test]
fn a_crossed_reply_carries_the_identity_of_an_earlier_search() {
    let (_upstreams, address) = start(json!({"cross_every": 1}));
    block_on(async {
        search(address, "aa-1", QUERY).await;
        let crossed = search(address, "aa-2", QUERY).await;
        assert_eq!(crossed.headers()["request-id"], "aa-1");
    });
}
