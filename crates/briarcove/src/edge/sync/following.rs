//! Following another instance instead of watching the store.

use std::{rc::Rc, time::Duration};

use compio::time::{sleep, timeout};
use futures_util::StreamExt;
use platform::{Era, Position, objects::Object};
use serde_json::Value;
use slog::{info, warn};
use tier::Instance;
use wire::handover::{Follow, Payload, Update, UpdatedObject};

use super::{Sync, WatchedKind};
use crate::edge::peers::position;

/// Time without a message after which the followed instance is given up. It sends a watermark every
/// 0.6 s, and a changed configuration has to be in force within 3 s.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Time limit for the first reply of an instance, which shows whether it can be followed.
pub(super) const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(900);

/// Delay before the candidates are tried again when none of them can be followed.
const RETRY_INTERVAL: Duration = Duration::from_secs(3);

/// Why an instance is no longer followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndReason {
    /// It sent nothing within the timeout.
    Silent,
    /// It lost the store or follows another instance itself.
    StoreLost,
    /// The connection was closed.
    Closed,
    /// It is no longer among the candidates.
    NotCandidate,
    /// It runs a version that knows no eras of the store, of which there has been more than one.
    NoEras,
}

impl EndReason {
    /// Returns the value of the log key `why`.
    fn name(self) -> &'static str {
        match self {
            Self::Silent => "Silent",
            Self::StoreLost => "Blind",
            Self::Closed => "Closed",
            Self::NotCandidate => "NoCandidate",
            Self::NoEras => "NoEras",
        }
    }
}

/// Follows the candidates one after the other, each for as long as possible.
pub(super) async fn run(sync: Rc<Sync>) {
    sync.roles_known.until(true).await;
    loop {
        let candidates = sync.candidates.borrow().clone();
        for candidate in &candidates {
            let reason = follow(&sync, candidate).await;
            sync.follows_evacuations.set(false);
            if sync.is_following.set(false) {
                sync.shell.feed.set_following(false);
                info!(sync.shell.log, "watching the store; no longer following an instance";
                    "instance" => %candidate.name, "why" => reason.name());
                // The store may be unavailable to this instance too, which the next probe shows.
                sync.probe_now.set(true);
            }
        }
        sleep(sync.shell.jitter(RETRY_INTERVAL)).await;
    }
}

/// Follows one instance until it can no longer be followed.
async fn follow(sync: &Rc<Sync>, instance: &Instance) -> EndReason {
    let [config, upstreams, evacuations] = [0, 1, 2].map(|kind| sync.known[kind].get());
    let known = Follow {
        config: config.revision,
        upstreams: upstreams.revision,
        config_era: config.era.0,
        upstreams_era: upstreams.era.0,
        evacuations: sync.has_evacuations().then_some(evacuations.revision),
        evacuations_era: evacuations.era.0,
    };
    let mut updates = sync.shell.peers.follow(&sync.shell, instance, known);
    let mut wait = FIRST_REPLY_TIMEOUT;
    loop {
        let payload = match timeout(wait, updates.next()).await {
            Ok(Some(payload)) => payload,
            Ok(None) => return EndReason::Closed,
            Err(_) => return EndReason::Silent,
        };
        let knows_eras = match &payload {
            Payload::Update(update) => update.era > 0,
            Payload::Watermark(watermark) => watermark.config_era > 0,
            _ => true,
        };
        if !knows_eras && sync.latest_era.get() > Era::default() {
            return EndReason::NoEras;
        }
        match payload {
            Payload::Update(update) => sync.apply_update(update),
            Payload::Watermark(watermark) => {
                let config = position(watermark.config_era, watermark.config);
                let upstreams = position(watermark.upstreams_era, watermark.upstreams);
                sync.advance(WatchedKind::Config, config);
                sync.advance(WatchedKind::Upstreams, upstreams);
                sync.follows_evacuations
                    .set(watermark.evacuations.is_some());
                if let Some(revision) = watermark.evacuations {
                    let evacuations = position(watermark.evacuations_era, revision);
                    sync.advance(WatchedKind::Evacuations, evacuations);
                }
                if !sync.is_following.set(true) {
                    sync.shell.feed.set_following(true);
                    info!(sync.shell.log, "following an instance instead of the store";
                        "instance" => %instance.name);
                }
                wait = SILENCE_TIMEOUT;
            }
            _ => return EndReason::StoreLost,
        }
        if !sync.candidates.borrow().contains(instance) {
            return EndReason::NotCandidate;
        }
    }
}

impl Sync {
    /// Raises the position up to which all changes of a kind are known. The objects of a new era
    /// come with an update, so a position of another era shows nothing.
    fn advance(&self, kind: WatchedKind, position: Position) {
        let known = &self.known[kind as usize];
        if position.era == known.get().era {
            known.set(known.get().max(position));
        }
    }

    /// Applies an update unless it is older than the known position.
    fn apply_update(&self, update: Update) {
        let Some(kind) = WatchedKind::from_number(update.kind) else {
            warn!(self.shell.log, "ignoring an update of an unknown kind"; "kind" => update.kind);
            return;
        };
        let known = self.known[kind as usize].get();
        let updated = position(update.era, update.revision);
        // A full list is sent again after another one, as changes may have been missed between
        // them.
        if updated < known || updated == known && !update.is_whole {
            return;
        }
        if updated.era != known.era && !update.is_whole {
            return;
        }
        if !self.latest_era.observe(updated.era) {
            return;
        }
        self.note_era();
        let objects = update
            .objects
            .into_iter()
            .filter_map(|object| self.decode_object(object));
        if update.is_whole {
            self.apply_list(kind, objects.collect(), updated);
        } else {
            for object in objects.filter(|object| object.revision > known.revision) {
                self.apply_change(kind, object);
            }
        }
        self.known[kind as usize].set(updated);
    }

    fn decode_object(&self, object: UpdatedObject) -> Option<Object> {
        let spec: Value = match serde_json::from_slice(&object.spec) {
            Ok(spec) => spec,
            Err(e) => {
                warn!(self.shell.log, "failed to decode an object from another instance";
                    "name" => &object.name, "error" => %e);
                return None;
            }
        };
        Some(Object {
            name: object.name.into(),
            spec,
            revision: object.revision,
            is_deleted: object.is_gone,
        })
    }
}
