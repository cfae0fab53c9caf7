//! Endpoints for operators.

use std::time::Duration;

use base::Revision;
use front::{Settings, Status};
use node::{Answer, Event, Reason, Refusal, Stats};

use crate::{answers::search_results, harness::Harness};

fn status(stats: &Stats) -> Status {
    let (instance, data_centre) = ("i-1".parse().unwrap(), "dc-1".parse().unwrap());
    Status::new(instance, data_centre, Duration::from_secs(3), stats)
}

/// Returns the value of a metric with the given labels.
fn value(text: &str, name: &str) -> Option<f64> {
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|v| v.parse().ok())
}

#[test]
fn health_follows_the_published_state() {
    let harness = Harness::start(Settings::default());
    let mut client = harness.connect();
    assert_eq!(client.get("/health").status, 503);
    assert_eq!(client.get("/v1/status").status, 503);
    let ready = Stats {
        ready: true,
        revision: Revision(4),
        ..Stats::default()
    };
    harness.publish(status(&ready));
    let health = until_status(&mut client, 200);
    assert_eq!(health, 4);
    let response = client.get("/v1/status");
    assert_eq!(response.field("instance"), "i-1");
    assert_eq!(response.field("uptime_ms"), 3000);
    assert_eq!(response.field("counts")["hedges"], 0);
    harness.publish(status(&Stats {
        draining: true,
        ..ready
    }));
    until_status(&mut client, 503);
}

/// Polls `/health` until it returns this status, and returns the revision in its body.
fn until_status(client: &mut crate::harness::Client, status: u16) -> u64 {
    for _ in 0..1000 {
        let response = client.get("/health");
        if response.status == status {
            return response.field("revision").as_u64().unwrap();
        }
    }
    panic!("the status did not become {status}");
}

#[test]
fn drain_is_passed_on() {
    let harness = Harness::start(Settings::default());
    let mut client = harness.connect();
    client.post("/v1/drain", "", "");
    assert_eq!(client.response().status, 202);
    assert!(matches!(harness.event(), Event::Drain));
}

#[test]
fn metrics_show_answers_and_counts() {
    let harness = Harness::start(Settings {
        max_entry_labels: 1,
        ..Settings::default()
    });
    let mut client = harness.connect();
    let no_entry = Answer::Refused(Refusal {
        reason: Reason::NoEntry,
        retry_after: None,
    });
    for (entry, answer) in [
        ("nope", no_entry),
        ("harps", search_results()),
        ("choirs", search_results()),
    ] {
        client.post(&format!("/v1/entries/{entry}/search"), "", "{}");
        let (id, _) = harness.call();
        harness.answer(id, answer);
        client.response();
    }
    let stats = Stats {
        first_attempts: 200,
        hedges: 8,
        retries: 2,
        peers_live: 5,
        ..Stats::default()
    };
    harness.publish(status(&stats));
    harness.publish(status(&Stats {
        hedges: 10,
        ..stats
    }));
    let mut text = String::new();
    for _ in 0..1000 {
        text = client.get("/metrics").body;
        if value(&text, "briarcove_hedges_total") == Some(10.0) {
            break;
        }
    }
    for (name, expected) in [
        ("briarcove_hedges_total", 10.0),
        ("briarcove_extra_load_ratio", 0.06),
        ("briarcove_peers_live", 5.0),
        ("briarcove_connections", 1.0),
        ("briarcove_refusals_total{reason=\"no_entry\"}", 1.0),
        (
            "briarcove_answer_seconds_count{entry=\"harps\",outcome=\"partial\"}",
            1.0,
        ),
        // An unknown entry, and one above the limit on labels.
        (
            "briarcove_answer_seconds_count{entry=\"(other)\",outcome=\"refused\"}",
            1.0,
        ),
        (
            "briarcove_answer_seconds_count{entry=\"(other)\",outcome=\"partial\"}",
            1.0,
        ),
        ("briarcove_coverage_ratio_sum{entry=\"harps\"}", 2.0 / 3.0),
    ] {
        let shown = value(&text, name).unwrap_or(f64::NAN);
        assert!((shown - expected).abs() < 1e-9, "{name} is {shown}\n{text}");
    }
    assert!(!text.contains("nope") && !text.contains("choirs"));
}
