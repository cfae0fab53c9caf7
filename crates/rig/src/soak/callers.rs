//! Callers that keep their connections open until the instance is gone.

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

/// Time beyond its own limit for which a caller waits before it gives up.
const PATIENCE: Duration = Duration::from_millis(2_500);

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// A search over all shards.
    Search,
    /// A request that may be repeated.
    Status,
    /// A request that must run once at the most.
    Order,
}

/// One request and what came of it.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    /// Identity.
    pub(super) id: String,
    /// Kind.
    pub(super) kind: Kind,
    /// Position of the instance that was asked.
    pub(super) instance: usize,
    /// When it was sent.
    pub(super) sent: Instant,
    /// When it ended.
    pub(super) ended: Instant,
    /// How long the caller said that it waits.
    pub(super) left: Duration,
    /// The answer; none when the connection ended or nothing came.
    pub(super) answer: Option<Response<Bytes>>,
    /// Whether the connection was open before.
    pub(super) was_kept: bool,
}

/// What callers share.
#[derive(Default)]
pub(super) struct Callers {
    /// What came of the requests so far.
    pub(super) outcomes: Mutex<Vec<Outcome>>,
    stops: AtomicBool,
    next: AtomicU64,
}

impl Callers {
    /// Has callers end after their present request.
    pub(super) fn stop(&self) {
        self.stops.store(true, Ordering::Relaxed);
    }

    /// Asks an instance again and again, on a connection that is kept.
    pub(super) fn run(&self, instance: usize, address: SocketAddr, seed: u64) {
        let runtime = compio::runtime::Runtime::new();
        let runtime = runtime.expect("a thread has a runtime of its own");
        let mut rng = SmallRng::seed_from_u64(seed);
        runtime.block_on(async {
            let mut client = None;
            while !self.stops.load(Ordering::Relaxed) {
                sleep(Duration::from_millis(rng.random_range(5..60))).await;
                let kind = match rng.random_range(0..4) {
                    0 | 1 => Kind::Search,
                    2 => Kind::Status,
                    _ => Kind::Order,
                };
                let left = Duration::from_millis(rng.random_range(300..1_500));
                self.ask(&mut client, instance, address, kind, left).await;
            }
        });
    }

    /// Sends one request and notes what came of it.
    pub(super) async fn ask(
        &self,
        client: &mut Option<Client>,
        instance: usize,
        address: SocketAddr,
        kind: Kind,
        left: Duration,
    ) {
        let was_kept = client.as_ref().is_some_and(|kept| !kept.is_closed());
        if !was_kept {
            *client = match timeout(PATIENCE, Client::connect(address)).await {
                Ok(Ok(opened)) => Some(opened),
                // Nobody listens while the instance is down.
                Ok(Err(_)) | Err(_) => return,
            };
        }
        let Some(open) = client else { return };
        let id = format!("soak-{}", self.next.fetch_add(1, Ordering::Relaxed));
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
            .header("x-timeout-remaining", left.as_millis().to_string())
            .body(Full::default())
            .expect("the parts of the request are valid");
        let sent = Instant::now();
        let answer = timeout(left + PATIENCE, open.send(req)).await;
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
            left,
            answer,
            was_kept,
        };
        let mut outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        outcomes.push(outcome);
    }
}
