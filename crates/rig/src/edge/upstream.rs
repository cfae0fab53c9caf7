//! Stand-in upstreams that sign their replies.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::{net::TcpListener, time::sleep};
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::{
    reply::{self, Abort, Reply},
    server::{Connections, Handler, Server, serve},
};

/// Connections that an upstream accepts at once.
const MAX_CONNECTIONS: usize = 64;

/// Path of the health check.
pub(super) const HEALTH_PATH: &str = "/health";

/// Part of the paths of requests that crash the upstreams that run them.
pub const CRASH_MARK: &str = "/crash-";

/// Time for which a request that crashes its upstream is held. Its connection ends before that.
const CRASH_HOLD: Duration = Duration::from_secs(30);

/// Start time of the first incarnation of an upstream, as Unix time in milliseconds.
const FIRST_START_MS: u64 = 1_700_000_000_000;

/// Number of the next signature; numbers are unique within the process.
static NEXT_SIGNATURE: AtomicU64 = AtomicU64::new(1);

/// How an upstream responds to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Replies 200 after a delay.
    Replies(Duration),
    /// Replies 503 with `x-not-executed`, without running the request.
    Sheds,
    /// Runs the request, then closes the connection without a reply.
    Breaks,
    /// Runs the request, then replies 500.
    Fails,
    /// Replies with the id of another request.
    Crosses,
    /// Replies, and announces that it leaves.
    Leaves,
    /// Replies 503 with `x-not-executed`, without running the request, and asks for a pause.
    Pauses(Duration),
    /// Replies, and names a limit in requests a second.
    Limits(u32),
}

impl Behaviour {
    /// Returns whether the upstream runs requests.
    fn runs(self) -> bool {
        !matches!(self, Self::Sheds | Self::Pauses(_))
    }
}

/// A request that an upstream received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Request id, as the caller sent it.
    pub id: String,
    /// Remaining time that the sender allows, in milliseconds.
    pub left_ms: u64,
    /// Path of the request.
    pub path: String,
    /// Service of the upstream.
    pub service: String,
    /// Organisations that the request names, separated by commas.
    pub organisation: Option<String>,
    /// The caller's key, which must not arrive where there are organisations.
    pub authorization: Option<String>,
    /// Whether the request was run.
    pub ran: bool,
    /// Time of the arrival.
    pub at: Instant,
    /// How the upstream responded.
    pub behaviour: Behaviour,
    /// Whether the upstream was cold.
    pub was_cold: bool,
    /// Name of the upstream and number of its start.
    pub incarnation: (String, u64),
    /// Number in the signature and the body of the reply.
    number: u64,
}

impl Arrival {
    /// Returns the signature of the reply.
    pub fn signature(&self) -> String {
        signature(self.number)
    }

    /// Returns the body of the reply.
    pub fn record(&self) -> [u8; 16] {
        u128::from(self.number).to_be_bytes()
    }
}

fn signature(number: u64) -> String {
    format!("sig.{number}")
}

#[derive(Debug)]
struct State {
    /// Name of the incarnation.
    name: String,
    started_ms: u64,
    behaviour: Behaviour,
    /// Time until which it is cold.
    cold_until: Option<Instant>,
    /// Requests in flight.
    running: u32,
    arrivals: Vec<Arrival>,
}

impl State {
    /// Returns the time for which it stays cold, in milliseconds.
    fn cold_left_ms(&self) -> u64 {
        let until = self.cold_until;
        let left = until.map(|until| until.saturating_duration_since(Instant::now()));
        left.map_or(0, |left| left.as_millis() as u64)
    }
}

/// One upstream; dropping it stops its server.
pub struct Upstream {
    service: String,
    /// Data centre that its entry names.
    pub data_centre: &'static str,
    state: Arc<Mutex<State>>,
    /// Whether it has crashed; whoever is in front of it then refuses connections.
    has_crashed: Arc<AtomicBool>,
    server: Server,
}

