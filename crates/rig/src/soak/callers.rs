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

use super::organisations::{FORGED_NAME, ORGANISATIONS};
use crate::{client::Client, edge::CRASH_MARK};

/// Time for which a caller waits for an answer beyond the timeout that it sends.
const RESPONSE_GRACE: Duration = Duration::from_millis(2_500);

/// Longest pause of a caller whose requests crash upstreams, in milliseconds.
const MAX_CRASHING_PAUSE_MS: u64 = 500;

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

impl Kind {
    fn method(self) -> &'static str {
        match self {
            Self::Search | Self::Status => "GET",
            Self::Order => "POST",
        }
    }

    /// Returns the path of an ordinary request.
    pub(super) fn path(self) -> &'static str {
        match self {
            Self::Search => "/search/2f",
            Self::Status => "/status/1",
            Self::Order => "/order/1",
        }
    }

    /// Returns the path of a request that crashes the upstreams that run it.
    fn crashing_path(self) -> String {
        let prefix = match self {
            Self::Search => "/search",
            Self::Status => "/status",
            Self::Order => "/order",
        };
        format!("{prefix}{CRASH_MARK}1")
    }
}

/// One request and its result.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    /// Request id.
    pub(super) id: String,
    pub(super) kind: Kind,
    pub(super) path: Box<str>,
    /// Index of the instance that received it.
    pub(super) instance: usize,
    /// Time at which it was sent.
    pub(super) sent: Instant,
    /// Time at which it was answered, failed or timed out.
    pub(super) ended: Instant,
    /// Remaining time that the caller sent in the request.
    pub(super) time_left: Duration,
    /// Organisation whose key the caller showed, if there are organisations.
    pub(super) organisation: Option<&'static str>,
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
    /// Whether the configuration has organisations, so that callers show keys.
    has_organisations: bool,
    is_stopping: AtomicBool,
    is_crashing_over: AtomicBool,
    next_id: AtomicU64,
}

impl Callers {
    /// Creates callers that show keys if there are organisations.
    pub(super) fn new(has_organisations: bool) -> Self {
        Self {
            has_organisations,
            ..Self::default()
        }
    }

    /// Stops all callers after their current request.
    pub(super) fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Stops the callers whose requests crash upstreams.
    pub(super) fn stop_crashing(&self) {
        self.is_crashing_over.store(true, Ordering::Relaxed);
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
                self.ask(
                    &mut client,
                    (instance, address),
                    (kind, kind.path()),
                    time_left,
                )
                .await;
            }
        });
    }

    /// Sends one request that crashes upstreams again and again, to any instance, until
    /// [`Self::stop_crashing`] is called.
    pub(super) fn run_crashing(&self, kind: Kind, instances: &[SocketAddr], seed: u64) {
        let runtime = compio::runtime::Runtime::new();
        let runtime = runtime.expect("a thread has a runtime of its own");
        let mut rng = SmallRng::seed_from_u64(seed);
        let path = kind.crashing_path();
        runtime.block_on(async {
            while !self.is_crashing_over.load(Ordering::Relaxed) {
                let pause = rng.random_range(50..MAX_CRASHING_PAUSE_MS);
                sleep(Duration::from_millis(pause)).await;
                let at = rng.random_range(0..instances.len());
                let time_left = Duration::from_millis(rng.random_range(300..1_500));
                self.ask(&mut None, (at, instances[at]), (kind, &path), time_left)
                    .await;
            }
        });
    }

    /// Sends one request and records its result. Nothing is recorded if no connection can be
    /// established.
    pub(super) async fn ask(
        &self,
        client: &mut Option<Client>,
        (instance, address): (usize, SocketAddr),
        (kind, path): (Kind, &str),
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
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("soak-{number}");
        // Equal requests of two organisations may differ, and count their crashes apart.
        let at = match path.contains(CRASH_MARK) {
            true => 0,
            false => number as usize % ORGANISATIONS.len(),
        };
        let organisation = self.has_organisations.then_some(&ORGANISATIONS[at]);
        let mut req = Request::builder()
            .method(kind.method())
            .uri(path)
            .header("host", "search.example")
            .header("x-request-id", &id)
            .header("x-timeout-remaining", time_left.as_millis().to_string());
        if let Some((_, key)) = organisation {
            req = req
                .header("authorization", format!("Bearer {key}"))
                .header("x-tenant", FORGED_NAME);
        }
        let req = req
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
            path: path.into(),
            instance,
            sent,
            ended: Instant::now(),
            time_left,
            organisation: organisation.map(|(name, _)| *name),
            answer,
            reused_connection,
        };
        let mut outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        outcomes.push(outcome);
    }
}
