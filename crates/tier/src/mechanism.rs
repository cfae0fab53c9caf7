//! Switches of single mechanisms, for incidents and for measuring what each is worth.
//!
//! All mechanisms are on by default. What guards a promise to callers or upstreams has no switch.

use std::{fmt, str::FromStr};

use snafu::Snafu;

/// A mechanism that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Second attempts of parts without a reply.
    Hedges,
    /// The bound on hedges before their usual time.
    EarlyHedgeBound,
    /// Load shedding by shard.
    Shedding,
    /// Searches that query shards although these are expected to be late.
    Trials,
    /// Skipping of overloaded shards.
    Skipping,
    /// Callers that return are refused less often.
    ReturningCallers,
    /// Retry-after times in the order of a queue.
    RetrySchedule,
    /// Parts that are likely to be missed take up a part of the tolerance.
    MissedParts,
    /// Upstreams are chosen by their latency.
    LatencyPlacement,
    /// Upstreams in the local data centre are preferred.
    LocalPlacement,
    /// Upstreams that lose replies are avoided.
    LossPlacement,
    /// Searches are handed over to larger instances.
    Handovers,
    /// Shards are queried by an instance in their data centre.
    Branches,
    /// An instance that reaches too few upstreams is not ready and relays requests.
    Reachability,
    /// Data centres that are out of reach are out of use together.
    Separation,
    /// Upstreams that fail are not used for a while.
    Ejection,
    /// The way to callers is observed rather than assumed.
    ObservedDelays,
    /// Parts of urgent searches are sent first.
    SendOrder,
}

/// All mechanisms and their names in settings.
const NAMES: [(Mechanism, &str); 18] = [
    (Mechanism::Hedges, "hedges"),
    (Mechanism::EarlyHedgeBound, "early-hedge-bound"),
    (Mechanism::Shedding, "shedding"),
    (Mechanism::Trials, "trials"),
    (Mechanism::Skipping, "skipping"),
    (Mechanism::ReturningCallers, "returning-callers"),
    (Mechanism::RetrySchedule, "retry-schedule"),
    (Mechanism::MissedParts, "missed-parts"),
    (Mechanism::LatencyPlacement, "latency-placement"),
    (Mechanism::LocalPlacement, "local-placement"),
    (Mechanism::LossPlacement, "loss-placement"),
    (Mechanism::Handovers, "handovers"),
    (Mechanism::Branches, "branches"),
    (Mechanism::Reachability, "reachability"),
    (Mechanism::Separation, "separation"),
    (Mechanism::Ejection, "ejection"),
    (Mechanism::ObservedDelays, "observed-delays"),
    (Mechanism::SendOrder, "send-order"),
];

/// The mechanisms that are switched off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Disabled(u32);

/// A name that no mechanism has.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("{name:?} is not a mechanism; there are {known}"))]
pub struct UnknownMechanism {
    name: Box<str>,
    known: Box<str>,
}

impl Disabled {
    /// Returns whether a mechanism is on.
    pub fn allows(self, mechanism: Mechanism) -> bool {
        self.0 & (1 << mechanism as u32) == 0
    }

    /// Returns whether all mechanisms are on.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
}

impl FromStr for Disabled {
    type Err = UnknownMechanism;

    /// Parses names that are separated by commas.
    fn from_str(names: &str) -> Result<Self, UnknownMechanism> {
        let mut disabled = Self::default();
        for name in names.split(',').filter(|name| !name.is_empty()) {
            let found = NAMES.iter().find(|(_, known)| *known == name);
            let Some((mechanism, _)) = found else {
                let known: Box<str> = NAMES.map(|(_, name)| name).join(", ").into();
                let name: Box<str> = name.into();
                return UnknownMechanismSnafu { name, known }.fail();
            };
            disabled.0 |= 1 << *mechanism as u32;
        }
        Ok(disabled)
    }
}

impl fmt::Display for Disabled {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let off = NAMES
            .iter()
            .filter(|(mechanism, _)| !self.allows(*mechanism));
        let names: Vec<&str> = off.map(|(_, name)| *name).collect();
        f.write_str(&names.join(","))
    }
}
