//! Load generator for the caller endpoints of instances, with an open or a closed loop.

mod report;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use base::EntryName;
use bytes::Bytes;
use futures_util::future::join_all;
use http::{HeaderValue, Request, Response, Uri};
use http_body_util::Full;
use rand::{Rng, SeedableRng, rngs::StdRng};
use snafu::Snafu;

pub use report::{Coverage, KeptReply, Latency, Report, RunRecord};

use crate::client::Client;
use report::Recorder;

/// Time after which a request counts as failed.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after a failed request, before its connection is replaced.
const RECONNECT_PAUSE: Duration = Duration::from_millis(10);

/// Why a load did not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// There are no targets, no bodies or no connections.
    #[snafu(display("a load needs at least one target, one body and one connection"))]
    Empty,
    /// The name of the entry does not form a valid path.
    #[snafu(display("the path of the entry is not valid: {source}"))]
    Path {
        /// Error of the HTTP library.
        source: http::uri::InvalidUri,
    },
}

/// Load model, which decides when requests are sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadModel {
    /// Sends this many requests a second on average, with exponentially distributed gaps,
    /// independently of replies. Latencies count from the scheduled time of sending, so that they
    /// include the wait for a free connection.
    OpenLoop(f64),
    /// Each connection sends its next request once the last one has ended.
    ClosedLoop,
}

/// Kind of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Kind {
    /// Searches.
    #[default]
    Search,
    /// Runs; each has its own idempotency key and is recorded in the report.
    Run,
}

/// Settings of one load.
#[derive(Clone, Debug)]
pub struct Config {
    /// Addresses of the instances; connections are assigned to them round-robin.
    pub targets: Vec<SocketAddr>,
    /// Entry that requests are sent to.
    pub entry: EntryName,
    /// Kind of requests.
    pub kind: Kind,
    /// Load model.
    pub model: LoadModel,
    /// Number of connections; each carries one request at a time.
    pub connections: usize,
    /// Time from the start after which no more requests are sent.
    pub duration: Duration,
    /// Maximum number of requests.
    pub count: u64,
    /// Bodies; requests use them in turn.
    pub bodies: Vec<Bytes>,
    /// Deadline that requests carry in the header `deadline-ms`.
    pub deadline: Option<Duration>,
    /// Seed of the gaps between requests and of the idempotency keys.
    pub seed: u64,
    /// Whether the report keeps every reply.
    pub keep_replies: bool,
}

/// Sends the load on the current runtime and returns its report.
///
/// # Errors
///
/// Fails before the first request when `cfg` is not valid.
pub async fn run(cfg: &Config) -> Result<Report, Error> {
    if cfg.targets.is_empty() || cfg.bodies.is_empty() || cfg.connections == 0 {
        return Err(Error::Empty);
    }
    let load = Load::new(cfg)?;
    let targets = cfg.targets.iter().cycle().take(cfg.connections);
    join_all(targets.map(|target| load.run_connection(*target))).await;
    let elapsed = load.started_at.elapsed();
    Ok(load.recorder.into_inner().report(elapsed))
}

/// Number of a request and the time at which it is due.
struct ScheduledRequest {
    number: u64,
    scheduled_at: Instant,
}

struct Load<'a> {
    cfg: &'a Config,
    path: Uri,
    deadline: Option<HeaderValue>,
    started_at: Instant,
    sent: Cell<u64>,
    next_scheduled_at: Cell<Instant>,
    rng: RefCell<StdRng>,
    recorder: RefCell<Recorder>,
}

impl<'a> Load<'a> {
    fn new(cfg: &'a Config) -> Result<Self, Error> {
        let action = match cfg.kind {
            Kind::Search => "search",
            Kind::Run => "run",
        };
        let path = format!("/v1/entries/{}/{action}", cfg.entry);
        let started_at = Instant::now();
        Ok(Self {
            cfg,
            path: path.parse().map_err(|source| Error::Path { source })?,
            deadline: cfg.deadline.map(|d| millis(d).into()),
            started_at,
            sent: Cell::new(0),
            next_scheduled_at: Cell::new(started_at),
            rng: RefCell::new(StdRng::seed_from_u64(cfg.seed)),
            recorder: RefCell::new(Recorder::new()),
        })
    }

