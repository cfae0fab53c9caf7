//! HTTP handlers of an upstream: search, run and cancel.

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
    state::{SearchReply, Upstream, WarmUp},
};
use crate::{
    reply::{self, Abort, Reply},
    server::{Connections, Handler},
};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Maximum number of hits of a search without the header `limit`.
const DEFAULT_LIMIT: u64 = 10;
/// Deadline of a request without the header `deadline-ms`, and the maximum, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 60_000;
/// Value of `retry-after` in refusals, in seconds.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("1");
/// Non-standard status of a cancelled search.
const CANCELLED: u16 = 499;

impl Handler for Upstream {
    fn connections(&self) -> &Connections {
        &self.connections
    }

    async fn handle(self: Rc<Self>, first: bool, req: Request<Incoming>) -> Result<Reply, Abort> {
        let arrived = Instant::now();
        let (parts, body) = req.into_parts();
        if first {
            self.delay_first_reply().await;
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

/// Why a request was not completed.
enum Rejection {
    /// The request received no slot.
    NotStarted,
    /// The deadline passed while the request was processed.
    DeadlinePassed,
}

/// Registration of a search that can be cancelled; dropping it removes the search from the map.
struct CancelGuard<'a> {
    upstream: &'a Upstream,
    request: HeaderValue,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        self.upstream.cancels.borrow_mut().remove(&self.request);
    }
}

impl Upstream {
    async fn delay_first_reply(&self) {
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
        self.crash_on_marker(&body).await;
        if self.is_refusing() {
            return Ok(self.refuse());
        }
        if !self.snapshots.borrow().contains(&snapshot) {
            return Ok(self.no_snapshot());
        }
        let shards = self.held_shards.get(&snapshot);
        let Some(shard) = shards.and_then(|s| s.get(shard_text.to_str().ok()?)) else {
            return Ok(reply::empty(StatusCode::NOT_FOUND));
        };
        let result = match self.search_work(&request, deadline(headers, arrived)).await {
            Some(result) => result,
            None => return Ok(self.cancelled()),
        };
        if let Err(rejection) = result {
            return Ok(self.reject(&rejection));
        }
        let limit = reply::header_number(headers, "limit").unwrap_or(DEFAULT_LIMIT);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        self.log
            .borrow_mut()
            .record_search(&request, &shard_text, snapshot);
        Ok(self.search_reply(SearchReply {
            request,
            snapshot: snapshot_text,
            shard: shard_text,
            body: shard.search(&body, limit),
        }))
    }

    /// Holds a slot for the service time. Returns `None` if the search is cancelled.
    async fn search_work(
        &self,
        request: &HeaderValue,
        deadline: Instant,
    ) -> Option<Result<(), Rejection>> {
        let free = self.slots.try_acquire();
        let time = self.draw_service_time();
        if free.is_some() && time.is_zero() {
            self.count_search();
            return Some(Ok(()));
        }
        let (_guard, cancelled) = self.register_cancellable(request);
        let work = async {
            let _slot = self.slot(free, deadline).await?;
            self.count_search();
            work_until(time, deadline).await
        };
        match select(pin!(work), cancelled).await {
            Either::Left((done, _)) => Some(done),
            Either::Right((Ok(()), _)) => None,
            // Another request with the same id has replaced the entry in the map.
            Either::Right((Err(_), work)) => Some(work.await),
        }
    }

    fn register_cancellable(
        &self,
        request: &HeaderValue,
    ) -> (CancelGuard<'_>, oneshot::Receiver<()>) {
        let (tx, rx) = oneshot::channel();
        self.cancels.borrow_mut().insert(request.clone(), tx);
        let guard = CancelGuard {
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
        self.crash_on_marker(body).await;
        if self.take_lost_reply() {
            return Err(Abort);
        }
        compio::time::sleep(self.draw_service_time()).await;
        let mut reply = reply::json(StatusCode::OK, &json!({ "execution": execution }));
        reply.headers_mut().insert("request-id", request.clone());
        Ok(reply)
    }

    /// Records that a run takes effect and returns its number.
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
            // An error means that the search has just completed.
            let _ = search.send(());
        }
        reply::empty(StatusCode::NO_CONTENT)
    }