impl Upstream {
    /// Starts an upstream on a new thread.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started or no port can be bound.
    pub fn start(
        name: &str,
        service: &str,
        behaviour: Behaviour,
    ) -> Result<Self, crate::server::Error> {
        let arrivals = Vec::new();
        let state = Arc::new(Mutex::new(State {
            name: name.to_owned(),
            started_ms: FIRST_START_MS,
            behaviour,
            cold_until: None,
            running: 0,
            arrivals,
        }));
        let has_crashed = Arc::new(AtomicBool::new(false));
        let (shared, crash) = (Arc::clone(&state), Arc::clone(&has_crashed));
        let handler_service = service.to_owned();
        let server = Server::spawn(move || async move {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?;
            let handler = Rc::new(UpstreamHandler {
                state: shared,
                has_crashed: crash,
                service: handler_service,
                connections: Connections::new(MAX_CONNECTIONS),
            });
            compio::runtime::spawn(serve(listener, handler)).detach();
            Ok::<Vec<SocketAddr>, io::Error>(vec![address])
        })?;
        Ok(Self {
            service: service.to_owned(),
            data_centre: "here",
            state,
            has_crashed,
            server,
        })
    }

    /// Returns the name of the upstream.
    pub fn name(&self) -> String {
        lock(&self.state).name.clone()
    }

    /// Returns the flag that is set while the upstream is crashed.
    pub fn has_crashed(&self) -> &Arc<AtomicBool> {
        &self.has_crashed
    }

    /// Starts the next incarnation after a crash, under a new name if one is given.
    pub fn restart(&self, name: Option<String>) {
        let mut state = lock(&self.state);
        state.started_ms += 1_000;
        if let Some(name) = name {
            state.name = name;
        }
        self.has_crashed.store(false, Ordering::Relaxed);
    }

    /// Makes the upstream cold for a time. Its entry says so once it is written again.
    pub fn turn_cold(&self, time: Duration) {
        lock(&self.state).cold_until = Some(Instant::now() + time);
    }

    /// Returns the address on which the upstream listens.
    pub fn address(&self) -> SocketAddr {
        self.server.addresses()[0]
    }

    /// Returns the store entry of the upstream in a state.
    pub fn entry(&self, state: &str) -> Value {
        let address = self.address().to_string();
        let own = lock(&self.state);
        json!({"service": self.service, "addr": address, "zone": self.data_centre,
            "version": "v1",
            "slots": 2, "state": state, "coldLeftMs": own.cold_left_ms(), "seq": 1,
            "born": own.started_ms})
    }

    /// Changes how the upstream responds to requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        lock(&self.state).behaviour = behaviour;
    }

    /// Returns the requests that the upstream has received.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.state).arrivals.clone()
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

struct UpstreamHandler {
    state: Arc<Mutex<State>>,
    has_crashed: Arc<AtomicBool>,
    service: String,
    connections: Connections,
}

impl UpstreamHandler {
    fn health_reply(&self, name: &str) -> Reply {
        let mut reply = reply::empty(StatusCode::OK);
        if let Ok(name) = HeaderValue::from_str(name) {
            reply.headers_mut().insert("x-instance-id", name);
        }
        let cold_left = lock(&self.state).cold_left_ms();
        if cold_left > 0 {
            let cold_left = HeaderValue::from(cold_left);
            reply.headers_mut().insert("x-cold-remaining", cold_left);
        }
        self.report_load(&mut reply);
        reply
    }

    /// Adds the load of the upstream, which has two slots on a machine of its own.
    fn report_load(&self, reply: &mut Reply) {
        let running = lock(&self.state).running;
        let report = format!("{},{},2,100", running.min(2), running.saturating_sub(2));
        if let Ok(report) = HeaderValue::from_str(&report) {
            reply.headers_mut().insert("x-server-load", report);
        }
    }
}

impl Handler for UpstreamHandler {
    fn connections(&self) -> &Connections {
        &self.connections
    }

