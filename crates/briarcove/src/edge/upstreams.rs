//! Connections to upstreams and the exchanges on them.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::time::timeout;
use futures_channel::oneshot;
use pipe::{ClientConnection, ExchangeError, Keepalive};
use platform::{CallerRequest, UpstreamReply, reply::keep_alive_seconds};
use tier::{Event, Failure, Outcome, UpstreamKey};

use super::shell::Shell;

/// Largest reply of an upstream, in bytes.
const MAX_REPLY_BYTES: usize = 8 << 20;

/// Time for which an idle connection is kept when the upstream does not say.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);

/// Time for which a connection that was just used needs no look before it is used again.
const FRESH: Duration = Duration::from_millis(500);

/// Time before the upstream's own limit at which an idle connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Connections to all upstreams.
#[derive(Default)]
pub(super) struct Pools(RefCell<HashMap<UpstreamKey, Pool>>);

/// Connections to one upstream.
#[derive(Default)]
struct Pool {
    idle: Vec<Idle>,
    open: usize,
    waiting: VecDeque<oneshot::Sender<()>>,
}

struct Idle {
    link: ClientConnection,
    until: Instant,
    since: Instant,
}

/// Permission to have one connection open; dropping it lets another one open.
struct Permit {
    shell: Rc<Shell>,
    upstream: UpstreamKey,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.shell.pools.release(self.upstream);
    }
}

impl Pools {
    /// Closes the idle connections to an upstream.
    pub(super) fn forget(&self, upstream: UpstreamKey) {
        let pool = self.0.borrow_mut().remove(&upstream);
        drop(pool);
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn sweep(&self) {
        let now = Instant::now();
        let mut expired = Vec::new();
        for pool in self.0.borrow_mut().values_mut() {
            expired.extend(pool.idle.extract_if(.., |idle| idle.until <= now));
        }
    }

    fn take_idle(&self, upstream: UpstreamKey) -> Option<Idle> {
        let mut pools = self.0.borrow_mut();
        let pool = pools.get_mut(&upstream)?;
        let now = Instant::now();
        pool.idle.retain(|idle| idle.until > now);
        pool.idle.pop()
    }

    fn keep(&self, upstream: UpstreamKey, link: ClientConnection, idle: Duration) {
        let mut pools = self.0.borrow_mut();
        if let Some(pool) = pools.get_mut(&upstream) {
            let since = Instant::now();
            let until = since + idle;
            pool.idle.push(Idle { link, until, since });
        }
    }

    /// Counts a connection in; with as many as allowed, returns what to wait for.
    fn acquire(&self, upstream: UpstreamKey, most: usize) -> Option<oneshot::Receiver<()>> {
        let mut pools = self.0.borrow_mut();
        let pool = pools.entry(upstream).or_default();
        if pool.open < most {
            pool.open += 1;
            return None;
        }
        let (tx, rx) = oneshot::channel();
        pool.waiting.push_back(tx);
        Some(rx)
    }

    fn release(&self, upstream: UpstreamKey) {
        let mut pools = self.0.borrow_mut();
        let Some(pool) = pools.get_mut(&upstream) else {
            return;
        };
        while let Some(waiting) = pool.waiting.pop_front() {
            // The place goes to the first that still waits.
            if waiting.send(()).is_ok() {
                return;
            }
        }
        pool.open = pool.open.saturating_sub(1);
    }
}

/// Runs one attempt and reports its end.
pub(super) async fn run(shell: Rc<Shell>, send: tier::effect::Send<Rc<CallerRequest>>) {
    let attempt = send.attempt;
    let outcome = exchange(&shell, send).await;
    shell.attempt_ended(attempt, outcome);
}

async fn exchange(
    shell: &Rc<Shell>,
    send: tier::effect::Send<Rc<CallerRequest>>,
) -> Outcome<UpstreamReply> {
    // A place counts requests in flight, as an idle connection is used before a new one opens.
    if let Some(waiting) = shell.pools.acquire(send.upstream, send.connections) {
        match timeout(send.connect_within, waiting).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return Outcome::Failed(Failure::NoConnection),
        }
    }
    let _permit = Permit {
        shell: Rc::clone(shell),
        upstream: send.upstream,
    };
    let mut link = match connection(shell, &send).await {
        Ok(link) => link,
        Err(_) => return Outcome::Failed(Failure::Unreachable),
    };
    // What is left is taken as late as possible, so that the upstream is never told more.
    let left = send.deadline.since(shell.now());
    if left < Duration::from_millis(1) {
        return Outcome::Failed(Failure::NoConnection);
    }
    let request = send.request.to_upstream(send.name.as_str(), left);
    match link.exchange(request, MAX_REPLY_BYTES).await {
        Ok(reply) => {
            let idle =
                keep_alive_seconds(reply.headers()).map_or(IDLE_DEFAULT, Duration::from_secs);
            let outcome = UpstreamReply::read(&send.request, reply);
            let sound = !matches!(outcome, Outcome::Failed(Failure::Malformed));
            if sound && !link.is_closed() {
                let idle = idle.saturating_sub(IDLE_MARGIN);
                shell.pools.keep(send.upstream, link, idle);
            }
            outcome
        }
        Err(ExchangeError::Unsent) => Outcome::Failed(Failure::Unreachable),
        Err(ExchangeError::Broken) => Outcome::Failed(Failure::Broken),
        Err(ExchangeError::Malformed) => Outcome::Failed(Failure::Malformed),
    }
}

/// Returns a kept connection that still works, or a new one.
async fn connection(
    shell: &Rc<Shell>,
    send: &tier::effect::Send<Rc<CallerRequest>>,
) -> io::Result<ClientConnection> {
    while let Some(mut idle) = shell.pools.take_idle(send.upstream) {
        // A request that may be repeated is not worth a look at a connection just used.
        let is_fresh = send.idempotent && idle.since.elapsed() < FRESH;
        if is_fresh && !idle.link.is_closed() || idle.link.is_usable().await {
            return Ok(idle.link);
        }
    }
    shell.metrics.connection_opened();
    ClientConnection::open(
        send.address,
        send.connect_within,
        Keepalive::Disabled,
        shell.buf.clone(),
    )
    .await
}

/// Tries whether a connection to an upstream can be opened.
pub(super) async fn attempt_connect(shell: Rc<Shell>, upstream: UpstreamKey, address: SocketAddr) {
    let wait = tier::reachability::PROBE_INTERVAL;
    let opened =
        ClientConnection::open(address, wait, Keepalive::Disabled, shell.buf.clone()).await;
    shell.dispatch(Event::Probed(upstream, opened.is_ok()));
}
