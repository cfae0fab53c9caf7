//! Connection pools for upstreams, and the exchange of requests and replies.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use base::UpstreamName;
use bytes::Bytes;
use compio::time::timeout;
use futures_channel::oneshot;
use http::{Request, Response, header};
use http_body_util::Full;
use pipe::{ClientConnection, ExchangeError, Keepalive};
use platform::{
    CallerRequest, Identity, UpstreamReply,
    reply::{self, InvalidNotice, keep_alive},
};
use tier::{
    Event, Failure, Outcome, UpstreamKey, crash::suspicion::ProbeResult, effect::ReplyCheck,
    load_report::LoadReport, notice::Notice,
};

use super::shell::Shell;

/// Maximum size of an upstream's reply, in bytes; an instance that is cut off gets it from another
/// one.
const MAX_REPLY_BYTES: usize = wire::handover::MAX_BODY_BYTES;

/// Time in which an upstream has to reply to a health check. Upstreams pause for up to a quarter of
/// a second.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of the reply to a health check, in bytes.
const MAX_CHECK_REPLY_BYTES: usize = 64 << 10;

/// Time for which an idle connection is kept when the upstream sends no `Keep-Alive` timeout.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);

/// A connection idle for less than this is reused for idempotent requests without a check.
const RECENT_USE: Duration = Duration::from_millis(500);

/// An idle connection is dropped this long before the upstream's own timeout, so that no request is
/// sent on a connection that the upstream is closing.
const IDLE_TIME_MARGIN: Duration = Duration::from_millis(700);

/// Connection pools of all upstreams.
#[derive(Default)]
pub(super) struct Pools(RefCell<HashMap<UpstreamKey, Pool>>);

/// Connection pool of one upstream.
#[derive(Default)]
struct Pool {
    idle: Vec<Idle>,
    /// Permits in use.
    open: usize,
    /// Requests that wait for a permit, in order.
    waiters: VecDeque<oneshot::Sender<()>>,
}

/// An idle connection.
struct Idle {
    link: ClientConnection,
    until: Instant,
    since: Instant,
}

/// A permit for one connection to an upstream; dropping it releases it to the next waiter.
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
    /// Closes the idle connections to an upstream; the permits of the others stay taken.
    pub(super) fn close_idle(&self, upstream: UpstreamKey) {
        let mut pools = self.0.borrow_mut();
        let idle = pools
            .get_mut(&upstream)
            .map(|pool| std::mem::take(&mut pool.idle));
        drop(pools);
        drop(idle);
    }

    /// Closes the idle connections to an upstream that was removed.
    pub(super) fn forget(&self, upstream: UpstreamKey) {
        let pool = self.0.borrow_mut().remove(&upstream);
        drop(pool);
    }

    /// Closes idle connections that have reached their timeout.
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

    fn put_idle(&self, upstream: UpstreamKey, link: ClientConnection, idle: Duration) {
        let mut pools = self.0.borrow_mut();
        if let Some(pool) = pools.get_mut(&upstream) {
            let since = Instant::now();
            let until = since + idle;
            pool.idle.push(Idle { link, until, since });
        }
    }

    /// Takes a permit, or returns a receiver that gets one when all `max_open` are in use.
    fn acquire(&self, upstream: UpstreamKey, max_open: usize) -> Option<oneshot::Receiver<()>> {
        let mut pools = self.0.borrow_mut();
        let pool = pools.entry(upstream).or_default();
        if pool.open < max_open {
            pool.open += 1;
            return None;
        }
        let (tx, rx) = oneshot::channel();
        pool.waiters.push_back(tx);
        Some(rx)
    }

    fn release(&self, upstream: UpstreamKey) {
        let mut pools = self.0.borrow_mut();
        let Some(pool) = pools.get_mut(&upstream) else {
            return;
        };
        while let Some(waiter) = pool.waiters.pop_front() {
            // The permit goes to the first waiter that has neither timed out nor been cancelled.
            if waiter.send(()).is_ok() {
                return;
            }
        }
        pool.open = pool.open.saturating_sub(1);
    }
}

/// Runs one attempt and reports its outcome.
pub(super) async fn run(shell: Rc<Shell>, send: tier::effect::Send<Rc<CallerRequest>>) {
    let attempt = send.attempt;
    let outcome = exchange(&shell, send).await;
    shell.attempt_ended(attempt, outcome);
}

