//! Separation: detects data centres that this instance no longer reaches.
//!
//! Load pattern: a data centre is cut off from the others for seconds, while callers still reach its
//! instances. Each failure looks like that of one upstream or one instance, so searches fail one
//! after the other until all of them are ejected: seconds for instances that are seldom handed
//! searches. But one failure is enough to ask: a few upstreams of each data centre from which there
//! is no sign of life are checked at once, and some instances pinged. If none replies and nothing else comes
//! from it meanwhile, all of its upstreams and instances are out of use together, until one replies.
//! An instance that is separated from so many that no search can be served reports at once that it
//! is not ready, as do its neighbours, which see the same.
//!
//! An instance that is seldom handed searches would notice late, and the balancer uses a data centre
//! as long as any of its instances is ready. So the first one that is not ready for this reason
//! tells its neighbours, which check for themselves.
//!
//! Upstreams that crash together, a paused upstream or a slow instance are not taken for a
//! separation: any reply or message from the data centre during the checks disproves it.

use std::time::Duration;

use base::{DataCentre, Time};

use crate::upstream::UpstreamKey;

/// Number of upstreams of a data centre that are checked.
pub const CHECKED_UPSTREAMS: usize = 3;

/// Number of its instances that are pinged.
pub const PINGED_INSTANCES: usize = 2;

/// Minimum number of checked upstreams that prove a separation.
const MIN_CHECKED_UPSTREAMS: usize = 2;

/// Time within which one of the checked upstreams has to reply. Health checks take milliseconds, and
/// some more if they wait for a slot.
pub const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Time without a sign of life for which a data centre is checked beside one that is suspected.
pub const MIN_SILENCE: Duration = Duration::from_millis(50);

/// Minimum time between two rounds of checks while a data centre is in reach, as failures of single
/// upstreams cause them too.
const MIN_ROUND_GAP: Duration = Duration::from_millis(500);

/// Interval of checks while a data centre is separated.
pub const RETURN_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Separations of all other data centres.
#[derive(Debug, Default)]
pub struct Separations(Vec<Separation>);

/// What is known about one data centre.
#[derive(Debug)]
struct Separation {
    data_centre: DataCentre,
    /// Time of the last reply or message from it.
    last_sign: Time,
    round: Option<Round>,
    round_ended: Time,
    is_separated: bool,
    /// Why it was checked last.
    cause: Option<Cause>,
}

/// Checks of upstreams that are pending.
#[derive(Debug)]
struct Round {
    started: Time,
    pending: Vec<UpstreamKey>,
    cause: Cause,
}

/// Why a data centre is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Something there has failed this instance.
    Failure,
    /// A neighbour does not reach it.
    Report,
}

impl Separations {
    /// Records a sign of life from a data centre; returns whether it ends a separation.
    pub fn record_sign(&mut self, now: Time, data_centre: &DataCentre) -> bool {
        let known = self.get_or_insert(data_centre);
        known.last_sign = now;
        known.round = None;
        std::mem::take(&mut known.is_separated)
    }

    /// Returns whether upstreams of a data centre should be checked, as it has shown no sign of life
    /// since a time.
    pub fn is_check_due(
        &mut self,
        now: Time,
        data_centre: &DataCentre,
        silent_since: Time,
    ) -> bool {
        let known = self.get_or_insert(data_centre);
        !known.is_separated
            && known.round.is_none()
            && known.last_sign < silent_since
            && (known.round_ended == Time::ZERO || now.since(known.round_ended) >= MIN_ROUND_GAP)
    }

    /// Starts checks of upstreams of a data centre.
    pub fn start_round(
        &mut self,
        now: Time,
        data_centre: &DataCentre,
        checked: Vec<UpstreamKey>,
        cause: Cause,
    ) {
        let known = self.get_or_insert(data_centre);
        known.round_ended = now;
        if checked.len() >= MIN_CHECKED_UPSTREAMS {
            known.round = Some(Round {
                started: now,
                pending: checked,
                cause,
            });
        }
    }

    /// Records that a checked upstream does not reply; returns whether a separation begins.
    pub fn check_failed(&mut self, now: Time, data_centre: &DataCentre, key: UpstreamKey) -> bool {
        let known = self.get_or_insert(data_centre);
        let Some(round) = &mut known.round else {
            return false;
        };
        round.pending.retain(|pending| *pending != key);
        if !round.pending.is_empty() {
            return false;
        }
        known.end_round(now, true);
        known.is_separated
    }

    /// Ends the rounds whose time is over. If the checks `prove` anything, their data centres are
    /// separated; returns these.
    pub fn expire(&mut self, now: Time, prove: bool) -> Vec<DataCentre> {
        let is_over = |it: &&mut Separation| {
            let round = it.round.as_ref();
            round.is_some_and(|round| now.since(round.started) >= CHECK_PERIOD)
        };
        let mut begun = Vec::new();
        for known in self.0.iter_mut().filter(is_over) {
            known.end_round(now, prove);
            if known.is_separated {
                begun.push(known.data_centre.clone());
            }
        }
        begun
    }

    /// Returns the data centres that are separated.
    pub fn separated(&self) -> impl Iterator<Item = &DataCentre> {
        let separated = self.0.iter().filter(|it| it.is_separated);
        separated.map(|it| &it.data_centre)
    }

    /// Returns whether a data centre is separated.
    pub fn has(&self, data_centre: &DataCentre) -> bool {
        self.separated().any(|it| it == data_centre)
    }

    /// Returns whether any data centre is separated.
    pub fn any(&self) -> bool {
        self.separated().next().is_some()
    }

    /// Returns whether this instance noticed a separation by itself.
    pub fn is_own(&self, data_centre: &DataCentre) -> bool {
        let known = self.0.iter().find(|it| it.data_centre == *data_centre);
        known.is_some_and(|it| it.cause == Some(Cause::Failure))
    }

    fn get_or_insert(&mut self, data_centre: &DataCentre) -> &mut Separation {
        let at = self.0.iter().position(|it| it.data_centre == *data_centre);
        let at = at.unwrap_or_else(|| {
            self.0.push(Separation {
                data_centre: data_centre.clone(),
                last_sign: Time::ZERO,
                round: None,
                round_ended: Time::ZERO,
                is_separated: false,
                cause: None,
            });
            self.0.len() - 1
        });
        &mut self.0[at]
    }
}

impl Separation {
    fn end_round(&mut self, now: Time, proves: bool) {
        self.cause = self.round.take().map(|round| round.cause);
        self.round_ended = now;
        self.is_separated = proves;
    }
}
