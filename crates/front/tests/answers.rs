//! Responses to callers for each kind of answer.

use std::time::Duration;

use base::{RequestId, SnapshotId};
use bytes::Bytes;
use front::Settings;
use node::{Answer, Call, Coverage, Hit, Reason, Refusal, SearchResults};

use crate::harness::{Harness, Response};

/// Sends a search, answers it and returns the response.
fn respond(harness: &Harness, answer: Answer) -> Response {
    let mut client = harness.connect();
    client.search();
    let (id, _) = harness.call();
    harness.answer(id, answer);
    client.response()
}

/// Returns a result of a search.
pub(crate) fn search_results() -> Answer {
    Answer::Results(SearchResults {
        request: RequestId(0xabc),
        snapshot: SnapshotId(7),
        hits: vec![Hit {
            id: "a".into(),
            score: u64::MAX,
            text: "say \"hi\"\n".into(),
        }],
        coverage: Coverage {
            asked: 3,
            answered: 2,
            missing: vec!["s-2".parse().unwrap()],
        },
    })
}

#[test]
fn search_results_are_written_in_full() {
    let harness = Harness::start(Settings::default());
    let response = respond(&harness, search_results());
    assert_eq!(response.status, 200);
    assert_eq!(response.header("content-type"), "application/json");
    assert_eq!(
        response.body,
        concat!(
            r#"{"request":"00000000000000000000000000000abc","snapshot":7,"hits":"#,
            r#"[{"id":"a","score":18446744073709551615,"text":"say \"hi\"\n"}],"#,
            r#""coverage":{"asked":3,"answered":2,"missing":["s-2"]}}"#
        )
    );
}

#[test]
fn outcome_is_passed_on() {
    let harness = Harness::start(Settings::default());
    for (outcome, shown) in [
        ("{\"n\": 1}", "{\"n\": 1}"),
        ("no \"JSON", r#""no \"JSON""#),
    ] {
        let answer = Answer::Done {
            request: RequestId(1),
            outcome: Bytes::from(outcome),
            repeated: true,
        };
        let response = respond(&harness, answer);
        assert_eq!(response.status, 200);
        let expected = format!(
            r#"{{"request":"00000000000000000000000000000001","outcome":{shown},"repeated":true}}"#
        );
        assert_eq!(response.body, expected);
    }
}

#[test]
fn retry_after_is_rounded_up() {
    let harness = Harness::start(Settings::default());
    for (micros, seconds, millis) in [
        (1, "1", 1),
        (999_999, "1", 1000),
        (1_000_000, "1", 1000),
        (1_000_001, "2", 1001),
        (0, "0", 0),
    ] {
        let retry_after = Duration::from_micros(micros);
        let unknown = respond(&harness, Answer::Unknown { retry_after });
        assert_eq!(unknown.status, 202);
        assert_eq!(unknown.field("result"), "unknown");
        let refused = respond(
            &harness,
            Answer::Refused(Refusal {
                reason: Reason::Overload,
                retry_after: Some(retry_after),
            }),
        );
        assert_eq!(refused.status, 503);
        assert_eq!(refused.field("result"), "not run");
        for response in [unknown, refused] {
            assert_eq!(response.header("retry-after"), seconds);
            assert_eq!(response.field("retry_after_ms"), millis);
        }
    }
}

#[test]
fn refusal_reasons_map_to_statuses() {
    let harness = Harness::start(Settings::default());
    for reason in Reason::ALL {
        let expected = match reason.as_str() {
            "no_entry" => 404,
            "wrong_class" => 400,
            "body_size" => 413,
            "key_reused" => 409,
            "rate_limit" | "concurrency_limit" | "quarantined" => 429,
            _ => 503,
        };
        let refusal = Refusal {
            reason,
            retry_after: None,
        };
        let response = respond(&harness, Answer::Refused(refusal));
        assert_eq!(response.status, expected, "{reason}");
        assert_eq!(response.header("retry-after"), "");
        let body = format!(r#"{{"result":"not run","reason":"{reason}"}}"#);
        assert_eq!(response.body, body);
    }
}

#[test]
fn expired_key_is_gone() {
    let harness = Harness::start(Settings::default());
    let response = respond(&harness, Answer::Expired);
    assert_eq!(response.status, 410);
    assert_eq!(response.field("result"), "expired");
    assert_eq!(response.field("reason"), "key_expired");
}

#[test]
fn calls_carry_what_the_caller_sent() {
    let harness = Harness::start(Settings::default());
    let mut client = harness.connect();
    let headers = "idempotency-key: 1764800000-1\r\ndeadline-ms: 250\r\n";
    client.post("/v1/entries/orders/run", headers, "{\"x\":1}");
    let (first, call) = harness.call();
    match call {
        Call::Run {
            entry,
            deadline,
            key,
            body,
            ..
        } => {
            assert_eq!((entry.as_str(), key.as_str()), ("orders", "1764800000-1"));
            assert_eq!(deadline, Some(Duration::from_millis(250)));
            assert_eq!(body, "{\"x\":1}");
        }
        other => panic!("unexpected {other:?}"),
    }
    let mut other = harness.connect();
    other.search();
    let (second, call) = harness.call();
    assert!(matches!(call, Call::Search { deadline: None, .. }));
    assert_ne!(first, second);
    // Answers in another order than the calls reach the right callers.
    harness.answer(second, search_results());
    let retry_after = Duration::ZERO;
    harness.answer(first, Answer::Unknown { retry_after });
    assert_eq!(client.response().status, 202);
    assert_eq!(other.response().status, 200);
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let harness = Harness::start(Settings::default());
    let mut client = harness.connect();
    client.search();
    client.search();
    for _ in 0..2 {
        let (id, _) = harness.call();
        harness.answer(id, search_results());
        assert_eq!(client.response().status, 200);
    }
}
