//! Lists and watches of the store.

use std::{fmt, pin::pin, rc::Rc, time::Duration};

use compio::time::sleep;
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use platform::{
    Store, config, entry,
    store::{Error, Freshness},
};
use slog::{info, warn};

use super::{FOLLOWING_THRESHOLD, LOST_INTERVAL, Sync, Watched};

/// Longest wait of a watch; the platform allows 30 s.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Time for which changes of upstreams are collected before the next watch, as each reply of a
/// watch costs a call; drained upstreams have to be known in 3 s.
const UPSTREAMS_PAUSE: Duration = Duration::from_millis(800);

/// The same for configurations.
const CONFIG_PAUSE: Duration = Duration::from_millis(500);

/// Part of the time allowed for a change, as a divisor, that many instances collect changes for.
const PAUSE_DIVISOR: u32 = 3;

/// Wait before a call that failed is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

impl Watched {
    fn kind(self) -> &'static str {
        match self {
            Self::Config => config::KIND,
            Self::Upstreams => entry::KIND,
        }
    }

    /// Returns the time for which changes are collected.
    fn pause(self, cfg: &platform::Settings, instances: usize) -> Duration {
        let (usual, within) = match self {
            Self::Config => (CONFIG_PAUSE, cfg.max_config_delay),
            Self::Upstreams => (UPSTREAMS_PAUSE, cfg.max_drain_delay),
        };
        if instances <= FOLLOWING_THRESHOLD {
            return usual;
        }
        // Many instances make many calls; a part of the time allowed is left to the change itself.
        (within / PAUSE_DIVISOR).max(usual)
    }
}

/// Why a watch ended.
enum Ended {
    /// The store has changes of which it did not tell, or was away.
    Doubted,
    /// The call failed.
    Failed(Error),
}

impl fmt::Display for Ended {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Doubted => f.write_str("it may have missed changes"),
            Self::Failed(e) => e.fmt(f),
        }
    }
}

/// Lists a kind, then follows its changes.
pub(super) async fn follow(sync: Rc<Sync>, what: Watched) {
    // A stale list costs a tenth, and the first watch brings what it lacks.
    let mut freshness = Freshness::Stale;
    loop {
        let mut store = sync.store();
        let listed = store.list(what.kind(), freshness).await;
        match listed {
            Ok(listed) => {
                sync.shell.metrics.store_call("list", "ok");
                sync.take_list(what, listed.objects, listed.revision);
                sync.seen[what as usize].set(listed.revision);
                sync.roles_known.until(true).await;
                let problem = sync.watch(&mut store, what).await;
                info!(sync.shell.log, "watch ended; listing again"; "kind" => what.kind(),
                    "why" => %problem);
                // A watch that broke may have missed changes that its successor is not told of.
                freshness = Freshness::Latest;
                sync.await_store().await;
            }
            Err(e) => {
                sync.shell.metrics.store_call("list", "failed");
                warn!(sync.shell.log, "list failed"; "kind" => what.kind(), "error" => %e);
                sync.await_store().await;
            }
        }
    }
}

impl Sync {
    /// Follows the changes of a kind until the watch ends; stands still while another instance
    /// tells of them.
    async fn watch(&self, store: &mut Store, what: Watched) -> Ended {
        loop {
            let (tx, mut rx) = oneshot::channel();
            *self.interrupts[what as usize].borrow_mut() = Some(tx);
            if self.is_following.get() {
                let again = pin!(self.is_following.until(false));
                if let Either::Right(_) = select(again, &mut rx).await {
                    return Ended::Doubted;
                }
                continue;
            }
            let after = self.seen[what as usize].get();
            let changes = {
                let waiting = pin!(store.watch(what.kind(), after, WATCH_WAIT));
                let followed = pin!(self.is_following.until(true));
                match select(waiting, select(followed, rx)).await {
                    Either::Left((changes, _)) => changes,
                    Either::Right((Either::Left(_), _)) => continue,
                    Either::Right((Either::Right(_), _)) => return Ended::Doubted,
                }
            };
            match changes {
                Ok(changes) => {
                    self.shell.metrics.store_call("watch", "ok");
                    let revision = changes.revision.max(after);
                    self.seen[what as usize].set(revision);
                    self.shell.feed.change(what, &changes.objects, revision);
                    let any = !changes.objects.is_empty();
                    for object in changes.objects {
                        self.change(what, object);
                    }
                    if any {
                        let pause = what.pause(&self.shell.cfg.borrow(), self.instances.get());
                        sleep(self.shell.spread(pause)).await;
                    }
                }
                Err(e) => {
                    self.shell.metrics.store_call("watch", "failed");
                    return Ended::Failed(e);
                }
            }
        }
    }

    /// Waits until the store may answer again.
    async fn await_store(&self) {
        sleep(self.shell.spread(RETRY_PAUSE)).await;
        while self.lost.get() {
            sleep(LOST_INTERVAL / 4).await;
        }
    }
}
