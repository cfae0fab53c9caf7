//! Callers that close their connection before the answer.

use base::CallId;
use front::Settings;
use node::Event;

use crate::{answers::search_results, harness::Harness};

fn caller_gone(event: Event) -> CallId {
    match event {
        Event::CallerGone(id) => id,
        other => panic!("unexpected {other:?}"),
    }
}

#[test]
fn caller_that_closes_is_reported_once() {
    let harness = Harness::start(Settings::default());
    let mut client = harness.connect();
    client.search();
    let (id, _) = harness.call();
    drop(client);
    assert_eq!(caller_gone(harness.event()), id);
    harness.answer(id, search_results());
    harness.assert_no_event();
}

#[test]
fn caller_that_got_its_answer_is_not_reported() {
    let harness = Harness::start(Settings::default());
    let mut client = harness.connect();
    client.search();
    let (id, _) = harness.call();
    harness.answer(id, search_results());
    client.response();
    drop(client);
    harness.assert_no_event();
}

#[test]
fn caller_that_closes_during_the_body_makes_no_call() {
    let harness = Harness::start(Settings::default());
    let mut client = harness.connect();
    client.send("POST /v1/entries/harps/search HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n{");
    drop(client);
    harness.assert_no_event();
}
