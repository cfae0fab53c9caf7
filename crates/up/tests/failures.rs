//! Which failure is reported, and whether the request may have run.

use std::{
    net::TcpListener,
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::Duration,
};

use node::{Failure, UpstreamEvent};
use up::Settings;

use crate::{
    fake::{FakeUpstream, reply},
    harness::{Harness, block_on, until},
};

#[test]
fn refused_connection_fails_as_connect() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    block_on(async {
        let mut up = Harness::new(Settings::default());
        up.search(address, 2, 1000);
        up.run(address, 2, 1000);
        assert_eq!(up.next_failure().await, Failure::Connect);
        assert_eq!(up.next_failure().await, Failure::Connect);
        up.assert_no_event(Duration::from_millis(20)).await;
        assert_eq!(up.pools.connections(), 0);
    });
}

#[test]
fn close_after_the_request_fails_as_broken_without_resend() {
    let fake = FakeUpstream::start(|_| None);
    block_on(async {
        let mut up = Harness::new(Settings::default());
        up.search(fake.address, 2, 1000);
        assert_eq!(up.next_failure().await, Failure::Broken);
        up.run(fake.address, 2, 1000);
        assert_eq!(up.next_failure().await, Failure::Broken);
        up.assert_no_event(Duration::from_millis(30)).await;
        assert_eq!(fake.requests(), 2);
    });
}

#[test]
fn timeout_after_the_request_closes_the_connection() {
    let fake = FakeUpstream::start(|request| {
        thread::sleep(Duration::from_millis(120));
        Some(request.search_reply("[]"))
    });
    block_on(async {
        let mut up = Harness::new(Settings::default());
        up.run(fake.address, 2, 30);
        assert_eq!(up.next_failure().await, Failure::TimedOut);
        until(|| up.pools.connections() == 0).await;
        up.assert_no_event(Duration::from_millis(150)).await;
        assert_eq!(fake.requests(), 1);
    });
}

#[test]
fn reply_after_the_deadline_is_accepted_within_the_grace() {
    // The upstream counts its deadline from the arrival of the request, and its reply takes time.
    let fake = FakeUpstream::start(|request| {
        let deadline_ms = request.header("deadline-ms").parse().unwrap();
        thread::sleep(Duration::from_millis(deadline_ms) + Duration::from_millis(10));
        Some(reply(503, "", ""))
    });
    block_on(async {
        let mut up = Harness::new(Settings::default());
        up.grace = Duration::from_millis(200);
        up.search(fake.address, 2, 30);
        let (_, event) = up.next_event().await;
        let refused = matches!(event, UpstreamEvent::Refused { .. });
        assert!(refused, "{event:?}");
    });
}

#[test]
fn limit_of_zero_connections_fails_as_connect() {
    let fake = FakeUpstream::start(|request| Some(request.search_reply("[]")));
    block_on(async {
        let mut up = Harness::new(Settings::default());
        up.run(fake.address, 0, 30);
        assert_eq!(up.next_failure().await, Failure::Connect);
        assert_eq!(fake.accepted(), 0);
    });
}

#[test]
fn requests_on_closed_idle_connections_run_at_most_once() {
    // The upstream closes idle connections at varying times around the next request.
    for delay_us in [0, 50, 100, 200, 400, 800, 1600] {
        let fake = FakeUpstream::start_closing(Duration::from_micros(delay_us));
        block_on(async {
            let mut up = Harness::new(Settings::default());
            for round in 0..20u64 {
                let before = fake.requests();
                up.search(fake.address, 1, 1000);
                assert!(matches!(
                    up.next_event().await.1,
                    UpstreamEvent::Replied(_) | UpstreamEvent::Failed(_)
                ));
                thread::sleep(Duration::from_micros(round * 40));
                let sent = fake.requests();
                assert!(sent - before <= 2);
                up.run(fake.address, 1, 1000);
                match up.next_event().await.1 {
                    UpstreamEvent::Ran { .. } => assert_eq!(fake.requests() - sent, 1),
                    UpstreamEvent::Failed(Failure::Connect) => {
                        compio::time::sleep(Duration::from_millis(3)).await;
                        assert_eq!(fake.requests(), sent, "not sent, but it arrived");
                    }
                    UpstreamEvent::Failed(Failure::Broken) => {
                        assert!(fake.requests() - sent <= 1);
                    }
                    other => panic!("unexpected {other:?}"),
                }
            }
        });
    }
}

#[test]
fn unnoticed_close_is_detected_before_a_byte_is_sent() {
    block_on(async {
        for _ in 0..20 {
            let fake = FakeUpstream::start_closing(Duration::from_millis(10));
            let mut up = Harness::new(Settings::default());
            for run_next in [true, false] {
                up.search(fake.address, 1, 1000);
                assert!(matches!(up.next_event().await.1, UpstreamEvent::Replied(_)));
                // The runtime is blocked while the upstream closes the connection.
                while fake.open() > 0 {
                    thread::sleep(Duration::from_millis(1));
                }
                if run_next {
                    up.run(fake.address, 1, 1000);
                    assert_eq!(up.next_failure().await, Failure::Connect);
                    until(|| up.pools.connections() == 0).await;
                }
            }
            // A search is moved to another connection.
            up.search(fake.address, 1, 1000);
            assert!(matches!(up.next_event().await.1, UpstreamEvent::Replied(_)));
            assert_eq!((fake.requests(), up.pools.stats().resent), (3, 1));
        }
    });
}

