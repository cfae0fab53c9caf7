//! Shutdown without cutting off requests.

use std::{thread, time::Duration};

use front::Settings;
use node::Answer;

use crate::{answers::search_results, harness::Harness};

#[test]
fn requests_in_flight_are_answered_and_the_connection_closes() {
    let harness = Harness::start(Settings::default());
    let mut idle = harness.connect();
    idle.get("/health");
    let mut busy = harness.connect();
    busy.search();
    let (id, _) = harness.call();
    harness.stop();
    idle.assert_closed();
    thread::sleep(Duration::from_millis(100));
    assert!(!harness.is_drained());
    harness.answer(id, search_results());
    let response = busy.response();
    assert_eq!(response.status, 200);
    assert_eq!(response.header("connection"), "close");
    busy.assert_closed();
    harness.wait_drained();
}

#[test]
fn requests_that_arrive_during_a_stop_are_answered() {
    let harness = Harness::start(Settings {
        stop_linger: Duration::from_millis(200),
        ..Settings::default()
    });
    let mut idle = harness.connect();
    idle.get("/health");
    let mut pending_client = harness.connect();
    pending_client.search();
    let (pending_call, _) = harness.call();
    harness.stop();
    // One request arrives on an idle connection and one on a new connection.
    let mut new = harness.connect();
    for client in [&mut idle, &mut new] {
        client.search();
        let (id, _) = harness.call();
        harness.answer(id, search_results());
        let response = client.response();
        assert_eq!(response.status, 200);
        assert_eq!(response.header("connection"), "close");
        client.assert_closed();
    }
    harness.answer(pending_call, search_results());
    assert_eq!(pending_client.response().status, 200);
    harness.wait_drained();
}

#[test]
fn idle_endpoints_drain_at_once() {
    let harness = Harness::start(Settings::default());
    let mut unused = harness.connect();
    harness.stop();
    unused.assert_closed();
    harness.wait_drained();
}

/// Returns an answer that is larger than any socket buffer.
fn large_answer() -> Answer {
    let Answer::Results(mut answer) = search_results() else {
        panic!("expected a result, found another answer");
    };
    answer.hits = vec![answer.hits[0].clone(); 100_000];
    Answer::Results(answer)
}

#[test]
fn caller_that_does_not_read_does_not_block_shutdown() {
    let harness = Harness::start(Settings {
        write_timeout: Duration::from_millis(100),
        ..Settings::default()
    });
    let mut client = harness.connect();
    client.search();
    let (id, _) = harness.call();
    harness.stop();
    harness.answer(id, large_answer());
    harness.wait_drained();
    drop(client);
}

#[test]
fn large_answer_is_written_whole_while_draining() {
    let harness = Harness::start(Settings::default());
    let mut client = harness.connect();
    client.search();
    let (id, _) = harness.call();
    harness.stop();
    harness.answer(id, large_answer());
    thread::sleep(Duration::from_millis(100));
    assert!(!harness.is_drained());
    let response = client.response();
    assert_eq!(response.field("hits").as_array().unwrap().len(), 100_000);
    harness.wait_drained();
}
