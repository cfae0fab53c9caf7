//! List and watch of the store.

use std::{fmt, pin::pin, rc::Rc, time::Duration};

use compio::time::{sleep, timeout};
use futures_channel::oneshot::{self, Canceled};
use futures_util::future::{Either, select};
use platform::{
    Store, config, entry, evacuation,
    store::{Error, Freshness},
};
use slog::{info, warn};
use tier::pacing::Pacer;

use super::{
    FOLLOWING_THRESHOLD, Interruption, LOST_PROBE_INTERVAL, Sync, WatchedKind,
    following::FIRST_REPLY_TIMEOUT,
};

/// Wait time of one watch call; the platform allows at most 30 s.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(25);

/// Time for which changes of upstreams accumulate between two watch calls, as each call has a cost.
/// It must leave time within the 3 s in which a draining upstream has to be known.
const UPSTREAMS_BATCH_WINDOW: Duration = Duration::from_millis(800);

/// The same for changes of the configuration.
const CONFIG_BATCH_WINDOW: Duration = Duration::from_millis(500);

/// The same for evacuations, which are few.
const EVACUATIONS_BATCH_WINDOW: Duration = Duration::from_millis(500);

/// In a large fleet changes accumulate for the maximum delay of the kind divided by this.
const BATCH_WINDOW_DIVISOR: u32 = 3;

/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);

impl WatchedKind {
    /// Returns the name of the kind in the store.
    fn store_kind(self) -> &'static str {
        match self {
            Self::Config => config::KIND,
            Self::Upstreams => entry::KIND,
            Self::Evacuations => evacuation::KIND,
        }
    }

    /// Returns the time for which changes accumulate between two watch calls while they keep
    /// coming.
    fn batch_window(self, cfg: &platform::Settings, instances: usize) -> Duration {
        let (default, max_delay) = match self {
            Self::Config => (CONFIG_BATCH_WINDOW, cfg.max_config_delay),
            Self::Upstreams => (UPSTREAMS_BATCH_WINDOW, cfg.max_drain_delay),
            Self::Evacuations => (
                EVACUATIONS_BATCH_WINDOW,
                cfg.max_evacuation_delay.unwrap_or_default(),
            ),
        };
        if instances <= FOLLOWING_THRESHOLD {
            return default;
        }
        // A longer window limits the calls of a large fleet, and leaves the rest of the allowed
        // delay to the change itself.
        (max_delay / BATCH_WINDOW_DIVISOR).max(default)
    }
}

/// Why a watch ended.
pub(super) enum WatchEnd {
    /// The watch may have missed changes.
    Interrupted(Interruption),
    /// The call failed.
    Failed(Error),
}

impl WatchEnd {
    /// Returns the end by what interrupted the watch; nothing does so without a reason.
    fn interrupted(why: Result<Interruption, Canceled>) -> Self {
        Self::Interrupted(why.unwrap_or(Interruption::MissedChange))
    }

    /// Returns whether the instance alone has to list the kind again, so that it need not wait for
    /// another one to send it.
    pub(super) fn concerns_one_instance(&self) -> bool {
        matches!(self, Self::Interrupted(Interruption::MissedChange))
    }
}

impl fmt::Display for WatchEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Interrupted(_) => f.write_str("it may have missed changes"),
            Self::Failed(e) => e.fmt(f),
        }
    }
}