#[test]
fn close_during_a_request_fails_as_broken() {
    let requests = AtomicUsize::new(0);
    let fake = FakeUpstream::start(move |request| {
        let second = requests.fetch_add(1, Ordering::SeqCst) == 1;
        (!second).then(|| request.valid_reply())
    });
    block_on(async {
        let mut up = Harness::new(Settings::default());
        up.run(fake.address, 1, 1000);
        assert!(matches!(up.next_event().await.1, UpstreamEvent::Ran { .. }));
        up.run(fake.address, 1, 1000);
        assert_eq!(up.next_failure().await, Failure::Broken);
        up.search(fake.address, 1, 1000);
        assert!(matches!(up.next_event().await.1, UpstreamEvent::Replied(_)));
        assert_eq!((fake.requests(), fake.accepted()), (3, 2));
    });
}

#[test]
fn reply_of_another_request_is_malformed_and_closes() {
    for (wrong, right) in [
        (
            "request-id: 00000000000000000000000000000abc-9",
            "snapshot: 7\r\nshard: s-1",
        ),
        (
            "request-id: 00000000000000000000000000000abd-1",
            "snapshot: 7\r\nshard: s-1",
        ),
        (
            "snapshot: 8",
            "request-id: 00000000000000000000000000000abc-1\r\nshard: s-1",
        ),
        (
            "shard: s-2",
            "request-id: 00000000000000000000000000000abc-1\r\nsnapshot: 7",
        ),
        (
            "x: y",
            "request-id: 00000000000000000000000000000abc-1\r\nsnapshot: 7",
        ),
    ] {
        let fake = FakeUpstream::start(move |_| {
            Some(reply(200, &format!("{wrong}\r\n{right}\r\n"), "[]"))
        });
        block_on(async {
            let mut up = Harness::new(Settings::default());
            up.search(fake.address, 1, 1000);
            assert_eq!(up.next_failure().await, Failure::Malformed, "{wrong}");
            until(|| up.pools.connections() == 0 && fake.open() == 0).await;
        });
    }
}

#[test]
fn refusal_of_another_run_is_malformed_and_closes() {
    let fake = FakeUpstream::start(|_| Some(reply(503, "request-id: ff\r\n", "")));
    block_on(async {
        let mut up = Harness::new(Settings::default());
        up.run(fake.address, 1, 1000);
        assert_eq!(up.next_failure().await, Failure::Malformed);
        until(|| fake.open() == 0).await;
    });
}

/// Bytes of a flood; more than a reply may have.
const FLOOD_BYTES: usize = 32 << 20;

/// An upstream that sends without end must cost neither memory nor a connection for good.
#[test]
fn a_flood_in_place_of_a_reply_is_malformed_and_closes() {
    for (first, next) in [
        ("", "no reply"),
        ("HTTP/1.1 200 OK\r\nx-long: ", "a"),
        ("HTTP/1.1 200 OK\r\n", "x-more: 1\r\n"),
        ("HTTP/1.1 200 OK\r\n\r\n", "body"),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            "4\r\nbody\r\n",
        ),
    ] {
        let flood = format!("{first}{}", next.repeat(FLOOD_BYTES / next.len()));
        let fake = FakeUpstream::start(move |_| Some(flood.clone().into_bytes()));
        block_on(async {
            let mut up = Harness::new(Settings::default());
            up.search(fake.address, 2, 5_000);
            assert_eq!(
                up.next_failure().await,
                Failure::Malformed,
                "{first:?} {next:?}"
            );
            up.run(fake.address, 2, 5_000);
            assert_eq!(
                up.next_failure().await,
                Failure::Malformed,
                "{first:?} {next:?}"
            );
            until(|| up.pools.connections() == 0).await;
        });
    }
}

/// Status 000 and names that hold a blank or a control byte.
#[test]
fn a_head_that_is_not_http_is_malformed_and_closes() {
    for head in [
        "HTTP/1.1 000 \r\n",
        "HTTP/1.1 099 X\r\n",
        "HTTP/1.1 101 X\r\n",
        "HTTP/1.1 999 X\r\n",
        "HTTP/1.1 200 OK\r\nx odd: 1\r\n",
        "HTTP/1.1 200 OK\r\nx-odd : 1\r\n",
        "HTTP/1.1 200 OK\r\nx\u{1}odd: 1\r\n",
        "HTTP/1.1 200 OK\r\nx\0odd: 1\r\n",
        "HTTP/1.1 200 OK\r\n: 1\r\n",
    ] {
        let fake = FakeUpstream::start(move |request| {
            let reply = String::from_utf8(request.valid_reply()).unwrap();
            let (_, rest) = reply.split_once("\r\n").unwrap();
            Some(format!("{head}{rest}").into_bytes())
        });
        block_on(async {
            let mut up = Harness::new(Settings::default());
            up.search(fake.address, 2, 1_000);
            assert_eq!(up.next_failure().await, Failure::Malformed, "{head:?}");
            up.run(fake.address, 2, 1_000);
            assert_eq!(up.next_failure().await, Failure::Malformed, "{head:?}");
        });
    }
}
