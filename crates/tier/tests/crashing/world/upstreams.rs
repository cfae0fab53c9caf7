//! Upstreams of a run: they run requests, end, and come back.

use rand::Rng;
use tier::{Event, Failure};

use super::{
    CONNECT_TIMEOUT, Content, Crash, DELAY, ENTRY_DELAY, ENTRY_LAPSE, FIRST_HARMLESS, LENGTH,
    SERVICE_TIME, STARVED_LOSS, Sent, Step, World,
};

impl World<'_> {
    pub(super) fn arrive(&mut self, sent: Sent, upstream: usize, digest: u64) {
        let is_lost = self.rng.random_bool(0.5);
        let it = &mut self.upstreams[upstream];
        let is_up = it.down_until.is_none();
        let is_starved = self.starved_until > self.now && self.rng.random_bool(STARVED_LOSS);
        if is_starved {
            // The request is lost, and its sender gives it up.
        } else if it.is_cut || it.is_silent && !is_up {
            // A request on an open connection is lost; a new connection times out.
            if !is_lost {
                let timed_out = Step::Outcome(sent, Some(Failure::Unreachable));
                self.schedule(CONNECT_TIMEOUT, timed_out);
            }
        } else if is_up && it.stale_until > self.now && is_lost {
            self.schedule(DELAY, Step::Outcome(sent, Some(Failure::Unsent)));
        } else if !is_up {
            self.schedule(DELAY, Step::Outcome(sent, Some(Failure::Unreachable)));
        } else {
            it.running.push(sent);
            let started = it.entry.started_ms;
            self.schedule(SERVICE_TIME, Step::Done(upstream, started, sent, digest));
        }
    }

    pub(super) fn done(&mut self, upstream: usize, started: u64, sent: Sent, digest: u64) {
        let it = &mut self.upstreams[upstream];
        if it.entry.started_ms != started || it.down_until.is_some() {
            return;
        }
        if digest < FIRST_HARMLESS {
            self.crashes.push((self.now, digest));
            return self.end(upstream, self.scenario.crash);
        }
        // A reply that a cut holds back is lost with its connection.
        if it.is_cut || !it.running.contains(&sent) {
            return;
        }
        it.running.retain(|other| *other != sent);
        self.schedule(DELAY, Step::Outcome(sent, None));
    }

    /// Breaks all connections to an upstream.
    pub(super) fn break_connections(&mut self, upstream: usize) {
        if self.upstreams[upstream].is_cut {
            return;
        }
        for sent in std::mem::take(&mut self.upstreams[upstream].running) {
            self.schedule(DELAY, Step::Outcome(sent, Some(Failure::Broken)));
        }
    }

    pub(super) fn end(&mut self, upstream: usize, crash: Crash) {
        if self.upstreams[upstream].down_until.is_some() {
            return;
        }
        let gone = LENGTH * 2;
        self.upstreams[upstream].down_until = Some(self.now + crash.down.unwrap_or(gone));
        self.upstreams[upstream].is_silent = crash.is_silent;
        match crash.is_silent {
            true => self.upstreams[upstream].running.clear(),
            false => self.break_connections(upstream),
        }
        let entry = &self.upstreams[upstream].entry;
        let lapse = Step::Lapse(entry.name.to_string(), entry.started_ms);
        self.schedule(ENTRY_LAPSE, lapse);
        if let Some(down) = crash.down {
            self.schedule(down, Step::Back(upstream, crash.has_new_name));
        }
    }

    pub(super) fn back(&mut self, upstream: usize, has_new_name: bool) {
        let now = self.now;
        let it = &mut self.upstreams[upstream];
        it.down_until = None;
        it.entry.started_ms = 1 + now.micros() / 1_000;
        it.entry.seq = 1;
        if has_new_name {
            it.entry.name = format!("up-{upstream}-{}", it.entry.started_ms)
                .parse()
                .unwrap();
        }
        let entry = it.entry.clone();
        self.schedule(ENTRY_DELAY, Step::Entry(entry));
    }

    pub(super) fn lapse(&mut self, name: &str, started: u64) {
        let mut all = self.upstreams.iter();
        let is_back =
            all.any(|it| it.entry.name.as_str() == name && it.entry.started_ms != started);
        if !is_back {
            let name: base::UpstreamName = name.parse().unwrap();
            self.publish(|| Event::EntryRemoved(name.clone()));
        }
    }

    /// Delivers a change of an entry to all instances once the store is there.
    pub(super) fn publish(&mut self, event: impl Fn() -> Event<Content>) {
        if self.is_store_away() {
            return;
        }
        for instance in 0..self.tiers.len() {
            self.deliver(instance, event());
        }
    }
}
