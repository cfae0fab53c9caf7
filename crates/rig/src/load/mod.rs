//! Load towards the caller endpoints of instances, at a set rate or a set concurrency.

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

/// Longest wait for one reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause before a broken connection is made again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(10);

/// Why a load did not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// There is nothing to send or nowhere to send it.
    #[snafu(display("a load needs a target, a body and at least one connection"))]
    Empty,
    /// The entry's name gives no valid path.
    #[snafu(display("the entry's path is not valid: {source}"))]
    Path {
        /// Cause given by the HTTP library.
        source: http::uri::InvalidUri,
    },
}

/// When requests are sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadModel {
    /// At this many a second, whether or not earlier ones are answered, with random gaps. Each
    /// latency counts from the scheduled_at time of sending.
    OpenLoop(f64),
    /// Each connection sends when its last request is answered.
    ClosedLoop,
}

/// What is asked of the entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Kind {
    /// Searches.
    #[default]
    Search,
    /// Runs; each has an idempotency key of its own and is recorded in the report.
    Run,
}

/// Settings of one load.
#[derive(Clone, Debug)]
pub struct Config {
    /// Instances; connections are spread over them evenly.
    pub targets: Vec<SocketAddr>,
    /// Entry that is asked.
    pub entry: EntryName,
    /// What is asked of the entry.
    pub kind: Kind,
    /// When requests are sent.
    pub model: LoadModel,
    /// Connections; each carries one request at a time.
    pub connections: usize,
    /// Time after which no request is sent any more.
    pub duration: Duration,
    /// Number after which no request is sent any more.
    pub count: u64,
    /// Bodies, sent in scheduled.
    pub bodies: Vec<Bytes>,
    /// Deadline that the requests carry.
    pub deadline: Option<Duration>,
    /// Seed of the gaps between requests and of the idempotency keys.
    pub seed: u64,
    /// Whether the report keeps every reply.
    pub keep_replies: bool,
}

/// Sends the load on the current runtime and reports what came of it.
///
/// # Errors
///
/// Fails before the first request when the settings are not valid.
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

/// One request to send.
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

    /// Sends requests over one connection until the load ends.
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

    /// Returns the next scheduled_at time and draws the gap that follows it.
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

/// Sends one request, on a new connection if need be; `None` means that there was no reply.
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
