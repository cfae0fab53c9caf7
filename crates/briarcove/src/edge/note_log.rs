//! Log lines for the reducer's notes, with sampling and a rate limit for those about requests.

use std::{cell::Cell, time::Duration};

use base::{Time, UpstreamName};
use platform::reply::InvalidAnnouncement;
use slog::{Logger, info, warn};
use tier::{Note, admit::Overload, effect::CallSummary};

/// One in this many successful requests is logged.
const SUCCESS_SAMPLE: u64 = 64;

/// Maximum number of lines about requests in a second; further ones are dropped and counted.
const MAX_LINES_PER_SECOND: u32 = 60;

/// Maximum number of failed attempts that one line lists.
const MAX_LISTED_ATTEMPTS: usize = 6;

/// Writes the reducer's notes to the log.
pub(super) struct NoteLog {
    log: Logger,
    successes: Cell<u64>,
    window_start: Cell<Time>,
    written: Cell<u32>,
    dropped: Cell<u64>,
}

impl NoteLog {
    pub(super) fn new(log: Logger) -> Self {
        Self {
            log,
            successes: Cell::new(0),
            window_start: Cell::new(Time::ZERO),
            written: Cell::new(0),
            dropped: Cell::new(0),
        }
    }

    /// Reports an announcement of an upstream that is ignored.
    pub(super) fn write_invalid_announcement(
        &self,
        now: Time,
        upstream: &UpstreamName,
        invalid: &InvalidAnnouncement,
    ) {
        if self.is_within_rate(now) {
            warn!(self.log, "ignoring an invalid announcement of an upstream";
                "upstream" => %upstream, "header" => %invalid.name, "value" => &*invalid.value);
        } else {
            self.dropped.set(self.dropped.get() + 1);
        }
    }

