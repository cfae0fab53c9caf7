//! Lines of the log, bounded in number.

use std::{cell::Cell, time::Duration};

use base::Time;
use slog::{Logger, info, warn};
use tier::{Note, effect::CallSummary};

/// One of this many sound requests is written.
const SOUND_SAMPLE: u64 = 64;

/// Lines about requests that are written in a second; more are counted.
const LINES_PER_SECOND: u32 = 60;

/// Attempts that are listed in a line.
const MAX_TRAIL: usize = 6;

/// Writes what the reducer notes.
pub(super) struct Lines {
    log: Logger,
    sound: Cell<u64>,
    second: Cell<Time>,
    written: Cell<u32>,
    dropped: Cell<u64>,
}

impl Lines {
    pub(super) fn new(log: Logger) -> Self {
        Self {
            log,
            sound: Cell::new(0),
            second: Cell::new(Time::ZERO),
            written: Cell::new(0),
            dropped: Cell::new(0),
        }
    }

    /// Writes a note.
    pub(super) fn note(&self, now: Time, note: &Note) {
        match note {
            Note::CallEnded(ended) => self.ended(now, ended),
            Note::ConfigInForce { version, routes } => {
                info!(self.log, "configuration in force"; "version" => version,
                    "routes" => routes);
            }
            Note::UpstreamSeen(name, service, address) => {
                info!(self.log, "upstream seen"; "upstream" => %name, "service" => %service,
                    "address" => %address);
            }
            Note::UpstreamsListed { seen, known } => {
                info!(self.log, "upstreams listed"; "new" => seen, "known" => known);
            }
            Note::UpstreamDraining(name, service) => {
                info!(self.log, "upstream draining"; "upstream" => %name, "service" => %service);
            }
            Note::UpstreamGone(name, service) => {
                info!(self.log, "upstream gone"; "upstream" => %name, "service" => %service);
            }
            Note::RemovalHeld(name) => {
                info!(self.log, "removal held until the store has settled"; "upstream" => %name);
            }
            Note::UpstreamEjected(name, service, failure, rest) => {
                info!(self.log, "upstream passed over"; "upstream" => %name,
                    "service" => %service, "failure" => failure.name(),
                    "for_ms" => rest.as_millis() as u64);
            }
            Note::Quarantined(digest) => {
                warn!(self.log, "request breaks upstreams; refused from now on";
                    "digest" => format!("{digest:016x}"));
            }
            Note::InstanceEjected(name) => {
                info!(self.log, "instance handed no searches for a while"; "instance" => %name);
            }
            Note::CutOff => warn!(self.log, "no upstream replies; not ready until one does"),
            Note::Rejoined => info!(self.log, "upstreams reply again"),
            Note::PlatformLost => warn!(self.log, "store lost; entries are kept"),
            Note::PlatformBack => info!(self.log, "store back; removals are held for a while"),
        }
    }

    /// Says how many lines were dropped.
    pub(super) fn flush(&self, now: Time) {
        let dropped = self.dropped.replace(0);
        if dropped > 0 {
            warn!(self.log, "lines about requests were dropped"; "count" => dropped,
                "at" => %now);
        }
    }

    fn ended(&self, now: Time, ended: &CallSummary) {
        let is_whole = matches!(
            ended.outcome,
            "answered" | "handed_over" | "branch_answered"
        );
        let is_sound = is_whole && !ended.late;
        if is_sound {
            self.sound.set(self.sound.get() + 1);
            if self.sound.get() % SOUND_SAMPLE != 1 {
                return;
            }
        }
        if !self.has_room(now) {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        info!(self.log, "request ended"; "request" => &*ended.id, "route" => &*ended.route,
            "config" => ended.version, "outcome" => ended.outcome,
            "took_ms" => ended.took.as_millis() as u64,
            "allowed_ms" => ended.allowed.as_millis() as u64,
            "answered" => ended.answered, "asked" => ended.asked, "skipped" => ended.skipped,
            "extra" => ended.extra, "late" => ended.late,
            "beside" => ended.branch_instance.as_ref().map_or("", |name| name.as_str()),
            "via" => ended.via.as_ref().map_or("", |name| name.as_str()), "trail" => trail(ended));
    }

    /// Counts a line against the bound of this second.
    fn has_room(&self, now: Time) -> bool {
        if now.since(self.second.get()) >= Duration::from_secs(1) {
            self.second.set(now);
            self.written.set(0);
        }
        self.written.set(self.written.get() + 1);
        self.written.get() <= LINES_PER_SECOND
    }
}

/// Returns the attempts that did not bring their part in, as text.
fn trail(ended: &CallSummary) -> String {
    let shown = ended.failed_attempts.iter().take(MAX_TRAIL).map(|attempt| {
        let failure = attempt.failure.map_or("waiting", tier::Failure::name);
        let (up, service) = (&attempt.upstream, &attempt.service);
        format!("{service}/{up} {failure} {}ms", attempt.waited.as_millis())
    });
    shown.collect::<Vec<_>>().join("; ")
}
