//! Pulls of peers that wait for news.

use base::{Time, Version};
use wire::{Body, Objects, Pull};

use super::{Context, Store};
use crate::effect::{Effect, PeerAddress};

/// Pulls that wait at once; another is answered without a wait.
const MAX_PENDING_PULLS: usize = 256;
/// Size of the objects in one answer, in bytes; one larger object still fits a frame.
const MAX_PAGE_BYTES: usize = 512 << 10;
/// Size of the documents asked for by digest in one answer, in bytes.
const MAX_DOCUMENT_BYTES: usize = 2 << 20;

/// Pulls of peers that are answered at the next news, or when their wait ends.
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
    /// Takes a pull; a peer's earlier one that still waits is dropped.
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

    /// Answers the pulls for which there is news or whose wait has ended.
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