    /// Returns `free`, or waits for a slot if it is `None`.
    async fn slot(&self, free: Option<Slot>, deadline: Instant) -> Result<Slot, Rejection> {
        if let Some(slot) = free {
            return Ok(slot);
        }
        let bound = self.params.borrow().queue;
        let queued = self.slots.enqueue(bound).ok_or(Rejection::NotStarted)?;
        match compio::time::timeout_at(deadline, queued).await {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) => Err(Rejection::NotStarted),
            Err(_) => {
                self.log.borrow_mut().counters.expired += 1;
                Err(Rejection::NotStarted)
            }
        }
    }

    /// Crashes the upstream if `body` contains the marker. In that case this never returns; the
    /// task is dropped when the crash closes its connection.
    async fn crash_on_marker(&self, body: &[u8]) {
        if self.params.borrow().crashes_on(body) {
            self.crash();
            pending::<()>().await;
        }
    }

    /// Returns whether a request is refused because of a drain, a cold start or load shedding.
    fn is_refusing(&self) -> bool {
        let (grace, shed) = {
            let params = self.params.borrow();
            (Duration::from_millis(params.grace_ms), params.shed_percent)
        };
        self.draining_for().is_some_and(|late| late >= grace)
            || self.warm_up() == WarmUp::Refusing
            || (shed > 0 && self.rng.borrow_mut().random_range(0..100) < shed)
    }

    fn draw_service_time(&self) -> Duration {
        let cold = self.warm_up() == WarmUp::Slow;
        let params = self.params.borrow();
        params.service_time(&mut self.rng.borrow_mut(), cold)
    }

    fn take_lost_reply(&self) -> bool {
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
            self.log.borrow_mut().record_late_start(late);
        }
    }

    fn refuse(&self) -> Reply {
        let mut log = self.log.borrow_mut();
        log.counters.refused += 1;
        if let Some(late) = self.draining_for() {
            log.record_late_refusal(late);
        }
        let mut reply = reply::empty(StatusCode::SERVICE_UNAVAILABLE);
        reply.headers_mut().insert("retry-after", RETRY_AFTER_S);
        reply
    }

    fn reject(&self, rejection: &Rejection) -> Reply {
        match rejection {
            Rejection::NotStarted => self.refuse(),
            Rejection::DeadlinePassed => {
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

    fn search_reply(&self, own: SearchReply) -> Reply {
        let answer = self.maybe_cross(own);
        let mut reply = reply::with_body(StatusCode::OK, answer.body);
        let headers = reply.headers_mut();
        headers.insert("request-id", answer.request);
        headers.insert("snapshot", answer.snapshot);
        headers.insert("shard", answer.shard);
        reply
    }

    /// Replaces a reply by an earlier one if the fault is drawn.
    fn maybe_cross(&self, own: SearchReply) -> SearchReply {
        let every = self.params.borrow().cross_every;
        if every == 0 {
            return own;
        }
        let earlier = self.last_reply.replace(Some(own.clone()));
        match earlier {
            Some(earlier) if self.rng.borrow_mut().random_range(0..every) == 0 => {
                self.log.borrow_mut().counters.crossed += 1;
                earlier
            }
            _ => own,
        }
    }
}

/// Waits for the processing time, or until the deadline if that is sooner.
async fn work_until(time: Duration, deadline: Instant) -> Result<(), Rejection> {
    let end = Instant::now() + time;
    if !time.is_zero() {
        compio::time::sleep_until(end.min(deadline)).await;
    }
    if end > deadline {
        return Err(Rejection::DeadlinePassed);
    }
    Ok(())
}

fn deadline(headers: &HeaderMap, arrived: Instant) -> Instant {
    let left = reply::header_number(headers, "deadline-ms").unwrap_or(DEFAULT_DEADLINE_MS);
    arrived + Duration::from_millis(left.min(DEFAULT_DEADLINE_MS))
}
