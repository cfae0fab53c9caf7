//! Pulls of peers that wait for new objects (long polling).

use base::{Time, Version};
use wire::{Body, Objects, Pull};

use super::{Context, Store};
use crate::effect::{Effect, PeerAddress};

/// Maximum number of pulls that wait; further ones are answered at once.
const MAX_PENDING_PULLS: usize = 256;
/// Maximum size of the objects in one answer, in bytes; a single larger object is still sent and
/// fits in a frame.
const MAX_PAGE_BYTES: usize = 512 << 10;
/// Maximum size of the documents in one answer that were requested by digest, in bytes.
const MAX_DOCUMENT_BYTES: usize = 2 << 20;

/// Pulls of peers that are answered when a newer object arrives or their wait ends.
#[derive(Debug, Default)]
pub(super) struct PendingPulls {
    pulls: Vec<PendingPull>,
}

#[derive(Debug)]
struct PendingPull {
    from: PeerAddress,
    pull: Pull,
    deadline: Time,
}

impl PendingPull {
    fn is_due(&self, now: Time, store: &Store) -> bool {
        now >= self.deadline
            || store.has_newer_than(Version(self.pull.after))
            || store.has_any_document(&self.pull.documents)
    }
}

impl PendingPulls {
    /// Adds a pull; an earlier one of the same peer that still waits is dropped.
    pub(super) fn push(&mut self, now: Time, from: PeerAddress, pull: Pull, longest: Time) {
        self.pulls.retain(|p| p.from != from);
        let full = self.pulls.len() >= MAX_PENDING_PULLS;
        let wait = std::time::Duration::from_millis(pull.wait_ms);
        let deadline = if full { now } else { longest.min(now + wait) };
        self.pulls.push(PendingPull {
            from,
            pull,
            deadline,
        });
    }

    /// Answers the pulls for which there is a newer object and those whose wait has ended.
    pub(super) fn answer(&mut self, cx: &mut Context<'_>, store: &Store) {
        let now = cx.now;
        for pending in self.pulls.extract_if(.., |p| p.is_due(now, store)) {
            let answer = build_answer(store, &pending.pull);
            cx.effects
                .push(Effect::Peer(pending.from, Body::Objects(answer)));
        }
    }

    /// Returns the time at which the next wait ends.
    pub(super) fn next_wake(&self) -> Option<Time> {
        self.pulls.iter().map(|p| p.deadline).min()
    }
}

fn build_answer(store: &Store, pull: &Pull) -> Objects {
    let mut page = store.page_since(Version(pull.after), MAX_PAGE_BYTES);
    let documents = store.documents(&pull.documents, MAX_DOCUMENT_BYTES);
    page.objects.extend(documents);
    page
}
