//! Callers that send requests on persistent connections.

use std::{
    net::SocketAddr,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::time::{sleep, timeout};
use http::{Request, Response};
use http_body_util::Full;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::client::Client;

/// Time for which a caller waits for an answer beyond the timeout that it sends.
const RESPONSE_GRACE: Duration = Duration::from_millis(2_500);

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// A search over all shards.
    Search,
    /// An idempotent request to one service.
    Status,
    /// A request to one service that must run at most once.
    Order,
}

/// One request and its result.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    /// Request id.
    pub(super) id: String,
    pub(super) kind: Kind,
    /// Index of the instance that received it.
    pub(super) instance: usize,
    /// Time at which it was sent.
    pub(super) sent: Instant,
    /// Time at which it was answered, failed or timed out.
    pub(super) ended: Instant,
    /// Remaining time that the caller sent in the request.
    pub(super) time_left: Duration,
    /// The answer; `None` if the connection closed or the request timed out.
    pub(super) answer: Option<Response<Bytes>>,
    /// Whether the request was sent on a connection that had been used before.
    pub(super) reused_connection: bool,
}

/// State shared by all callers.
#[derive(Default)]
pub(super) struct Callers {
    /// Results of the requests so far.
    pub(super) outcomes: Mutex<Vec<Outcome>>,
    is_stopping: AtomicBool,
    next_id: AtomicU64,
}

impl Callers {
    /// Stops all callers after their current request.
    pub(super) fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Sends requests to an instance on a persistent connection until [`Self::stop`] is called.
    pub(super) fn run(&self, instance: usize, address: SocketAddr, seed: u64) {
        let runtime = compio::runtime::Runtime::new();
        let runtime = runtime.expect("a thread has a runtime of its own");
        let mut rng = SmallRng::seed_from_u64(seed);
        runtime.block_on(async {
            let mut client = None;
            while !self.is_stopping.load(Ordering::Relaxed) {
                sleep(Duration::from_millis(rng.random_range(5..60))).await;
                let kind = match rng.random_range(0..4) {
                    0 | 1 => Kind::Search,
                    2 => Kind::Status,
                    _ => Kind::Order,
                };
                let time_left = Duration::from_millis(rng.random_range(300..1_500));
                self.ask(&mut client, instance, address, kind, time_left)
                    .await;
            }
        });
    }

    /// Sends one request and records its result. Nothing is recorded if no connection can be
    /// established.
    pub(super) async fn ask(
        &self,
        client: &mut Option<Client>,
        instance: usize,
        address: SocketAddr,
        kind: Kind,
        time_left: Duration,
    ) {
        let reused_connection = client.as_ref().is_some_and(|kept| !kept.is_closed());
        if !reused_connection {
            *client = match timeout(RESPONSE_GRACE, Client::connect(address)).await {
                Ok(Ok(opened)) => Some(opened),
                // The instance is down.
                Ok(Err(_)) | Err(_) => return,
            };
        }
        let Some(open) = client else { return };
        let id = format!("soak-{}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let (method, path) = match kind {
            Kind::Search => ("GET", "/search/2f"),
            Kind::Status => ("GET", "/status/1"),
            Kind::Order => ("POST", "/order/1"),
        };
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "search.example")
            .header("x-request-id", &id)
            .header("x-timeout-remaining", time_left.as_millis().to_string())
            .body(Full::default())
            .expect("the parts of the request are valid");
        let sent = Instant::now();
        let answer = timeout(time_left + RESPONSE_GRACE, open.send(req)).await;
        let answer = answer.ok().and_then(Result::ok);
        let is_last = answer.as_ref().is_none_or(|answer| {
            let closes = answer.headers().get("connection");
            closes.is_some_and(|value| value == "close")
        });
        if is_last {
            *client = None;
        }
        let outcome = Outcome {
            id,
            kind,
            instance,
            sent,
            ended: Instant::now(),
            time_left,
            answer,
            reused_connection,
        };
        let mut outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        outcomes.push(outcome);
    }
}
