//! Conditional updates, watches and faults of the platform stand-in.

use std::{net::SocketAddr, pin::pin, time::Duration};

use bytes::Bytes;
use futures_util::future::{Either, join, select};
use http::Response;
use rig::{
    platform::{self, Config, Counters, MAX_VALUE_BYTES},
    server::Server,
};
use serde_json::Value;

use super::{block_on, call, control, report};

const ABSENT: (&str, &str) = ("if-none-match", "*");
const OBJECT: &str = "/v1/objects/catalogue/head";
/// Interval at which the state of the platform is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time in which a delayed write must take effect, even on a busy machine.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

fn start() -> (Server, SocketAddr) {
    let server = platform::spawn(Config::default()).unwrap();
    let address = server.addresses()[0];
    (server, address)
}

async fn put(address: SocketAddr, path: &str, condition: (&str, &str), body: &str) -> u16 {
    let reply = call(address, "PUT", path, &[condition], body).await;
    reply.unwrap().status().as_u16()
}

async fn watch(address: SocketAddr, after: u64, wait_ms: u64) -> Value {
    let path = format!("/v1/watch?after={after}&kinds=catalogue,index&wait_ms={wait_ms}");
    let reply = call(address, "GET", &path, &[], "").await.unwrap();
    assert_eq!(reply.status(), 200);
    serde_json::from_slice(reply.body()).unwrap()
}

async fn get(address: SocketAddr, path: &str) -> Response<Bytes> {
    call(address, "GET", path, &[], "").await.unwrap()
}

/// Waits until the platform has received this many writes.
async fn wait_for_writes(address: SocketAddr, count: u64) {
    while report::<Counters>(address).await.write < count {
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

#[test]
fn a_conditional_update_with_an_old_version_conflicts() {
    let (_server, address) = start();
    block_on(async {
        assert_eq!(put(address, OBJECT, ABSENT, "1").await, 200);
        assert_eq!(put(address, OBJECT, ABSENT, "2").await, 412);
        assert_eq!(put(address, OBJECT, ("if-match", "\"1\""), "3").await, 200);
        assert_eq!(put(address, OBJECT, ("if-match", "\"1\""), "4").await, 412);
        let reply = get(address, OBJECT).await;
        assert_eq!(reply.headers()["etag"], "\"2\"");
        assert_eq!(reply.body().as_ref(), b"3");
        let counters: Counters = report(address).await;
        assert_eq!(
            (counters.write, counters.conflicts, counters.read),
            (4, 2, 1)
        );
    });
}

#[test]
fn a_value_over_the_limit_is_refused() {
    let (_server, address) = start();
    block_on(async {
        let quoted = |bytes: usize| format!("\"{}\"", "x".repeat(bytes - 2));
        let whole = quoted(MAX_VALUE_BYTES);
        assert_eq!(put(address, OBJECT, ABSENT, &whole).await, 200);
        let over = quoted(MAX_VALUE_BYTES + 1);
        let other = "/v1/objects/catalogue/other";
        assert_eq!(put(address, other, ABSENT, &over).await, 413);
        assert_eq!(get(address, other).await.status(), 404);
    });
}

#[test]
fn a_watch_is_complete_up_to_seen() {
    let (_server, address) = start();
    block_on(async {
        for name in ["a", "b", "c"] {
            let path = format!("/v1/objects/index/{name}");
            assert_eq!(put(address, &path, ABSENT, r#"{"n":1}"#).await, 200);
        }
        let other = "/v1/objects/claims/x";
        assert_eq!(put(address, other, ABSENT, "{}").await, 200);
        let all = watch(address, 0, 0).await;
        assert_eq!(all["seen"], 4);
        let objects = all["objects"].as_array().unwrap();
        let versions: Vec<_> = objects.iter().map(|o| o["version"].as_u64()).collect();
        assert_eq!(versions, [Some(1), Some(2), Some(3)]);
        assert_eq!(objects[0]["value"]["n"], 1);
        let rest = watch(address, 2, 0).await;
        assert_eq!(rest["objects"].as_array().unwrap().len(), 1);
    });
}

#[test]
fn a_watch_waits_for_a_change_of_its_kinds() {
    let (_server, address) = start();
    block_on(async {
        let empty = watch(address, 0, 20).await;
        assert_eq!(empty["objects"].as_array().unwrap().len(), 0);
        let write = async {
            compio::time::sleep(Duration::from_millis(20)).await;
            put(address, "/v1/objects/claims/x", ABSENT, "{}").await;
            put(address, OBJECT, ABSENT, "7").await;
        };
        let (changed, ()) = join(watch(address, 0, 10_000), write).await;
        assert_eq!(changed["seen"], 2);
        assert_eq!(changed["objects"][0]["name"], "head");
    });
}

#[test]
fn a_write_whose_reply_is_lost_took_effect() {
    let (_server, address) = start();
    block_on(async {
        control(address, r#"{"lose_replies":1}"#).await;
        let lost = call(address, "PUT", OBJECT, &[ABSENT], "1").await;
        assert!(lost.is_err());
        assert_eq!(get(address, OBJECT).await.body().as_ref(), b"1");
        assert_eq!(put(address, OBJECT, ("if-match", "\"1\""), "2").await, 200);
        let counters: Counters = report(address).await;
        assert_eq!(counters.lost_replies, 1);
    });
}

#[test]
fn a_platform_that_is_down_does_nothing() {
    let (_server, address) = start();
    block_on(async {
        control(address, r#"{"mode":"down"}"#).await;
        assert_eq!(put(address, OBJECT, ABSENT, "1").await, 503);
        assert_eq!(get(address, OBJECT).await.status(), 503);
        control(address, r#"{"mode":"ok"}"#).await;
        assert_eq!(get(address, OBJECT).await.status(), 404);
    });
}

#[test]
fn a_late_write_takes_effect_after_its_client_has_gone() {
    let (_server, address) = start();
    block_on(async {
        let slow = r#"{"mode":"slow","delay_ms":1000,"late_writes":true}"#;
        control(address, slow).await;
        // The client must not disconnect before its request was read, since nothing would be
        // written then.
        let write = call(address, "PUT", OBJECT, &[ABSENT], "1");
        let mut write = Box::pin(write);
        match select(&mut write, pin!(wait_for_writes(address, 1))).await {
            Either::Left(_) => panic!("the write was answered"),
            Either::Right(_) => drop(write),
        }
        control(address, r#"{"mode":"ok"}"#).await;
        assert_eq!(get(address, OBJECT).await.status(), 404);
        let applied = async {
            while get(address, OBJECT).await.status() != 200 {
                compio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let applied = compio::time::timeout(WRITE_TIMEOUT, applied).await;
        assert!(
            applied.is_ok(),
            "the write took no effect in {WRITE_TIMEOUT:?}"
        );
    });
}

#[test]
fn stale_reads_answer_from_the_frozen_state() {
    let (_server, address) = start();
    block_on(async {
        assert_eq!(put(address, OBJECT, ABSENT, "1").await, 200);
        control(address, r#"{"stale_reads":true}"#).await;
        assert_eq!(put(address, OBJECT, ("if-match", "\"1\""), "2").await, 200);
        assert_eq!(get(address, OBJECT).await.body().as_ref(), b"1");
        assert_eq!(watch(address, 1, 0).await["seen"], 1);
        control(address, r#"{"stale_reads":false}"#).await;
        assert_eq!(get(address, OBJECT).await.body().as_ref(), b"2");
    });
}