    /// Writes a note to the log.
    pub(super) fn write(&self, now: Time, note: &Note) {
        match note {
            Note::CallEnded(ended) => self.write_call_summary(now, ended),
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
            Note::UpstreamLeaving(name) => {
                info!(self.log, "upstream has announced that it leaves"; "upstream" => %name);
            }
            Note::UpstreamPaused(name, pause) => {
                if self.is_within_rate(now) {
                    info!(self.log, "upstream has asked for a pause"; "upstream" => %name,
                        "for_ms" => pause.as_millis() as u64);
                } else {
                    self.dropped.set(self.dropped.get() + 1);
                }
            }
            Note::Declined(why) => {
                if self.is_within_rate(now) {
                    info!(self.log, "request of another instance declined"; "reason" => why.name());
                } else {
                    self.dropped.set(self.dropped.get() + 1);
                }
            }
            Note::UpstreamLimited(name, rate) => {
                if self.is_within_rate(now) {
                    info!(self.log, "upstream names a limit on requests from all instances";
                        "upstream" => %name, "per_s" => rate.per_second());
                } else {
                    self.dropped.set(self.dropped.get() + 1);
                }
            }
            Note::LimitedUpstreamLoad(name, load, time) => {
                if self.is_within_rate(now) {
                    info!(self.log, "requests sent to an upstream that names a limit";
                        "upstream" => %name, "first" => load.first, "extra" => load.extra,
                        "for_others" => load.for_others, "within_ms" => time.as_millis() as u64);
                } else {
                    self.dropped.set(self.dropped.get() + 1);
                }
            }
            Note::LimitEnded(name) => {
                if self.is_within_rate(now) {
                    info!(self.log, "upstream names no limit any more"; "upstream" => %name);
                } else {
                    self.dropped.set(self.dropped.get() + 1);
                }
            }
            Note::UpstreamCold(name, source, left, pace) => {
                if self.is_within_rate(now) {
                    info!(self.log, "upstream is cold; it gets few requests";
                        "upstream" => %name, "known_by" => source.name(),
                        "left_ms" => left.map(|left| left.as_millis() as u64),
                        "per_s" => pace.per_second());
                } else {
                    self.dropped.set(self.dropped.get() + 1);
                }
            }
            Note::UpstreamWarm(name, summary) => {
                if self.is_within_rate(now) {
                    info!(self.log, "upstream is no longer cold"; "upstream" => %name,
                        "known_by" => summary.source.name(), "sent" => summary.sent,
                        "within_ms" => summary.lasted.as_millis() as u64,
                        "per_s" => summary.pace.per_second());
                } else {
                    self.dropped.set(self.dropped.get() + 1);
                }
            }
            Note::UpstreamGone(name, service) => {
                info!(self.log, "upstream gone"; "upstream" => %name, "service" => %service);
            }
            Note::RemovalHeld(name) => {
                info!(self.log, "removal delayed until the store has settled";
                    "upstream" => %name);
            }
            Note::UpstreamEjected(name, service, failure, duration) => {
                info!(self.log, "upstream ejected"; "upstream" => %name,
                    "service" => %service, "failure" => failure.name(),
                    "for_ms" => duration.as_millis() as u64);
            }
            Note::Quarantined(digest) => {
                warn!(self.log, "request quarantined, as it crashes upstreams";
                    "digest" => format!("{digest:016x}"));
            }
            Note::CrashSuspected | Note::CrashUnconfirmed(_) => {}
            Note::UpstreamCrashed {
                upstream,
                digest,
                crashes,
            } => {
                if self.is_within_rate(now) {
                    warn!(self.log, "upstream crashed while it ran a request";
                        "upstream" => %upstream, "digest" => format!("{digest:016x}"),
                        "crashes" => crashes);
                } else {
                    self.dropped.set(self.dropped.get() + 1);
                }
            }
            Note::QuarantineLearned(digest) => {
                info!(self.log, "quarantine learned from another instance";
                    "digest" => format!("{digest:016x}"));
            }
            Note::QuarantineTried(digest) => {
                info!(self.log, "trying a quarantined request at one upstream, as it arrives often";
                    "digest" => format!("{digest:016x}"));
            }
            Note::QuarantineWithheld(digest) => {
                if self.is_within_rate(now) {
                    warn!(self.log, "request not quarantined: it is common, or too many others are";
                        "digest" => format!("{digest:016x}"));
                } else {
                    self.dropped.set(self.dropped.get() + 1);
                }
            }
            Note::ProbeInconclusive => {
                if self.is_within_rate(now) {
                    info!(
                        self.log,
                        "unanswered probe ignored: this instance lacks CPU time or descriptors"
                    );
                } else {
                    self.dropped.set(self.dropped.get() + 1);
                }
            }
            Note::QuarantineEnded(digest) => {
                info!(self.log, "quarantine ended, as an upstream has replied to the request";
                    "digest" => format!("{digest:016x}"));
            }
            Note::InstanceEjected(name) => {
                info!(self.log, "instance ejected; it is handed no searches"; "instance" => %name);
            }
            Note::OverLimit(refused) => {
                if self.is_within_rate(now) {
                    super::limits::log_refusal(&self.log, refused);
                } else {
                    self.dropped.set(self.dropped.get() + 1);
                }
            }
            Note::LimitsOwned(true, share) => {
                info!(self.log, "lending tokens of the limits of organisations"; "share" => share);
            }
            Note::LimitsOwned(false, _) => {
                info!(
                    self.log,
                    "another instance lends the tokens of the limits now"
                );
            }
            Note::LenderSilent(name) => {
                if self.is_within_rate(now) {
                    warn!(self.log, "no reply to a request for tokens; asking the next instance";
                        "instance" => %name);
                } else {
                    self.dropped.set(self.dropped.get() + 1);
                }
            }
            Note::Separated(data_centre) => warn!(self.log,
                "a data centre is out of reach; none of its upstreams and instances is used";
                "data_centre" => %data_centre),
            Note::SeparationEnded(data_centre) => {
                info!(self.log, "a data centre is in reach again";
                "data_centre" => %data_centre)
            }
            Note::CutOff => warn!(
                self.log,
                "no upstream replies; readiness checks fail until one does"
            ),
            Note::Rejoined => info!(self.log, "upstreams reply again"),
            Note::Evacuated {
                data_centre,
                upstreams,
                left,
            } => {
                warn!(self.log, "data centre evacuated; nothing new is sent to its upstreams";
                    "data_centre" => %data_centre, "upstreams" => upstreams,
                    "upstreams_elsewhere" => left);
            }
            Note::EvacuationEnded {
                data_centre,
                upstreams,
            } => {
                info!(self.log, "data centre no longer evacuated"; "data_centre" => %data_centre,
                    "upstreams" => upstreams);
            }
            Note::PlatformReset { version, upstreams } => {
                warn!(self.log, "store has come back from an older copy; keeping what was known";
                    "config" => version, "upstreams" => upstreams);
            }
            Note::PlatformLost => warn!(self.log, "store unavailable; keeping all entries"),
            Note::PlatformBack => info!(
                self.log,
                "store available again; removals are delayed for a while"
            ),
        }
    }