/// Lists a kind and watches it for changes, again from the list whenever the watch ends.
pub(super) async fn list_and_watch(sync: Rc<Sync>, kind: WatchedKind) {
    // A stale list costs a tenth of a fresh one, and the first watch delivers what it lacks.
    let mut freshness = sync.first_freshness(kind);
    let mut is_first = true;
    // Whether the position was forgotten, so that another instance would send all objects.
    let mut is_forgotten = false;
    loop {
        let mut store = sync.store();
        if std::mem::take(&mut is_forgotten) && sync.is_followed_again(kind).await {
            let problem = sync.watch(&mut store, kind).await;
            is_forgotten = sync.forget_position(kind, &problem);
            info!(sync.shell.log, "no longer receiving a kind; listing it"; "kind" => kind.store_kind(),
                "why" => %problem);
            sync.wait_until_store_answers().await;
            continue;
        }
        let listed = store.list(kind.store_kind(), freshness).await;
        match listed {
            Ok(listed) => {
                sync.shell.metrics.count_store_call("list", "ok");
                sync.report_unreadable(kind.store_kind(), &listed.unreadable);
                sync.note_era();
                let known = &sync.known[kind as usize];
                // While the list was under way, the followed instance may have sent newer changes,
                // and sends them only once.
                if listed.position >= known.get() {
                    sync.apply_list(kind, listed.objects, listed.position);
                    known.set(listed.position);
                }
                sync.roles_known.until(true).await;
                if std::mem::take(&mut is_first) {
                    sync.await_following(kind).await;
                }
                let problem = sync.watch(&mut store, kind).await;
                is_forgotten = sync.forget_position(kind, &problem);
                info!(sync.shell.log, "watch ended; listing again"; "kind" => kind.store_kind(),
                    "why" => %problem);
                // The ended watch may have missed changes that the next one does not deliver
                // either.
                freshness = Freshness::Latest;
                sync.wait_until_store_answers().await;
            }
            Err(e) => {
                sync.shell.metrics.count_store_call("list", "failed");
                sync.note_era();
                warn!(sync.shell.log, "failed to list objects"; "kind" => kind.store_kind(),
                    "error" => %e);
                sync.wait_until_store_answers().await;
            }
        }
    }
}

impl Sync {
    /// Watches a kind until the watch fails or is interrupted; pauses while this instance receives
    /// updates from another instance.
    async fn watch(&self, store: &mut Store, kind: WatchedKind) -> WatchEnd {
        let mut pacer = Pacer::default();
        loop {
            let (tx, mut rx) = oneshot::channel();
            *self.interrupts[kind as usize].borrow_mut() = Some(tx);
            if self.follows(kind).get() {
                let again = pin!(self.follows(kind).until(false));
                if let Either::Right((why, _)) = select(again, &mut rx).await {
                    return WatchEnd::interrupted(why);
                }
                continue;
            }
            let after = self.known[kind as usize].get();
            if after.era < self.latest_era.get() {
                return WatchEnd::Interrupted(Interruption::Outage);
            }
            let changes = {
                let waiting = pin!(store.watch(kind.store_kind(), after, MAX_WATCH_WAIT));
                let followed = pin!(self.follows(kind).until(true));
                match select(waiting, select(followed, rx)).await {
                    Either::Left((changes, _)) => changes,
                    Either::Right((Either::Left(_), _)) => continue,
                    Either::Right((Either::Right((why, _)), _)) => {
                        return WatchEnd::interrupted(why);
                    }
                }
            };
            match changes {
                Ok(changes) => {
                    self.shell.metrics.count_store_call("watch", "ok");
                    self.report_unreadable(kind.store_kind(), &changes.unreadable);
                    let position = changes.position.max(after);
                    self.known[kind as usize].set(position);
                    self.shell
                        .feed
                        .apply_changes(kind, &changes.objects, position);
                    let has_changes = !changes.objects.is_empty();
                    for object in changes.objects {
                        self.apply_change(kind, object);
                    }
                    if has_changes {
                        let window =
                            kind.batch_window(&self.shell.cfg.borrow(), self.instance_count.get());
                        let wait = pacer.record_call(self.shell.now(), window);
                        sleep(self.shell.jitter(wait)).await;
                    }
                }
                Err(e) => {
                    self.shell.metrics.count_store_call("watch", "failed");
                    self.note_era();
                    return WatchEnd::Failed(e);
                }
            }
        }
    }

    /// Waits for a short time until this instance receives a kind from another instance, if there
    /// are any that it may follow: a first watch that is cut off at once is a call of each
    /// instance.
    async fn await_following(&self, kind: WatchedKind) {
        if !self.candidates.borrow().is_empty() {
            // Without another instance it watches by itself.
            let _ = timeout(FIRST_REPLY_TIMEOUT, self.follows(kind).until(true)).await;
        }
    }

    /// Waits for the retry delay, and until the store answers.
    async fn wait_until_store_answers(&self) {
        sleep(self.shell.jitter(RETRY_DELAY)).await;
        while self.is_store_lost.get() {
            sleep(LOST_PROBE_INTERVAL / 4).await;
        }
    }
}
