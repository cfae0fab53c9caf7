//! Stand-in for the platform's object API, with faults that are controlled at run time.

mod control;
mod store;

use std::{
    cell::{Cell, RefCell},
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::net::TcpListener;
use futures_channel::oneshot;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header, request::Parts};
use hyper::body::Incoming;
use serde::de::IgnoredAny;

pub use control::{Counters, Mode};

use crate::{
    reply::{self, Abort, Reply},
    server::{self, Connections, Handler, Server},
};
use control::Faults;
use store::{Condition, Store};

/// Maximum size of an object, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Maximum wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Connections that the platform accepts at once.
const MAX_CONNECTIONS: usize = 10_000;

/// Settings of the platform stand-in.
#[derive(Clone, Copy, Debug, Default)]
pub struct Config {
    /// Port on the loopback address; 0 selects a free one.
    pub port: u16,
    /// Latency of each call.
    pub latency: Duration,
}

/// Starts a platform on a new thread. The handle has exactly one address.
///
/// # Errors
///
/// Fails when the port cannot be bound.
pub fn spawn(cfg: Config) -> Result<Server, server::Error> {
    Server::spawn(move || async move {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, cfg.port));
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        compio::runtime::spawn(server::serve(listener, Rc::new(Platform::new(cfg)))).detach();
        Ok(vec![address])
    })
}

struct Platform {
    latency: Duration,
    store: RefCell<Store>,
    /// Copy of the store that stale reads are served from.
    stale_copy: RefCell<Option<Store>>,
    /// Whether reads are served from `stale_copy`.
    serves_stale: Cell<bool>,
    faults: RefCell<Faults>,
    counters: RefCell<Counters>,
    watchers: RefCell<Vec<oneshot::Sender<()>>>,
    connections: Connections,
}

impl Handler for Platform {
    fn connections(&self) -> &Connections {
        &self.connections
    }

    async fn handle(self: Rc<Self>, _first: bool, req: Request<Incoming>) -> Result<Reply, Abort> {
        let (parts, body) = req.into_parts();
        let Some(body) = reply::read_body(body, MAX_VALUE_BYTES).await? else {
            return Ok(reply::empty(StatusCode::PAYLOAD_TOO_LARGE));
        };
        match (&parts.method, parts.uri.path()) {
            (&Method::GET, "/control") => Ok(self.report()),
            (&Method::POST, "/control") => Ok(self.control(&body)),
            (&Method::GET, "/v1/watch") => Ok(self.watch(&parts).await),
            (method, path) => match (method, object_key(path)) {
                (&Method::GET, Some((kind, name))) => Ok(self.read(kind, name).await),
                (&Method::PUT, Some((kind, name))) => {
                    self.write(kind, name, &parts.headers, body).await
                }
                (_, Some(_)) => Ok(reply::empty(StatusCode::METHOD_NOT_ALLOWED)),
                (_, None) => Ok(reply::empty(StatusCode::NOT_FOUND)),
            },
        }
    }
}

impl Platform {
    fn new(cfg: Config) -> Self {
        Self {
            latency: cfg.latency,
            store: RefCell::default(),
            stale_copy: RefCell::default(),
            serves_stale: Cell::default(),
            faults: RefCell::default(),
            counters: RefCell::default(),
            watchers: RefCell::default(),
            connections: Connections::new(MAX_CONNECTIONS),
        }
    }

    /// Waits for the latency of a call. Returns `None` if the platform is down.
    async fn wait_latency(&self) -> Option<()> {
        let delay = self.latency + self.faults.borrow().delay()?;
        sleep(delay).await;
        Some(())
    }

