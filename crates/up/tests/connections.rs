//! Connection limit, queueing, reuse, idle timeout and cancellation.

use std::{
    sync::{Arc, Mutex, atomic::Ordering},
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
fn limit_holds_under_concurrent_sends() {
    let fake = FakeUpstream::start(|request| {
        thread::sleep(Duration::from_millis(1));
        Some(request.search_reply("[]"))
    });
    block_on(async {
        let mut up = Harness::new(Settings::default());
        for _ in 0..300 {
            up.search(fake.address, 3, 5000);
            assert!(up.pools.connections() <= 3);
        }
        for _ in 0..300 {
            assert!(matches!(up.next_event().await.1, UpstreamEvent::Replied(_)));
            assert!(up.pools.connections() <= 3);
        }
        assert_eq!(fake.counts.most_open.load(Ordering::SeqCst), 3);
        assert_eq!(fake.accepted(), 3);
        assert_eq!(up.pools.stats().attempts, 0);
    });
}

#[test]
fn lower_limit_closes_idle_connections() {
    let fake = FakeUpstream::start(|request| {
        thread::sleep(Duration::from_millis(5));
        Some(request.search_reply("[]"))
    });
    block_on(async {
        let mut up = Harness::new(Settings::default());
        for _ in 0..4 {
            up.search(fake.address, 4, 5000);
        }
        for _ in 0..4 {
            up.next_event().await;
        }
        assert_eq!(up.pools.connections(), 4);
        up.search(fake.address, 1, 5000);
        up.next_event().await;
        until(|| up.pools.connections() == 1 && fake.open() == 1).await;
    });
}

#[test]
fn attempts_wait_in_order_and_time_out_unsent() {
    let order = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::clone(&order);
    let fake = FakeUpstream::start(move |request| {
        seen.lock()
            .unwrap()
            .push(request.header("request-id").to_owned());
        thread::sleep(Duration::from_millis(60));
        Some(request.search_reply("[]"))
    });
    block_on(async {
        let mut up = Harness::new(Settings::default());
        up.search(fake.address, 1, 5000);
        let late = up.search(fake.address, 1, 20);
        up.search(fake.address, 1, 5000);
        up.search(fake.address, 1, 5000);
        let (attempt, event) = up.next_event().await;
        assert_eq!(attempt, late);
        assert!(matches!(event, UpstreamEvent::Failed(Failure::Connect)));
        for _ in 0..3 {
            assert!(matches!(up.next_event().await.1, UpstreamEvent::Replied(_)));
        }
        let order = order.lock().unwrap();
        let numbers: Vec<_> = order.iter().map(|id| &id[33..]).collect();
        assert_eq!(numbers, ["1", "3", "4"]);
    });
}

#[test]
fn idle_connections_are_bounded_in_number_and_time() {
    let fake = FakeUpstream::start(|request| {
        thread::sleep(Duration::from_millis(5));
        Some(request.search_reply("[]"))
    });
    block_on(async {
        let mut up = Harness::new(Settings {
            idle_connections: 2,
            idle_time: Duration::from_millis(80),
            ..Settings::default()
        });
        for _ in 0..6 {
            up.search(fake.address, 6, 5000);
        }
        for _ in 0..6 {
            up.next_event().await;
        }
        until(|| up.pools.connections() == 2).await;
        until(|| up.pools.connections() == 0 && fake.open() == 0).await;
    });
}

#[test]
fn cancelled_attempt_reports_when_its_connection_is_free() {
    let cancels = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::clone(&cancels);
    let fake = FakeUpstream::start(move |request| {
        if request.head.starts_with("POST /v1/cancel") {
            seen.lock()
                .unwrap()
                .push(request.header("request-id").to_owned());
            return Some(reply(204, "", ""));
        }
        thread::sleep(Duration::from_millis(50));
        Some(reply(499, "", ""))
    });
    block_on(async {
        let mut up = Harness::new(Settings::default());
        let attempt = up.search(fake.address, 2, 5000);
        until(|| fake.requests() == 1).await;
        up.pools.cancel(attempt);
        up.expect_cancelled(attempt).await;
        up.assert_no_event(Duration::from_millis(100)).await;
        assert_eq!(
            *cancels.lock().unwrap(),
            ["00000000000000000000000000000abc-1"]
        );
        assert_eq!((up.pools.connections(), fake.open()), (2, 2));
        assert_eq!(up.pools.stats().cancels_sent, 1);
    });
}

#[test]
fn cancellation_is_not_sent_without_a_free_connection() {
    let fake = FakeUpstream::start(|request| {
        thread::sleep(Duration::from_millis(40));
        Some(request.search_reply("[]"))
    });
    block_on(async {
        let mut up = Harness::new(Settings::default());
        let attempt = up.search(fake.address, 1, 5000);
        until(|| fake.requests() == 1).await;
        up.pools.cancel(attempt);
        up.search(fake.address, 1, 5000);
        up.expect_cancelled(attempt).await;
        assert!(matches!(up.next_event().await.1, UpstreamEvent::Replied(_)));
        up.assert_no_event(Duration::from_millis(50)).await;
        assert_eq!((fake.requests(), fake.accepted()), (2, 1));
        assert_eq!(up.pools.stats().cancels_skipped, 1);
    });
}

#[test]
fn cancelled_attempt_without_reply_closes_its_connection() {
    let fake = FakeUpstream::start(|_| {
        thread::sleep(Duration::from_millis(300));
        None
    });
    block_on(async {
        let mut up = Harness::new(Settings::default());
        let attempt = up.search(fake.address, 1, 60);
        until(|| fake.requests() == 1).await;
        up.pools.cancel(attempt);
        up.expect_cancelled(attempt).await;
        until(|| up.pools.connections() == 0).await;
        up.assert_no_event(Duration::from_millis(20)).await;
    });
}
