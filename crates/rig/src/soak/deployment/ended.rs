//! Upstreams that end during a run, and their return.

use std::{io, sync::atomic::Ordering, time::Instant};

use super::{COLD_TIME, Deployment};
use crate::soak::crashing::{ENTRY_LAPSE, Return};

/// An upstream that has ended.
#[derive(Clone, Debug)]
pub(super) struct Ended {
    upstream: usize,
    at: Instant,
    /// Name under which it is registered, until its entry lapses.
    name: Option<String>,
    back: Return,
}

impl Deployment {
    /// Has an upstream end if one is due, and brings back those that have been down long enough.
    pub(super) fn end_upstreams(&mut self) {
        let Some(ends) = &mut self.ends else {
            return;
        };
        if let Some(due) = ends.due() {
            let upstream = &self.upstreams[due % self.upstreams.len()];
            upstream.has_crashed().store(true, Ordering::Relaxed);
        }
        for (at, upstream) in self.upstreams.iter().enumerate() {
            let is_known = self.ended.iter().any(|it| it.upstream == at);
            if !is_known && upstream.has_crashed().load(Ordering::Relaxed) {
                self.ended.push(Ended {
                    upstream: at,
                    at: Instant::now(),
                    name: Some(upstream.name()),
                    back: ends.draw(),
                });
            }
        }
        for ended in std::mem::take(&mut self.ended) {
            let down = ended.at.elapsed();
            if ended.back.after.is_some_and(|after| down >= after) {
                self.bring_back(&ended);
                continue;
            }
            let mut ended = ended;
            if down >= ENTRY_LAPSE
                && let Some(name) = ended.name.take()
            {
                self.sites[0].store.remove("servers", &name);
            }
            self.ended.push(ended);
        }
    }

    fn bring_back(&mut self, ended: &Ended) {
        let at = ended.upstream;
        let old = self.upstreams[at].name();
        let name = ended.back.has_new_name.then(|| format!("{old}n"));
        if name.is_some() {
            self.sites[0].store.remove("servers", &old);
        }
        self.upstream_proxies[at].set_silent_end(ended.back.ends_silently_next);
        self.upstreams[at].restart(name);
        if self.returns_cold {
            self.upstreams[at].turn_cold(COLD_TIME);
        }
        self.register(at, "ready");
    }

    /// Ends no further upstreams and brings all of them back.
    pub(in crate::soak) fn stop_ends(&mut self) -> io::Result<()> {
        self.end_upstreams();
        self.ends = None;
        for ended in std::mem::take(&mut self.ended) {
            self.bring_back(&ended);
        }
        Ok(())
    }
}