async fn exchange(
    shell: &Rc<Shell>,
    send: tier::effect::Send<Rc<CallerRequest>>,
) -> Outcome<UpstreamReply> {
    // Permits count requests in flight: idle connections hold none, and are reused before a new
    // connection is opened.
    if let Some(released) = shell.pools.acquire(send.upstream, send.connections) {
        match timeout(send.connect_within, released).await {
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
    // Computed as late as possible, so that the upstream never receives more time than is left.
    let left = send.deadline.since(shell.now());
    if left < Duration::from_millis(1) {
        return Outcome::Failed(Failure::NoConnection);
    }
    if !shell.accepts(send.upstream) {
        // It has announced in the meantime that it leaves or pauses.
        return Outcome::Failed(Failure::NoConnection);
    }
    let identity = Identity::new(send.hides_key, send.organisation.as_ref());
    let request = (send.request).to_upstream(send.name.as_str(), left, identity);
    match link.exchange(request, MAX_REPLY_BYTES).await {
        Ok(reply) => {
            let idle = keep_alive(reply.headers()).unwrap_or(DEFAULT_IDLE_TIME);
            report_notice(shell, &send.name, send.started_ms, reply::notice(&reply));
            let load = read_load(shell, &send.name, &reply);
            let mut outcome = UpstreamReply::read(&send.request, reply);
            if let Outcome::Reply(reply) = &mut outcome {
                reply.set_source(send.name.clone(), send.started_ms);
                reply.set_load(load);
            }
            let is_healthy = !matches!(outcome, Outcome::Failed(Failure::Malformed));
            if is_healthy && !link.is_closed() {
                let idle = idle.saturating_sub(IDLE_TIME_MARGIN);
                shell.pools.put_idle(send.upstream, link, idle);
            }
            outcome
        }
        Err(ExchangeError::Unsent) => Outcome::Failed(Failure::Unsent),
        Err(ExchangeError::Broken) => Outcome::Failed(Failure::Broken),
        Err(ExchangeError::Malformed) => Outcome::Failed(Failure::Malformed),
    }
}

/// Reports to the reducer what an upstream announces about itself in a reply.
fn report_notice(
    shell: &Rc<Shell>,
    upstream: &UpstreamName,
    started_ms: u64,
    notice: Result<Option<Notice>, InvalidNotice>,
) {
    let notice = notice.unwrap_or_else(|invalid| {
        let (notice, invalid) = *invalid;
        shell
            .note_log
            .write_invalid_announcement(shell.now(), upstream, &invalid);
        notice
    });
    if let Some(notice) = notice {
        shell.dispatch(Event::UpstreamNotice(upstream.clone(), started_ms, notice));
    }
}

/// Returns the load that an upstream reports. It is passed on with the reply, as an event of its
/// own for each reply would cost CPU time.
fn read_load(
    shell: &Shell,
    upstream: &UpstreamName,
    reply: &Response<Bytes>,
) -> Option<LoadReport> {
    reply::load(reply.headers()).unwrap_or_else(|invalid| {
        shell
            .note_log
            .write_invalid_announcement(shell.now(), upstream, &invalid);
        None
    })
}

/// Returns an idle connection that is still usable, or opens a new one.
async fn connection(
    shell: &Rc<Shell>,
    send: &tier::effect::Send<Rc<CallerRequest>>,
) -> io::Result<ClientConnection> {
    while let Some(mut idle) = shell.pools.take_idle(send.upstream) {
        // An idempotent request can be retried, so a recently used connection is not checked.
        let is_fresh = send.idempotent && idle.since.elapsed() < RECENT_USE;
        if is_fresh && !idle.link.is_closed() || idle.link.is_usable().await {
            return Ok(idle.link);
        }
    }
    shell.metrics.count_opened_connection();
    ClientConnection::open(
        send.address,
        send.connect_within,
        Keepalive::Disabled,
        shell.buf.clone(),
    )
    .await
}

/// Returns whether a connection failed for want of descriptors, ports or memory of this machine.
fn is_out_of_resources(e: &io::Error) -> bool {
    matches!(
        e.raw_os_error(),
        Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::EADDRNOTAVAIL)
    )
}

/// Checks whether a connection to an upstream can be opened.
pub(super) async fn probe_upstream(shell: Rc<Shell>, upstream: UpstreamKey, address: SocketAddr) {
    let wait = tier::reachability::PROBE_INTERVAL;
    let opened =
        ClientConnection::open(address, wait, Keepalive::Disabled, shell.buf.clone()).await;
    let result = opened.map_or_else(|e| failed_probe(&e), |_| ProbeResult::Accepted);
    shell.dispatch(Event::Probed(upstream, result));
}

/// Returns the result of a probe whose connection failed.
fn failed_probe(e: &io::Error) -> ProbeResult {
    match e.kind() {
        io::ErrorKind::ConnectionRefused => ProbeResult::Refused,
        _ if is_out_of_resources(e) => ProbeResult::Unsent,
        _ => ProbeResult::Unanswered,
    }
}

/// Checks whether an upstream replies to a health check, with whatever status.
pub(super) async fn check_reply(shell: Rc<Shell>, check: ReplyCheck) {
    let exchange = async {
        let mut link = ClientConnection::open(
            check.address,
            CHECK_TIMEOUT,
            Keepalive::Disabled,
            shell.buf.clone(),
        )
        .await
        .map_err(|e| failed_probe(&e))?;
        let request = Request::get(&*check.path)
            .header(header::HOST, check.address.to_string())
            .body(Full::default())
            // A path that is no path can't be asked for; the connection has to do.
            .map_err(|_| ProbeResult::Accepted)?;
        let replied = link.exchange(request, MAX_CHECK_REPLY_BYTES).await;
        replied.map_err(|_| ProbeResult::Unanswered)
    };
    let result = match timeout(CHECK_TIMEOUT, exchange).await {
        Ok(Ok(reply)) => {
            let notice = reply::health_notice(&check.name, &reply);
            report_notice(&shell, &check.name, check.started_ms, notice);
            ProbeResult::Accepted
        }
        Ok(Err(result)) => result,
        Err(_) => ProbeResult::Unanswered,
    };
    shell.dispatch(Event::ReplyChecked(check.upstream, result));
}
