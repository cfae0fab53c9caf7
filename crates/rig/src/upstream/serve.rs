//! Searches, runs and cancels of one upstream.

use std::{
    future::pending,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;
use rand::Rng;
use serde_json::json;

use super::{
    log::{Execution, millis, text},
    slots::Slot,
    state::{Answer, Upstream, Warmth},
};
use crate::{
    reply::{self, Abort, Reply},
    server::{Connections, Handler},
};

/// Longest body that an upstream reads.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Hits when a search names no limit.
const DEFAULT_LIMIT: u64 = 10;
/// Time that a request without `deadline-ms` may take, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 60_000;
/// Seconds after which a refused request may come again.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("1");
/// Non-standard status for a search that was cancelled.
const CANCELLED: u16 = 499;

impl Handler for Upstream {
    fn connections(&self) -> &Connections {
        &self.connections
    }

    async fn handle(self: Rc<Self>, first: bool, req: Request<Incoming>) -> Result<Reply, Abort> {
        let arrived = Instant::now();
        let (parts, body) = req.into_parts();
        if first {
            self.pay_connection_cost().await;
        }
        let Some(body) = reply::read_body(body, MAX_BODY_BYTES).await? else {
            return Ok(reply::empty(StatusCode::PAYLOAD_TOO_LARGE));
        };
        let headers = &parts.headers;
        let mut reply = match (&parts.method, parts.uri.path()) {
            (&Method::POST, "/v1/search") => self.search(headers, body, arrived).await?,
            (&Method::POST, "/v1/run") => self.run(headers, &body, arrived).await?,
            (&Method::POST, "/v1/cancel") => self.cancel(headers),
            (&Method::GET, "/health") => return Ok(self.health()),
            (&Method::GET, "/control") => return Ok(self.report()),
            (&Method::POST, "/control") => return Ok(self.control(&body)),
            _ => reply::empty(StatusCode::NOT_FOUND),
        };
        if self.draining_for().is_some() {
            let draining = HeaderValue::from_static("1");
            reply.headers_mut().insert("draining", draining);
        }
        Ok(reply)
    }
}

/// Why a request got no slot or did not end in time.
enum Stopped {
    /// No work was done.
    NotStarted,
    /// The deadline passed during the work.
    Late,
}

/// A search that a cancel can find; dropping it takes it out of the map.
struct Cancellable<'a> {
    upstream: &'a Upstream,
    request: HeaderValue,
}

impl Drop for Cancellable<'_> {
    fn drop(&mut self) {
        self.upstream.cancels.borrow_mut().remove(&self.request);
    }
}

impl Upstream {
    async fn pay_connection_cost(&self) {
        let cost = Duration::from_micros(self.params.borrow().connect_us);
        if !cost.is_zero() {
            compio::time::sleep(cost).await;
        }
    }

    async fn search(
        &self,
        headers: &HeaderMap,
        body: Bytes,
        arrived: Instant,
    ) -> Result<Reply, Abort> {
        let identity = ["request-id", "snapshot", "shard"].map(|name| headers.get(name).cloned());
        let [Some(request), Some(snapshot_text), Some(shard_text)] = identity else {
            return Ok(reply::empty(StatusCode::BAD_REQUEST));
        };
        let Some(snapshot) = reply::header_number(headers, "snapshot") else {
            return Ok(reply::empty(StatusCode::BAD_REQUEST));
        };
        self.crash_on(&body).await;
        if self.is_refusing() {
            return Ok(self.refuse());
        }
        if !self.snapshots.borrow().contains(&snapshot) {
            return Ok(self.no_snapshot());
        }
        let shards = self.held.get(&snapshot);
        let Some(shard) = shards.and_then(|s| s.get(shard_text.to_str().ok()?)) else {
            return Ok(reply::empty(StatusCode::NOT_FOUND));
        };
        let worked = match self.search_work(&request, deadline(headers, arrived)).await {
            Some(worked) => worked,
            None => return Ok(self.cancelled()),
        };
        if let Err(stopped) = worked {
            return Ok(self.stopped(&stopped));
        }
        let limit = reply::header_number(headers, "limit").unwrap_or(DEFAULT_LIMIT);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        self.log.borrow_mut().serve(&request, &shard_text, snapshot);
        Ok(self.answer(Answer {
            request,
            snapshot: snapshot_text,
            shard: shard_text,
            body: shard.search(&body, limit),
        }))
    }

