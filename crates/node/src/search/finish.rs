//! The end of a search, with or without an answer.

use base::{CallId, Time};

use crate::{
    attempt::{AttemptKey, SearchKey},
    effect::{Answer, Effect, SearchResults},
    node::Node,
    search_state::SearchState,
};

impl Node {
    /// Cancels attempts of searches, and takes them out of the load of their upstreams.
    pub(super) fn cancel_attempts(
        &mut self,
        now: Time,
        attempts: Vec<AttemptKey>,
        effects: &mut Vec<Effect>,
    ) {
        for attempt in attempts {
            self.end_outstanding(attempt);
            self.cancel(now, attempt, effects);
        }
    }

    /// Answers a search if all parts are answered or given up.
    pub(crate) fn finish_if_complete(
        &mut self,
        now: Time,
        key: SearchKey,
        effects: &mut Vec<Effect>,
    ) {
        if self.searches.get(key).is_some_and(|q| q.unfinished == 0) {
            self.finish_search(now, key, effects);
        }
    }

    /// Answers a search with the hits received so far.
    pub(crate) fn finish_search(&mut self, now: Time, key: SearchKey, effects: &mut Vec<Effect>) {
        let Some(search) = self.end_search(now, key, effects) else {
            return;
        };
        let results = SearchResults {
            request: search.request,
            snapshot: search.snapshot.id,
            coverage: search.coverage(),
            hits: search.hits.into_best(),
        };
        effects.push(Effect::Answer(search.call, Answer::Results(results)));
    }

    /// Ends a search whose caller closed its connection, without an answer.
    pub(crate) fn drop_search_caller(
        &mut self,
        now: Time,
        call: CallId,
        effects: &mut Vec<Effect>,
    ) {
        let found = self.searches.iter().find(|(_, search)| search.call == call);
        if let Some((key, _)) = found {
            self.end_search(now, key, effects);
        }
    }

    /// Removes a search, cancels its attempts and records its end for admission.
    pub(super) fn end_search(
        &mut self,
        now: Time,
        key: SearchKey,
        effects: &mut Vec<Effect>,
    ) -> Option<SearchState> {
        let mut search = self.searches.remove(key)?;
        self.cancel_attempts(now, search.take_live_attempts(), effects);
        let entry = &search.entry;
        self.admission.record_end(
            now,
            &entry.declaration.name,
            &entry.service.name,
            search.max_slot_wait,
        );
        self.stats.pending_searches = self.stats.pending_searches.saturating_sub(1);
        Some(search)
    }
}