    async fn read(&self, kind: &str, name: &str) -> Reply {
        self.counters.borrow_mut().read += 1;
        if self.wait_latency().await.is_none() {
            return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        self.read_store(|store| match store.get(kind, name) {
            Some(object) => with_etag(object.version, object.value.clone()),
            None => reply::empty(StatusCode::NOT_FOUND),
        })
    }

    async fn write(
        self: Rc<Self>,
        kind: &str,
        name: &str,
        headers: &HeaderMap,
        value: Bytes,
    ) -> Result<Reply, Abort> {
        self.counters.borrow_mut().write += 1;
        let Some(condition) = condition(headers) else {
            return Ok(reply::empty(StatusCode::PRECONDITION_REQUIRED));
        };
        if serde_json::from_slice::<IgnoredAny>(&value).is_err() {
            return Ok(reply::empty(StatusCode::BAD_REQUEST));
        }
        let Some(delay) = self.faults.borrow().delay() else {
            return Ok(reply::empty(StatusCode::SERVICE_UNAVAILABLE));
        };
        let late = self.faults.borrow().late_writes;
        if !late {
            let written = self.apply(kind, name, condition, value);
            sleep(self.latency + delay).await;
            return written;
        }
        // A separate task lets the write take effect even if its client disconnects.
        let (tx, rx) = oneshot::channel();
        let (kind, name) = (Box::<str>::from(kind), Box::<str>::from(name));
        compio::runtime::spawn(async move {
            sleep(self.latency + delay).await;
            // An error means that the client has disconnected.
            let _ = tx.send(self.apply(&kind, &name, condition, value));
        })
        .detach();
        rx.await.map_err(|_| Abort)?
    }

    fn apply(
        &self,
        kind: &str,
        name: &str,
        condition: Condition,
        value: Bytes,
    ) -> Result<Reply, Abort> {
        let written = self.store.borrow_mut().put(kind, name, condition, value);
        let Some(version) = written else {
            self.counters.borrow_mut().conflicts += 1;
            return Ok(reply::empty(StatusCode::PRECONDITION_FAILED));
        };
        self.wake_watchers();
        if self.faults.borrow_mut().lose_reply() {
            self.counters.borrow_mut().lost_replies += 1;
            return Err(Abort);
        }
        Ok(with_etag(version, Bytes::new()))
    }

    async fn watch(&self, parts: &Parts) -> Reply {
        self.counters.borrow_mut().watch += 1;
        let Some(watch) = Watch::parse(parts.uri.query().unwrap_or_default()) else {
            return reply::empty(StatusCode::BAD_REQUEST);
        };
        let end = Instant::now() + watch.wait;
        loop {
            if self.wait_latency().await.is_none() {
                return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
            }
            let changes = self.read_store(|s| s.changes(&watch.kinds, watch.after));
            if changes.count > 0 || Instant::now() >= end {
                return reply::with_body(StatusCode::OK, changes.body);
            }
            self.wait_for_change(end).await;
        }
    }

    async fn wait_for_change(&self, end: Instant) {
        let (tx, rx) = oneshot::channel();
        self.add_watcher(tx);
        // The caller checks the store again, both after a change and after a timeout.
        let _ = compio::time::timeout_at(end, rx).await;
    }

    fn add_watcher(&self, tx: oneshot::Sender<()>) {
        let mut watchers = self.watchers.borrow_mut();
        watchers.retain(|watcher| !watcher.is_canceled());
        watchers.push(tx);
    }

    fn wake_watchers(&self) {
        for watcher in self.watchers.take() {
            // An error means that the watch has ended.
            let _ = watcher.send(());
        }
    }

    fn read_store<T>(&self, read: impl FnOnce(&Store) -> T) -> T {
        match &*self.stale_copy.borrow() {
            Some(store) if self.serves_stale.get() => read(store),
            _ => read(&self.store.borrow()),
        }
    }

    fn control(&self, body: &[u8]) -> Reply {
        let Ok(change) = serde_json::from_slice::<control::Change>(body) else {
            return reply::empty(StatusCode::BAD_REQUEST);
        };
        match change.stale_reads {
            Some(true) => {
                *self.stale_copy.borrow_mut() = Some(self.store.borrow().clone());
                self.serves_stale.set(true);
            }
            Some(false) => self.serves_stale.set(false),
            None => {}
        }
        if let Some(again) = change.stale_again {
            self.serves_stale.set(again);
        }
        self.faults.borrow_mut().apply(&change);
        self.wake_watchers();
        self.report()
    }

    fn report(&self) -> Reply {
        let mut counters = self.counters.borrow().clone();
        counters.version = self.store.borrow().version();
        counters.objects = self.store.borrow().len();
        let watchers = self.watchers.borrow();
        counters.watching = watchers.iter().filter(|w| !w.is_canceled()).count();
        reply::json(StatusCode::OK, &counters)
    }
}

async fn sleep(delay: Duration) {
    if !delay.is_zero() {
        compio::time::sleep(delay).await;
    }
}

/// Query parameters of a watch.
struct Watch {
    after: u64,
    kinds: Vec<Box<str>>,
    wait: Duration,
}

impl Watch {
    fn parse(query: &str) -> Option<Self> {
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let wait = Duration::from_millis(field("wait_ms")?.parse().ok()?);
        Some(Self {
            after: field("after")?.parse().ok()?,
            kinds: field("kinds")?.split(',').map(Into::into).collect(),
            wait: wait.min(MAX_WAIT),
        })
    }
}

fn object_key(path: &str) -> Option<(&str, &str)> {
    let (kind, name) = path.strip_prefix("/v1/objects/")?.split_once('/')?;
    (!kind.is_empty() && !name.is_empty()).then_some((kind, name))
}

fn condition(headers: &HeaderMap) -> Option<Condition> {
    if headers.get(header::IF_NONE_MATCH).is_some_and(|v| v == "*") {
        return Some(Condition::Absent);
    }
    let text = headers.get(header::IF_MATCH)?.to_str().ok()?;
    let version = text.trim_matches('"').parse().ok()?;
    Some(Condition::Version(version))
}

fn with_etag(version: u64, body: Bytes) -> Reply {
    let mut reply = reply::with_body(StatusCode::OK, body);
    if let Ok(etag) = HeaderValue::try_from(format!("\"{version}\"")) {
        reply.headers_mut().insert(header::ETAG, etag);
    }
    reply
}
