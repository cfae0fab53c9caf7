//! Invalid requests.

use std::time::{Duration, Instant};

use front::Settings;

use crate::harness::Harness;

#[test]
fn invalid_requests_are_rejected_without_a_call() {
    let harness = Harness::start(Settings::default());
    for (method, path, headers, status, reason) in [
        ("GET", "/v2", "", 404, "unknown_path"),
        ("POST", "/v1/entries/a", "", 404, "unknown_path"),
        ("POST", "/v1/entries/a/book", "", 404, "unknown_path"),
        ("POST", "/v1/entries/a/search/b", "", 404, "unknown_path"),
        ("GET", "/v1/entries/a/search", "", 405, "wrong_method"),
        ("POST", "/health", "", 405, "wrong_method"),
        ("GET", "/v1/drain", "", 405, "wrong_method"),
        ("POST", "/v1/entries/a%20b/search", "", 400, "bad_entry"),
        ("POST", "/v1/entries//search", "", 400, "bad_entry"),
        (
            "POST",
            "/v1/entries/a/search",
            "deadline-ms: soon\r\n",
            400,
            "bad_header",
        ),
        (
            "POST",
            "/v1/entries/a/search",
            "deadline-ms: -1\r\n",
            400,
            "bad_header",
        ),
        (
            "POST",
            "/v1/entries/a/search",
            "deadline-ms: 1\r\ndeadline-ms: 2\r\n",
            400,
            "bad_header",
        ),
        ("POST", "/v1/entries/a/run", "", 400, "key_missing"),
        (
            "POST",
            "/v1/entries/a/run",
            "idempotency-key: a b\r\n",
            400,
            "bad_header",
        ),
        (
            "POST",
            "/v1/entries/a/run",
            "idempotency-key: k-1\r\n",
            400,
            "bad_header",
        ),
        (
            "POST",
            "/v1/entries/a/run",
            "idempotency-key: 99999999999-1\r\n",
            400,
            "bad_header",
        ),
        (
            "POST",
            "/v1/entries/a/run",
            "idempotency-key: \r\n",
            400,
            "bad_header",
        ),
    ] {
        let mut client = harness.connect();
        client.send(format!(
            "{method} {path} HTTP/1.1\r\nhost: x\r\n{headers}content-length: 2\r\n\r\n{{}}"
        ));
        let response = client.response();
        assert_eq!(response.status, status, "{method} {path} {headers}");
        assert_eq!(response.field("result"), "not run");
        assert_eq!(response.field("reason"), reason);
    }
    harness.assert_no_event();
    let text = harness.connect().get("/metrics").body;
    assert!(
        text.contains("briarcove_refusals_total{reason=\"bad_header\"} 7"),
        "{text}"
    );
}

#[test]
fn header_that_is_not_text_is_refused() {
    let harness = Harness::start(Settings::default());
    for value in [&b"\xff\xfe"[..], "k\u{e9}".as_bytes()] {
        let mut client = harness.connect();
        let mut bytes = b"POST /v1/entries/a/run HTTP/1.1\r\nhost: x\r\nidempotency-key: ".to_vec();
        bytes.extend_from_slice(value);
        bytes.extend_from_slice(b"\r\ncontent-length: 2\r\n\r\n{}");
        client.send(bytes);
        let response = client.response();
        assert_eq!(response.status, 400);
        assert_eq!(response.field("reason"), "bad_header");
    }
    harness.assert_no_event();
}

#[test]
fn large_bodies_are_refused() {
    let harness = Harness::start(Settings {
        max_body: 16,
        ..Settings::default()
    });
    let start = "POST /v1/entries/a/search HTTP/1.1\r\nhost: x\r\n";
    for rest in [
        "content-length: 17\r\n\r\n12345678901234567",
        "transfer-encoding: chunked\r\n\r\n9\r\n123456789\r\n8\r\n12345678\r\n0\r\n\r\n",
    ] {
        let mut client = harness.connect();
        client.send(format!("{start}{rest}"));
        let response = client.response();
        assert_eq!(response.status, 413);
        assert_eq!(response.field("reason"), "body_too_large");
        client.assert_closed();
    }
    harness.assert_no_event();
    let mut client = harness.connect();
    client.send(format!("{start}content-length: 16\r\n\r\n1234567890123456"));
    harness.call();
}

#[test]
fn slow_body_is_refused() {
    let harness = Harness::start(Settings {
        body_timeout: Duration::from_millis(50),
        ..Settings::default()
    });
    let mut client = harness.connect();
    let start = Instant::now();
    client.send("POST /v1/entries/a/search HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n{");
    let response = client.response();
    assert_eq!(response.status, 400);
    assert_eq!(response.field("reason"), "body_timeout");
    assert!(start.elapsed() >= Duration::from_millis(50));
    client.assert_closed();
    harness.assert_no_event();
}

#[test]
fn connections_above_the_limit_are_refused() {
    let harness = Harness::start(Settings {
        max_connections: 1,
        ..Settings::default()
    });
    let mut first = harness.connect();
    first.search();
    let (id, _) = harness.call();
    let mut second = harness.connect();
    second.search();
    let response = second.response();
    assert_eq!(response.status, 503);
    assert_eq!(response.field("reason"), "connection_limit");
    second.assert_closed();
    harness.answer(id, crate::answers::search_results());
    assert_eq!(first.response().status, 200);
    harness.assert_no_event();
}