    /// Sends requests over one connection until the load ends, and reconnects after failures.
    async fn run_connection(&self, target: SocketAddr) {
        let mut client = None;
        while let Some(scheduled) = self.next_request() {
            if scheduled.scheduled_at > Instant::now() {
                compio::time::sleep_until(scheduled.scheduled_at).await;
            }
            let key = self.idempotency_key(scheduled.number);
            let req = self.request(scheduled.number, key.as_deref());
            let reply = exchange(&mut client, target, req).await;
            let latency = scheduled.scheduled_at.elapsed();
            self.record(key, reply.as_ref(), latency);
            if reply.is_none() {
                client = None;
                compio::time::sleep(RECONNECT_PAUSE).await;
            }
        }
    }

    fn record(&self, key: Option<Box<str>>, reply: Option<&Response<Bytes>>, latency: Duration) {
        let mut recorder = self.recorder.borrow_mut();
        recorder.record(key, reply, latency);
        if let (true, Some(reply)) = (self.cfg.keep_replies, reply) {
            recorder.keep(reply, latency);
        }
    }

    fn next_request(&self) -> Option<ScheduledRequest> {
        let number = self.sent.get();
        let scheduled_at = match self.cfg.model {
            LoadModel::OpenLoop(rate) => self.next_arrival(rate),
            LoadModel::ClosedLoop => Instant::now(),
        };
        if number >= self.cfg.count || scheduled_at >= self.started_at + self.cfg.duration {
            return None;
        }
        self.sent.set(number + 1);
        Some(ScheduledRequest {
            number,
            scheduled_at,
        })
    }

    /// Returns the time of the next request of an open loop and draws the gap after it.
    fn next_arrival(&self, rate: f64) -> Instant {
        let draw: f64 = self.rng.borrow_mut().random();
        let gap = -(1.0 - draw).ln() / rate;
        let gap = Duration::try_from_secs_f64(gap).unwrap_or(self.cfg.duration);
        let scheduled_at = self.next_scheduled_at.get();
        self.next_scheduled_at.set(scheduled_at + gap);
        scheduled_at
    }

    fn idempotency_key(&self, number: u64) -> Option<Box<str>> {
        match self.cfg.kind {
            Kind::Search => None,
            Kind::Run => {
                let now = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or_default();
                Some(format!("{}-load-{}-{number}", now.as_secs(), self.cfg.seed).into())
            }
        }
    }

    fn request(&self, number: u64, key: Option<&str>) -> Request<Full<Bytes>> {
        let bodies = &self.cfg.bodies;
        let index = usize::try_from(number).unwrap_or_default() % bodies.len();
        let mut req = Request::new(Full::new(bodies[index].clone()));
        *req.method_mut() = http::Method::POST;
        *req.uri_mut() = self.path.clone();
        let headers = req.headers_mut();
        headers.insert("host", HeaderValue::from_static("localhost"));
        if let Some(deadline) = &self.deadline {
            headers.insert("deadline-ms", deadline.clone());
        }
        if let Some(Ok(key)) = key.map(HeaderValue::from_str) {
            headers.insert("idempotency-key", key);
        }
        req
    }
}

/// Sends one request and connects first if there is no open connection; `None` means that there
/// was no reply.
async fn exchange(
    client: &mut Option<Client>,
    target: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Option<Response<Bytes>> {
    if client.as_ref().is_none_or(Client::is_closed) {
        *client = Client::connect(target).await.ok();
    }
    let reply = client.as_mut()?.send(req);
    let reply = compio::time::timeout(REPLY_TIMEOUT, reply).await;
    reply.ok()?.ok()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
