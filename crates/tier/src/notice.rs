//! What upstreams announce about themselves in their replies.
//!
//! Load pattern: an upstream leaves, or is overloaded and asks for a pause, while the store is
//! away, slow or back from an old copy, so that its entry says nothing or still says that it is
//! ready. Its own word counts from the first reply on, for as long as that incarnation runs:
//! requests go to the other upstreams, and callers are refused at once when there are none.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use base::{Time, UpstreamName};

use crate::{
    limit::{Limit, RequestRate},
    load_report::LoadReport,
};

/// Maximum number of incarnations whose announcements are remembered.
const MAX_REMEMBERED: usize = 4_096;

/// Longest pause that an upstream can ask for. Without a bound, a faulty header would close an
/// upstream until its next start.
pub const MAX_PAUSE: Duration = Duration::from_secs(300);

/// An announcement in a reply.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether the upstream leaves and accepts no new requests.
    pub is_leaving: bool,
    /// Time for which it accepts no requests from this instance.
    pub pause: Option<Duration>,
    /// Requests a second that it takes from all instances together, until a reply names no limit.
    pub limit: Option<RequestRate>,
    /// Its load.
    pub load: Option<LoadReport>,
    /// Time for which it stays cold.
    pub cold_left: Option<Duration>,
}

impl Notice {
    /// Returns the announcement, or `None` if the reply announces nothing.
    pub fn some(self) -> Option<Self> {
        (self != Self::default()).then_some(self)
    }
}

/// What an incarnation has announced so far.
#[derive(Clone, Debug)]
pub(crate) struct Announced {
    pub(crate) started_ms: u64,
    pub(crate) is_leaving: bool,
    /// Time until which it accepts no requests from this instance.
    pub(crate) paused_until: Time,
    /// The limit that it named when its entry was removed.
    pub(crate) limit: Option<Limit>,
}

/// Announcements by the name of the upstream. They outlive its entry, which may be removed and
/// listed again.
#[derive(Debug, Default)]
pub(crate) struct Announcements {
    known: HashMap<UpstreamName, Announced>,
    /// Names in the order in which they were first heard of.
    order: VecDeque<UpstreamName>,
}

impl Announcements {
    /// Records an announcement of an incarnation; returns its state before and after, or `None` if
    /// a newer incarnation is known.
    pub(crate) fn record(
        &mut self,
        name: &UpstreamName,
        started_ms: u64,
        is_leaving: bool,
        paused_until: Option<Time>,
    ) -> Option<(Announced, Announced)> {
        let fresh = Announced {
            started_ms,
            is_leaving: false,
            paused_until: Time::ZERO,
            limit: None,
        };
        let before = match self.known.get(name) {
            Some(known) if known.started_ms > started_ms => return None,
            Some(known) if known.started_ms == started_ms => known.clone(),
            _ => fresh,
        };
        let after = Announced {
            is_leaving: before.is_leaving || is_leaving,
            paused_until: before.paused_until.max(paused_until.unwrap_or(Time::ZERO)),
            ..before.clone()
        };
        if self.known.insert(name.clone(), after.clone()).is_none() {
            self.order.push_back(name.clone());
            if self.order.len() > MAX_REMEMBERED
                && let Some(oldest) = self.order.pop_front()
            {
                self.known.remove(&oldest);
            }
        }
        Some((before, after))
    }

    /// Keeps the limit that an incarnation names, if any, as its entry is removed.
    pub(crate) fn keep_limit(
        &mut self,
        name: &UpstreamName,
        started_ms: u64,
        limit: Option<Limit>,
    ) {
        if limit.is_some() {
            self.record(name, started_ms, false, None);
        }
        let known = self.known.get_mut(name);
        if let Some(known) = known.filter(|known| known.started_ms == started_ms) {
            known.limit = limit;
        }
    }

    /// Returns what an incarnation has announced, or the one that took its place since.
    pub(crate) fn get(&self, name: &UpstreamName, started_ms: u64) -> Option<Announced> {
        let known = self.known.get(name).cloned();
        known.filter(|known| known.started_ms >= started_ms)
    }
}
