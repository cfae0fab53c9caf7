//! Pools under test with their event channel.

use std::{cell::Cell, future::Future, net::SocketAddr, time::Duration};

use base::{AttemptId, RequestId, SnapshotId};
use bytes::Bytes;
use compio::{runtime::Runtime, time::timeout};
use futures_channel::mpsc::{self, UnboundedReceiver};
use futures_util::StreamExt;
use node::{Echo, Event, Failure, Send, SubRequest, UpstreamEvent};
use up::{Pools, Settings};

/// Longest wait for an expected event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Pools under test.
pub(crate) struct Harness {
    /// Pools under test.
    pub(crate) pools: Pools,
    events_rx: UnboundedReceiver<Event>,
    last: Cell<AttemptId>,
    /// Additional time for a reply after the upstream's deadline.
    pub(crate) grace: Duration,
}

impl Harness {
    /// Creates pools with the given limits.
    pub(crate) fn new(settings: Settings) -> Self {
        let (events, events_rx) = mpsc::unbounded();
        Self {
            pools: Pools::new(settings, events),
            events_rx,
            last: Cell::default(),
            grace: Duration::ZERO,
        }
    }

    /// Sends a search.
    pub(crate) fn search(&self, to: SocketAddr, connections: u32, timeout_ms: u64) -> AttemptId {
        let attempt = self.next();
        let sub_request = SubRequest::Search {
            echo: echo(attempt),
            limit: 5,
            body: Bytes::from_static(b"{\"query\":\"harp\"}"),
        };
        self.send(attempt, to, connections, timeout_ms, sub_request)
    }

    /// Sends a request that must run at most once.
    pub(crate) fn run(&self, to: SocketAddr, connections: u32, timeout_ms: u64) -> AttemptId {
        let attempt = self.next();
        let sub_request = SubRequest::Run {
            request: RequestId(u128::from(attempt.0)),
            key: "1764800000-1".parse().unwrap(),
            body: Bytes::from_static(b"{}"),
        };
        self.send(attempt, to, connections, timeout_ms, sub_request)
    }

    /// Waits for the next event of an attempt.
    pub(crate) async fn next_event(&mut self) -> (AttemptId, UpstreamEvent) {
        match timeout(EVENT_TIMEOUT, self.events_rx.next()).await.unwrap() {
            Some(Event::Upstream(attempt, event)) => (attempt, event),
            other => panic!("unexpected {other:?}"),
        }
    }

    /// Waits for the next event, which must be a failure.
    pub(crate) async fn next_failure(&mut self) -> Failure {
        match self.next_event().await {
            (_, UpstreamEvent::Failed(failure)) => failure,
            other => panic!("unexpected {other:?}"),
        }
    }

    /// Waits for the next event, which must report this attempt as cancelled.
    pub(crate) async fn expect_cancelled(&mut self, attempt: AttemptId) {
        let (ended, event) = self.next_event().await;
        assert_eq!(ended, attempt);
        assert!(
            matches!(event, UpstreamEvent::Failed(Failure::Cancelled)),
            "{event:?}"
        );
    }

    /// Asserts that no event is reported for a while.
    pub(crate) async fn assert_no_event(&mut self, time: Duration) {
        let event = timeout(time, self.events_rx.next()).await;
        assert!(event.is_err(), "unexpected {event:?}");
    }

    fn next(&self) -> AttemptId {
        self.last.set(self.last.get().next());
        self.last.get()
    }

    fn send(
        &self,
        attempt: AttemptId,
        address: SocketAddr,
        connections: u32,
        timeout_ms: u64,
        sub_request: SubRequest,
    ) -> AttemptId {
        self.pools.send(Send {
            attempt,
            address,
            connections,
            timeout: Duration::from_millis(timeout_ms),
            grace: self.grace,
            sub_request,
        });
        attempt
    }
}

/// Returns the identity of an attempt's search.
pub(crate) fn echo(attempt: AttemptId) -> Echo {
    Echo {
        request: RequestId(0xabc),
        attempt: attempt.0,
        snapshot: SnapshotId(7),
        shard: "s-1".parse().unwrap(),
    }
}

/// Runs a test in its own runtime.
pub(crate) fn block_on<F: Future>(test: F) -> F::Output {
    Runtime::new().unwrap().block_on(test)
}

/// Waits until a condition holds.
pub(crate) async fn until(mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            compio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(EVENT_TIMEOUT, wait).await.unwrap();
}