    /// Logs the number of lines dropped since the last call, if any.
    pub(super) fn report_dropped(&self, now: Time) {
        let dropped = self.dropped.replace(0);
        if dropped > 0 {
            warn!(self.log, "dropped log lines about requests"; "count" => dropped,
                "at" => %now);
        }
    }

    /// Logs a call that has ended, subject to sampling and the rate limit.
    fn write_call_summary(&self, now: Time, ended: &CallSummary) {
        let is_complete = matches!(
            ended.outcome,
            "answered" | "handed_over" | "branch_answered"
        );
        let is_success = is_complete && !ended.late;
        if is_success {
            self.successes.set(self.successes.get() + 1);
            if self.successes.get() % SUCCESS_SAMPLE != 1 {
                return;
            }
        }
        if !self.is_within_rate(now) {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        info!(self.log, "request ended"; "request" => &*ended.id,
            "digest" => format!("{:016x}", ended.digest), "route" => &*ended.route,
            "config" => ended.version,
            "organisation" => ended.organisation.as_ref().map_or("", |name| name.as_str()),
            "outcome" => ended.outcome,
            "took_ms" => ended.took.as_millis() as u64,
            "allowed_ms" => ended.allowed.as_millis() as u64,
            "answered" => ended.answered, "asked" => ended.asked, "skipped" => ended.skipped,
            "extra" => ended.extra, "late" => ended.late,
            "beside" => ended.branch_instance.as_ref().map_or("", |name| name.as_str()),
            "via" => ended.via.as_ref().map_or("", |name| name.as_str()),
            "trail" => format_attempts(ended), "overload" => format_overload(ended.overload));
    }

    /// Counts a line and returns whether it is within the limit of the current second.
    fn is_within_rate(&self, now: Time) -> bool {
        if now.since(self.window_start.get()) >= Duration::from_secs(1) {
            self.window_start.set(now);
            self.written.set(0);
        }
        self.written.set(self.written.get() + 1);
        self.written.get() <= MAX_LINES_PER_SECOND
    }
}

/// Formats why a call was refused for overload.
fn format_overload(overload: Option<Overload>) -> String {
    overload.map_or_else(String::new, |why| {
        let skippable = why
            .skippable
            .map_or("too few".into(), |count| count.to_string());
        format!(
            "{} shards unusable, {skippable} to skip, {:.2} refused",
            why.unusable, why.refused_share
        )
    })
}

/// Formats the attempts that did not contribute to the answer.
fn format_attempts(ended: &CallSummary) -> String {
    let shown = ended
        .failed_attempts
        .iter()
        .take(MAX_LISTED_ATTEMPTS)
        .map(|attempt| {
            let failure = attempt.failure.map_or("waiting", tier::Failure::name);
            let (upstream, service) = (&attempt.upstream, &attempt.service);
            format!(
                "{service}/{upstream} {failure} {}ms",
                attempt.waited.as_millis()
            )
        });
    shown.collect::<Vec<_>>().join("; ")
}