    /// Holds a slot for the service time; `None` means that the search was cancelled.
    async fn search_work(
        &self,
        request: &HeaderValue,
        deadline: Instant,
    ) -> Option<Result<(), Stopped>> {
        let free = self.slots.try_acquire();
        let time = self.draw_service_time();
        if free.is_some() && time.is_zero() {
            self.count_search();
            return Some(Ok(()));
        }
        let (_cancellable, cancelled) = self.make_cancellable(request);
        let work = async {
            let _slot = self.slot(free, deadline).await?;
            self.count_search();
            work_until(time, deadline).await
        };
        match select(pin!(work), cancelled).await {
            Either::Left((done, _)) => Some(done),
            Either::Right((Ok(()), _)) => None,
            // The same request has come again and has taken the place in the map.
            Either::Right((Err(_), work)) => Some(work.await),
        }
    }

    fn make_cancellable(&self, request: &HeaderValue) -> (Cancellable<'_>, oneshot::Receiver<()>) {
        let (tx, rx) = oneshot::channel();
        self.cancels.borrow_mut().insert(request.clone(), tx);
        let guard = Cancellable {
            upstream: self,
            request: request.clone(),
        };
        (guard, rx)
    }

    async fn run(
        &self,
        headers: &HeaderMap,
        body: &Bytes,
        arrived: Instant,
    ) -> Result<Reply, Abort> {
        let identity = ["request-id", "idempotency-key"].map(|name| headers.get(name));
        let [Some(request), Some(key)] = identity else {
            return Ok(reply::empty(StatusCode::BAD_REQUEST));
        };
        if self.is_refusing() {
            return Ok(self.refuse());
        }
        let free = self.slots.try_acquire();
        let Ok(_slot) = self.slot(free, deadline(headers, arrived)).await else {
            return Ok(self.refuse());
        };
        let execution = self.execute(key, request);
        self.crash_on(body).await;
        if self.loses_reply() {
            return Err(Abort);
        }
        compio::time::sleep(self.draw_service_time()).await;
        let mut reply = reply::json(StatusCode::OK, &json!({ "execution": execution }));
        reply.headers_mut().insert("request-id", request.clone());
        Ok(reply)
    }

    /// Lets a run take effect and returns its number.
    fn execute(&self, key: &HeaderValue, request: &HeaderValue) -> usize {
        self.count_late_start();
        let mut log = self.log.borrow_mut();
        log.executions.push(Execution {
            key: text(key),
            request: text(request),
            at_ms: millis(self.age()),
        });
        log.executions.len()
    }

    fn cancel(&self, headers: &HeaderMap) -> Reply {
        self.log.borrow_mut().counters.cancels += 1;
        if let Some(request) = headers.get("request-id")
            && let Some(search) = self.cancels.borrow_mut().remove(request)
        {
            // An error means that the search has just ended.
            let _ = search.send(());
        }
        reply::empty(StatusCode::NO_CONTENT)
    }

