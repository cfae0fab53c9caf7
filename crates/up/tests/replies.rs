//! Mapping of replies to events, and invalid replies.

use std::time::Duration;

use base::{AttemptId, SnapshotId};
use node::{Failure, UpstreamEvent};
use up::Settings;

use crate::{
    fake::{FakeUpstream, Request, reply},
    harness::{Harness, block_on, echo},
};

/// Returns the event of a search that gets this reply.
fn event_of_reply(
    settings: Settings,
    handle: impl Fn(&Request) -> Option<Vec<u8>> + Send + Sync + 'static,
) -> UpstreamEvent {
    let fake = FakeUpstream::start(handle);
    block_on(async {
        let mut up = Harness::new(settings);
        up.search(fake.address, 1, 1000);
        up.next_event().await.1
    })
}

fn event_of_body(body: &'static str, settings: Settings) -> UpstreamEvent {
    event_of_reply(settings, move |request| Some(request.search_reply(body)))
}

fn event_of_status(status: u16, headers: &'static str) -> UpstreamEvent {
    event_of_reply(Settings::default(), move |_| {
        Some(reply(status, headers, ""))
    })
}

fn is_malformed(event: &UpstreamEvent) -> bool {
    matches!(event, UpstreamEvent::Failed(Failure::Malformed))
}

#[test]
fn hits_are_read() {
    let body = r#"[{"extra":{"a":[1]},"id":"a\"b","score":7,"text":"x"},
        {"text":"","score":0,"id":"c"}]"#;
    match event_of_body(body, Settings::default()) {
        UpstreamEvent::Replied(reply) => {
            assert_eq!(reply.echo, echo(AttemptId(1)));
            assert_eq!(reply.hits.len(), 2);
            assert_eq!(&*reply.hits[0].id, "a\"b");
            assert_eq!(reply.hits[0].score, 7);
            assert_eq!(&*reply.hits[1].id, "c");
            assert!(!reply.draining);
        }
        other => panic!("unexpected {other:?}"),
    }
}

#[test]
fn bad_bodies_are_malformed() {
    for body in [
        "",
        "{}",
        "[1]",
        "[] []",
        r#"[{"id":"a","score":7}]"#,
        r#"[{"id":"a","score":-7,"text":""}]"#,
        r#"[{"id":"a","id":"b","score":7,"text":""}]"#,
        r#"[{"id":1,"score":7,"text":""}]"#,
        r#"[{"id":"a","score":7,"text":""}"#,
    ] {
        let event = event_of_body(body, Settings::default());
        assert!(is_malformed(&event), "{body}: {event:?}");
    }
}

#[test]
fn large_bodies_are_malformed() {
    const BODY: &str = r#"[{"id":"a","score":7,"text":"12345"},{"id":"b","score":7,"text":""}]"#;
    let limits = [
        Settings {
            max_reply_bytes: BODY.len() - 1,
            ..Settings::default()
        },
        Settings {
            max_hits: 1,
            ..Settings::default()
        },
        Settings {
            max_text_bytes: 4,
            ..Settings::default()
        },
    ];
    for settings in limits {
        assert!(is_malformed(&event_of_body(BODY, settings)));
    }
    let exact = Settings {
        max_reply_bytes: BODY.len(),
        max_hits: 2,
        max_text_bytes: 5,
        ..Settings::default()
    };
    let event = event_of_body(BODY, exact);
    assert!(matches!(event, UpstreamEvent::Replied(_)));
}

#[test]
fn statuses_are_mapped() {
    match event_of_status(410, "snapshots: 7, 8,x\r\ndraining: 1\r\n") {
        UpstreamEvent::NoSnapshot {
            available,
            draining: true,
        } => assert_eq!(available, [SnapshotId(7), SnapshotId(8)]),
        other => panic!("unexpected {other:?}"),
    }
    match event_of_status(503, "retry-after: 2\r\n") {
        UpstreamEvent::Refused {
            retry_after,
            draining: false,
        } => assert_eq!(retry_after, Some(Duration::from_secs(2))),
        other => panic!("unexpected {other:?}"),
    }
    assert!(is_malformed(&event_of_status(500, "")));
    assert!(matches!(
        event_of_status(499, ""),
        UpstreamEvent::Failed(Failure::Cancelled)
    ));
}

#[test]
fn reply_that_is_not_http_is_malformed() {
    let event = event_of_reply(Settings::default(), |_| Some(b"what?\r\n\r\n".to_vec()));
    assert!(is_malformed(&event));
}

#[test]
fn request_has_the_headers_of_the_protocol() {
    let fake = FakeUpstream::start(|request| {
        let summary = format!(
            "{} {} {} {} {}",
            request.header("request-id"),
            request.header("snapshot"),
            request.header("shard"),
            request.header("limit"),
            String::from_utf8_lossy(&request.body).replace('"', "'"),
        );
        let left: u64 = request.header("deadline-ms").parse().unwrap_or(0);
        assert!((900..=1000).contains(&left), "{left}");
        let hits = format!(r#"[{{"id":"a","score":1,"text":"{summary}"}}]"#);
        Some(request.search_reply(&hits))
    });
    block_on(async {
        let mut up = Harness::new(Settings::default());
        up.search(fake.address, 1, 1000);
        match up.next_event().await.1 {
            UpstreamEvent::Replied(reply) => assert_eq!(
                &*reply.hits[0].text,
                "00000000000000000000000000000abc-1 7 s-1 5 {'query':'harp'}"
            ),
            other => panic!("unexpected {other:?}"),
        }
    });
}
