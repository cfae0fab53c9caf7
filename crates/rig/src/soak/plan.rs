//! What goes wrong, and when; decided by a seed.

use std::{fmt, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::proxy::Condition;
use crate::edge::{Availability, Behaviour};

/// A fault, or a change that is no fault; numbers are taken modulo what there is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The way to an upstream changes for a time.
    UpstreamWay(usize, Condition),
    /// The way of an instance to the store changes for a time.
    StoreWay(usize, Condition),
    /// The connections to an upstream are reset.
    ResetUpstream(usize),
    /// The connections of an instance to the store are reset.
    ResetStore(usize),
    /// An instance stands still for a time.
    Freeze(usize),
    /// An instance is killed, and started again after a time.
    Kill(usize),
    /// An instance is told to end, and started again after it has.
    Stop(usize),
    /// All instances are killed, and started again after a time.
    KillAll,
    /// Instances are told that their settings have changed, several times.
    Reload,
    /// An upstream treats requests otherwise for a time.
    Behave(usize, Behaviour),
    /// The store treats calls otherwise for a time.
    Store(Availability),
    /// The store forgets its history.
    Compact,
    /// A configuration with one more route is written.
    Configure,
    /// An upstream drains for a time.
    Drain(usize),
    /// An entry of an upstream is missing for a time.
    Lapse(usize),
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts, where that applies.
    pub duration: Duration,
    /// What it is.
    pub fault: Fault,
}

impl fmt::Display for ScheduledFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, lasts) = (self.at.as_secs_f64(), self.duration.as_secs_f64());
        write!(f, "{at:.2} s, for {lasts:.2} s: {:?}", self.fault)
    }
}

/// Makes the faults of a seed, in order of their times.
pub fn plan(seed: u64, length: Duration) -> Vec<ScheduledFault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut at = Duration::from_millis(300);
    while at < length {
        let lasts = Duration::from_millis(rng.random_range(200..3_500));
        planned.push(ScheduledFault {
            at,
            duration: lasts,
            fault: fault(&mut rng),
        });
        // Series and overlaps: a third follow at once.
        let gap = match rng.random_range(0..3) {
            0 => rng.random_range(0..60),
            _ => rng.random_range(200..1_800),
        };
        at += Duration::from_millis(gap);
    }
    planned
}

fn fault(rng: &mut SmallRng) -> Fault {
    let which = rng.random_range(0..64);
    match rng.random_range(0..20) {
        0..=2 => Fault::UpstreamWay(which, condition(rng)),
        3..=4 => Fault::StoreWay(which, condition(rng)),
        5 => Fault::ResetUpstream(which),
        6 => Fault::ResetStore(which),
        7 => Fault::Freeze(which),
        8 => Fault::Kill(which),
        9 => Fault::Stop(which),
        10 if rng.random_range(0..3) == 0 => Fault::KillAll,
        10 => Fault::Stop(which),
        11 => Fault::Reload,
        12..=13 => Fault::Behave(which, behaviour(rng)),
        14 => Fault::Store([Availability::Down, Availability::Silent][rng.random_range(0..2)]),
        15 => Fault::Compact,
        16..=17 => Fault::Configure,
        18 => Fault::Drain(which),
        _ => Fault::Lapse(which),
    }
}

fn condition(rng: &mut SmallRng) -> Condition {
    match rng.random_range(0..4) {
        0 => Condition::Delayed(Duration::from_millis(rng.random_range(5..400))),
        1 => Condition::CutThere,
        2 => Condition::CutBack,
        _ => Condition::Silent,
    }
}

fn behaviour(rng: &mut SmallRng) -> Behaviour {
    match rng.random_range(0..5) {
        0 => Behaviour::Replies(Duration::from_millis(rng.random_range(50..1_500))),
        1 => Behaviour::Sheds,
        2 => Behaviour::Breaks,
        3 => Behaviour::Fails,
        _ => Behaviour::Crosses,
    }
}