    /// Waits for a slot unless `free` is one.
    async fn slot(&self, free: Option<Slot>, deadline: Instant) -> Result<Slot, Stopped> {
        if let Some(slot) = free {
            return Ok(slot);
        }
        let bound = self.params.borrow().queue;
        let queued = self.slots.enqueue(bound).ok_or(Stopped::NotStarted)?;
        match compio::time::timeout_at(deadline, queued).await {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) => Err(Stopped::NotStarted),
            Err(_) => {
                self.log.borrow_mut().counters.expired += 1;
                Err(Stopped::NotStarted)
            }
        }
    }

    /// Crashes the upstream if `body` has the marker; the crash ends the caller's task.
    async fn crash_on(&self, body: &[u8]) {
        if self.params.borrow().crashes_on(body) {
            self.crash();
            pending::<()>().await;
        }
    }

    /// Returns whether new work is refused by drain, cold start or load shedding.
    fn is_refusing(&self) -> bool {
        let (grace, shed) = {
            let params = self.params.borrow();
            (Duration::from_millis(params.grace_ms), params.shed_percent)
        };
        self.draining_for().is_some_and(|late| late >= grace)
            || self.warmth() == Warmth::Refusing
            || (shed > 0 && self.rng.borrow_mut().random_range(0..100) < shed)
    }

    fn draw_service_time(&self) -> Duration {
        let cold = self.warmth() == Warmth::Slow;
        let params = self.params.borrow();
        params.service_time(&mut self.rng.borrow_mut(), cold)
    }

    fn loses_reply(&self) -> bool {
        let mut params = self.params.borrow_mut();
        let lost = params.lose_replies > 0;
        params.lose_replies = params.lose_replies.saturating_sub(1);
        lost
    }

    fn count_search(&self) {
        self.log.borrow_mut().counters.searches += 1;
        self.count_late_start();
    }

    fn count_late_start(&self) {
        if let Some(late) = self.draining_for() {
            self.log.borrow_mut().start_late(late);
        }
    }

    fn refuse(&self) -> Reply {
        let mut log = self.log.borrow_mut();
        log.counters.refused += 1;
        if let Some(late) = self.draining_for() {
            log.refuse_late(late);
        }
        let mut reply = reply::empty(StatusCode::SERVICE_UNAVAILABLE);
        reply.headers_mut().insert("retry-after", RETRY_AFTER_S);
        reply
    }

    fn stopped(&self, stopped: &Stopped) -> Reply {
        match stopped {
            Stopped::NotStarted => self.refuse(),
            Stopped::Late => {
                self.log.borrow_mut().counters.expired += 1;
                reply::empty(StatusCode::GATEWAY_TIMEOUT)
            }
        }
    }

    fn cancelled(&self) -> Reply {
        self.log.borrow_mut().counters.cancelled += 1;
        let status = StatusCode::from_u16(CANCELLED).unwrap_or(StatusCode::BAD_REQUEST);
        reply::empty(status)
    }

    fn no_snapshot(&self) -> Reply {
        self.log.borrow_mut().counters.no_snapshot += 1;
        let served = self.snapshots.borrow();
        let ids: Vec<String> = served.iter().map(ToString::to_string).collect();
        let mut reply = reply::empty(StatusCode::GONE);
        if let Ok(ids) = HeaderValue::try_from(ids.join(",")) {
            reply.headers_mut().insert("snapshots", ids);
        }
        reply
    }

    fn answer(&self, own: Answer) -> Reply {
        let answer = self.cross(own);
        let mut reply = reply::with_body(StatusCode::OK, answer.body);
        let headers = reply.headers_mut();
        headers.insert("request-id", answer.request);
        headers.insert("snapshot", answer.snapshot);
        headers.insert("shard", answer.shard);
        reply
    }

    /// Replaces an answer by an earlier one when the fault is drawn.
    fn cross(&self, own: Answer) -> Answer {
        let every = self.params.borrow().cross_every;
        if every == 0 {
            return own;
        }
        let earlier = self.last_answer.replace(Some(own.clone()));
        match earlier {
            Some(earlier) if self.rng.borrow_mut().random_range(0..every) == 0 => {
                self.log.borrow_mut().counters.crossed += 1;
                earlier
            }
            _ => own,
        }
    }
}

/// Works for `time`, or until `deadline` if that is sooner.
async fn work_until(time: Duration, deadline: Instant) -> Result<(), Stopped> {
    let end = Instant::now() + time;
    if !time.is_zero() {
        compio::time::sleep_until(end.min(deadline)).await;
    }
    if end > deadline {
        return Err(Stopped::Late);
    }
    Ok(())
}

fn deadline(headers: &HeaderMap, arrived: Instant) -> Instant {
    let left = reply::header_number(headers, "deadline-ms").unwrap_or(DEFAULT_DEADLINE_MS);
    arrived + Duration::from_millis(left.min(DEFAULT_DEADLINE_MS))
}
