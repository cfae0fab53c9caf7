//! Pulls of peers that wait for news.

use base::Time;
use wire::{Body, Objects, Pull};

use super::{Context, Store};
use crate::effect::{Effect, PeerAddress};

/// Pulls that wait at once; another is answered without a wait.
const WAITING_PULLS: usize = 256;
/// Size of the objects in one answer, in bytes; one larger object still fits a frame.
const PAGE_BYTES: usize = 512 << 10;
/// Size of the documents asked for by digest in one answer, in bytes.
const DOCUMENT_BYTES: usize = 2 << 20;

/// Pulls of peers that are answered at the next news, or when their wait ends.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    pulls: Vec<WaitingPull>,
}

#[derive(Debug)]
struct WaitingPull {
    from: PeerAddress,
    pull: Pull,
    until: Time,
}

impl WaitingPull {
    fn is_due(&self, now: Time, store: &Store) -> bool {
        now >= self.until
            || store.has_news(base::Version(self.pull.after))
            || store.has_any(&self.pull.documents)
    }
}

impl Waiting {
    /// Takes a pull; a peer's earlier one that still waits is dropped.
    pub(super) fn push(&mut self, now: Time, from: PeerAddress, pull: Pull, longest: Time) {
        self.pulls.retain(|w| w.from != from);
        let full = self.pulls.len() >= WAITING_PULLS;
        let wait = std::time::Duration::from_millis(pull.wait_ms);
        let until = if full { now } else { longest.min(now + wait) };
        self.pulls.push(WaitingPull { from, pull, until });
    }

    /// Answers the pulls for which there is news or whose wait has ended.
    pub(super) fn answer(&mut self, cx: &mut Context<'_>, store: &Store) {
        let now = cx.now;
        for waiting in self.pulls.extract_if(.., |w| w.is_due(now, store)) {
            let answer = answer(store, &waiting.pull);
            cx.effects
                .push(Effect::Peer(waiting.from, Body::Objects(answer)));
        }
    }

    /// Returns the time at which the next wait ends.
    pub(super) fn next_wake(&self) -> Option<Time> {
        self.pulls.iter().map(|w| w.until).min()
    }
}

fn answer(store: &Store, pull: &Pull) -> Objects {
    let mut page = store.since(base::Version(pull.after), PAGE_BYTES);
    let documents = store.documents(&pull.documents, DOCUMENT_BYTES);
    page.objects.extend(documents);
    page
}
