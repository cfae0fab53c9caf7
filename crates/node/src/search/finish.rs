//! The end of a search, with its answer or without.

use base::{CallId, Time};

use crate::{
    attempt::{AttemptKey, QueryKey},
    effect::{Answer, Effect, SearchResults},
    node::Node,
    query::Query,
};

impl Node {
    pub(super) fn abandon(
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

    /// Answers a search whose parts are all answered or given up.
    pub(crate) fn finish_if_complete(
        &mut self,
        now: Time,
        key: QueryKey,
        effects: &mut Vec<Effect>,
    ) {
        if self.queries.get(key).is_some_and(|q| q.unfinished == 0) {
            self.finish(now, key, effects);
        }
    }

    /// Answers a search with what it has.
    pub(crate) fn finish(&mut self, now: Time, key: QueryKey, effects: &mut Vec<Effect>) {
        let Some(query) = self.end_query(now, key, effects) else {
            return;
        };
        let found = SearchResults {
            request: query.request,
            snapshot: query.snapshot.id,
            coverage: query.coverage(),
            hits: query.hits.into_best(),
        };
        effects.push(Effect::Answer(query.call, Answer::Results(found)));
    }

    /// Ends a search without an answer: its caller is gone.
    pub(crate) fn drop_call(&mut self, now: Time, call: CallId, effects: &mut Vec<Effect>) {
        let found = self.queries.iter().find(|(_, query)| query.call == call);
        if let Some((key, _)) = found {
            self.end_query(now, key, effects);
        }
    }

    pub(super) fn end_query(
        &mut self,
        now: Time,
        key: QueryKey,
        effects: &mut Vec<Effect>,
    ) -> Option<Query> {
        let mut query = self.queries.remove(key)?;
        self.abandon(now, query.take_live(), effects);
        let entry = &query.entry;
        self.admission
            .ended(now, &entry.entry.name, &entry.service.name, query.waited);
        self.stats.pending_searches = self.stats.pending_searches.saturating_sub(1);
        Some(query)
    }
}
