//! Requests in quarantine, as the store holds them for all instances.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use platform::{
    Store,
    objects::Object,
    store::{Error, Freshness},
};
use serde_json::json;
use slog::{info, warn};
use tier::{Event, crash::PUBLISHED_PERIOD};

use super::Sync;

/// Kind of the objects that share digests of quarantined requests between instances.
pub(super) const KIND: &str = "briarcove-quarantine";

/// Maximum number of quarantines that are written, or removed, after one probe.
const MAX_WRITES: usize = 4;

/// Time after a rise of the era over which instances look for lost quarantines, so that mostly one of
/// them writes them again.
const REPUBLISH_SPREAD: Duration = Duration::from_secs(3);

/// Published quarantines by digest, with the times from which this instance removes them. They differ
/// between instances, so that mostly one does.
pub(super) type Published = HashMap<u64, Instant>;

/// Lists the quarantines at the start, so that a restarted instance refuses from its first request
/// on what the others refuse.
pub(super) async fn read(sync: &Sync, store: &mut Store) {
    match store.list(KIND, Freshness::Stale).await {
        Ok(listed) => apply(sync, store, &listed.objects).await,
        Err(e) => warn!(sync.shell.log, "failed to list quarantined requests"; "error" => %e),
    }
}

/// Applies a list of the published quarantines, each once. Removes those that this instance has
/// ended, and those that are over.
pub(super) async fn apply(sync: &Sync, store: &mut Store, objects: &[Object]) {
    let digest = |object: &Object| u64::from_str_radix(&object.name, 16).ok();
    let listed: HashSet<u64> = objects.iter().filter_map(digest).collect();
    requeue_lost(sync, &listed);
    sync.published
        .borrow_mut()
        .retain(|known, _| listed.contains(known));
    let mut is_over = Vec::new();
    for object in objects {
        let Some(digest) = digest(object) else {
            continue;
        };
        let has_ended = sync.shell.ended_quarantines.borrow().contains(&digest);
        let remove_at = sync.published.borrow().get(&digest).copied();
        if has_ended || remove_at.is_some_and(|at| at <= Instant::now()) {
            is_over.push((digest, object));
        } else if remove_at.is_none() {
            note_published(sync, digest);
            sync.shell.dispatch(Event::Quarantine(digest));
        }
    }
    for (digest, object) in is_over.into_iter().take(MAX_WRITES) {
        let removed = store.remove(KIND, &object.name, object.revision);
        match removed.await {
            // Another instance may have removed it, and a stale list still shows it.
            Ok(()) | Err(Error::Conflict) => {
                sync.shell.ended_quarantines.borrow_mut().remove(&digest);
            }
            Err(e) => {
                warn!(sync.shell.log, "failed to remove a quarantine"; "error" => %e);
                return;
            }
        }
    }
}

impl Sync {
    /// Remembers the published quarantines, as the store may have lost them; after a delay that
    /// differs between instances, those that are missing are written again.
    pub(super) fn lose_published(&self) {
        let digests = self.published.borrow().keys().copied().collect();
        let at = Instant::now() + self.shell.spread(REPUBLISH_SPREAD);
        *self.lost_quarantines.borrow_mut() = Some((at, digests));
    }
}

/// Queues the quarantines that the store has lost and that no other instance has written again.
fn requeue_lost(sync: &Sync, listed: &HashSet<u64>) {
    let lost = sync
        .lost_quarantines
        .borrow_mut()
        .take_if(|(at, _)| *at <= Instant::now());
    let Some((_, digests)) = lost else { return };
    let is_lost = |digest: &u64| !listed.contains(digest) && sync.shell.is_quarantined(*digest);
    let lost: Vec<u64> = digests.into_iter().filter(is_lost).collect();
    if !lost.is_empty() {
        info!(sync.shell.log, "the store has lost quarantines; writing them again";
            "count" => lost.len());
        sync.shell.pending_quarantines.borrow_mut().extend(lost);
    }
}

/// Records that the store holds a quarantine.
fn note_published(sync: &Sync, digest: u64) {
    let remove_at = Instant::now() + sync.shell.jitter(PUBLISHED_PERIOD * 2);
    sync.published.borrow_mut().insert(digest, remove_at);
}

/// Writes quarantines to the store for the other instances.
pub(super) async fn publish(sync: &Sync, store: &mut Store) {
    for _ in 0..MAX_WRITES {
        let next = sync.shell.pending_quarantines.borrow().front().copied();
        let Some(digest) = next else { return };
        match store
            .create(KIND, &format!("{digest:016x}"), json!({}))
            .await
        {
            Ok(()) | Err(Error::Conflict) => {
                let mut pending = sync.shell.pending_quarantines.borrow_mut();
                pending.retain(|it| *it != digest);
                drop(pending);
                note_published(sync, digest);
            }
            Err(e) => {
                warn!(sync.shell.log, "failed to publish a quarantine"; "error" => %e);
                return;
            }
        }
    }
}