    async fn handle(self: Rc<Self>, _first: bool, req: Request<Incoming>) -> Result<Reply, Abort> {
        let (parts, body) = req.into_parts();
        let _ = reply::read_body(body, 1 << 20).await?;
        let text = |name: &str| {
            parts
                .headers
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        let name = lock(&self.state).name.clone();
        if parts.uri.path() == HEALTH_PATH {
            return Ok(self.health_reply(&name));
        }
        if text("x-expect-instance").is_some_and(|expected| expected != name) {
            return Ok(reply::empty(StatusCode::MISDIRECTED_REQUEST));
        }
        let id = text("x-request-id").unwrap_or_default().to_owned();
        let left_ms = reply::header_number(&parts.headers, "x-timeout-remaining").unwrap_or(0);
        let number = NEXT_SIGNATURE.fetch_add(1, Ordering::Relaxed);
        let behaviour = {
            let mut state = lock(&self.state);
            let ran = state.behaviour.runs();
            let (behaviour, incarnation) = (state.behaviour, (name, state.started_ms));
            let was_cold = state.cold_left_ms() > 0;
            state.arrivals.push(Arrival {
                id: id.clone(),
                left_ms,
                path: parts.uri.path().to_owned(),
                service: self.service.clone(),
                organisation: all_values(&parts.headers, "x-tenant"),
                authorization: all_values(&parts.headers, "authorization"),
                ran,
                at: Instant::now(),
                behaviour,
                was_cold,
                incarnation,
                number,
            });
            state.behaviour
        };
        if behaviour.runs() && parts.uri.path().contains(CRASH_MARK) {
            self.has_crashed.store(true, Ordering::Relaxed);
            sleep(CRASH_HOLD).await;
            return Err(Abort);
        }
        match behaviour {
            Behaviour::Replies(time) => {
                lock(&self.state).running += 1;
                sleep(time).await;
                let mut reply = signed_reply(StatusCode::OK, &id, number);
                self.report_load(&mut reply);
                lock(&self.state).running -= 1;
                Ok(reply)
            }
            Behaviour::Sheds => Ok(not_executed()),
            Behaviour::Leaves => {
                let mut reply = signed_reply(StatusCode::OK, &id, number);
                let leaves = HeaderValue::from_static("1");
                reply.headers_mut().insert("server-leaving", leaves);
                Ok(reply)
            }
            Behaviour::Pauses(time) => {
                let mut reply = not_executed();
                let seconds = format!("{:.3}", time.as_secs_f64());
                if let Ok(seconds) = HeaderValue::from_str(&seconds) {
                    reply.headers_mut().insert("retry-after", seconds);
                }
                Ok(reply)
            }
            Behaviour::Limits(rate) => {
                let mut reply = signed_reply(StatusCode::OK, &id, number);
                let rate = HeaderValue::from(rate);
                reply.headers_mut().insert("server-limit", rate);
                Ok(reply)
            }
            Behaviour::Breaks => Err(Abort),
            Behaviour::Fails => Ok(signed_reply(StatusCode::INTERNAL_SERVER_ERROR, &id, number)),
            Behaviour::Crosses => Ok(signed_reply(StatusCode::OK, "another", number)),
        }
    }
}

/// Returns all values of a header, separated by commas, if there are any.
fn all_values(headers: &HeaderMap, name: &str) -> Option<String> {
    let values = headers.get_all(name).iter();
    let values = values.map(|value| String::from_utf8_lossy(value.as_bytes()));
    values
        .map(String::from)
        .reduce(|all, value| format!("{all},{value}"))
}

fn not_executed() -> Reply {
    let mut reply = reply::empty(StatusCode::SERVICE_UNAVAILABLE);
    let set = HeaderValue::from_static("1");
    reply.headers_mut().insert("x-not-executed", set);
    reply
}

fn signed_reply(status: StatusCode, id: &str, number: u64) -> Reply {
    let record = u128::from(number).to_be_bytes();
    let mut reply = reply::with_body(status, Bytes::copy_from_slice(&record));
    if let Ok(id) = HeaderValue::from_str(id) {
        reply.headers_mut().insert("x-request-id", id);
    }
    if let Ok(signature) = HeaderValue::from_str(&signature(number)) {
        reply.headers_mut().insert("x-server-stamp", signature);
    }
    reply
}
