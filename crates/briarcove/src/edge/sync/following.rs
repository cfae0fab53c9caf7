//! Following another instance in place of watching the platform.

use std::{rc::Rc, time::Duration};

use compio::time::{sleep, timeout};
use futures_util::StreamExt;
use platform::store::Object;
use serde_json::Value;
use slog::{info, warn};
use tier::Instance;
use wire::handover::{Follow, Payload, Update, UpdatedObject};

use super::{Sync, Watched};

/// Time without a word after which the instance that is followed may be lost; beats come each
/// 0.6 s, and configurations have to be in force within 3 s.
const SILENT_AFTER: Duration = Duration::from_millis(1_700);

/// Time in which an instance that is asked says whether it can be followed.
const FIRST_WORD: Duration = Duration::from_millis(900);

/// Wait before the candidates are asked again when none of them could be followed.
const ASK_AGAIN: Duration = Duration::from_secs(3);

/// Why an instance is no longer followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Left {
    Silent,
    Blind,
    Closed,
    /// It is not among the candidates any more.
    NoCandidate,
}

/// Follows one candidate after the other.
pub(super) async fn run(sync: Rc<Sync>) {
    sync.roles_known.until(true).await;
    loop {
        let candidates = sync.candidates.borrow().clone();
        for candidate in &candidates {
            let left = follow(&sync, candidate).await;
            if sync.is_following.set(false) {
                sync.shell.feed.set_following(false);
                info!(sync.shell.log, "watching the store, as an instance is not followed any more";
                    "instance" => %candidate.name, "why" => ?left);
                // The store may be away for this instance too, which its next read tells.
                sync.look_now.set(true);
            }
        }
        sleep(sync.shell.spread(ASK_AGAIN)).await;
    }
}

/// Follows one instance until it can't be followed any more.
async fn follow(sync: &Rc<Sync>, instance: &Instance) -> Left {
    let ask = Follow {
        config: sync.seen[0].get(),
        upstreams: sync.seen[1].get(),
    };
    let mut news = sync.shell.peers.follow(&sync.shell, instance, ask);
    let mut patience = FIRST_WORD;
    loop {
        let said = match timeout(patience, news.next()).await {
            Ok(Some(said)) => said,
            Ok(None) => return Left::Closed,
            Err(_) => return Left::Silent,
        };
        match said {
            Payload::Update(news) => sync.take_news(news),
            Payload::Watermark(beat) => {
                sync.advance(Watched::Config, beat.config);
                sync.advance(Watched::Upstreams, beat.upstreams);
                if !sync.is_following.set(true) {
                    sync.shell.feed.set_following(true);
                    info!(sync.shell.log, "following an instance in place of the store";
                        "instance" => %instance.name);
                }
                patience = SILENT_AFTER;
            }
            _ => return Left::Blind,
        }
        if !sync.candidates.borrow().contains(instance) {
            return Left::NoCandidate;
        }
    }
}

impl Sync {
    fn advance(&self, what: Watched, revision: u64) {
        let seen = &self.seen[what as usize];
        seen.set(seen.get().max(revision));
    }

    /// Takes news unless they are older than what is known.
    fn take_news(&self, news: Update) {
        let what = match news.kind {
            0 => Watched::Config,
            1 => Watched::Upstreams,
            kind => {
                warn!(self.shell.log, "news of a kind that is not known"; "kind" => kind);
                return;
            }
        };
        let seen = self.seen[what as usize].get();
        if news.revision <= seen {
            return;
        }
        let objects = news
            .objects
            .into_iter()
            .filter_map(|object| self.read_news(object));
        if news.is_whole {
            self.take_list(what, objects.collect(), news.revision);
        } else {
            for object in objects.filter(|object| object.revision > seen) {
                self.change(what, object);
            }
        }
        self.advance(what, news.revision);
    }

    fn read_news(&self, news: UpdatedObject) -> Option<Object> {
        let spec: Value = match serde_json::from_slice(&news.spec) {
            Ok(spec) => spec,
            Err(e) => {
                warn!(self.shell.log, "an object of an instance's news can't be read";
                    "name" => &news.name, "error" => %e);
                return None;
            }
        };
        Some(Object {
            name: news.name.into(),
            spec,
            revision: news.revision,
            is_deleted: news.is_gone,
        })
    }
}
