//! Which parts are sent, and which requests are turned away at once.
//!
//! Load pattern: replicas of several shards turn slow or are lost together, and what is left of
//! them takes fewer requests than come. Sending everything makes every search late. Shards that are
//! down, hopelessly late or short of room are left out while the coverage allows it; a search for
//! which too many would have to be left out is refused before anything is sent, and so are others as
//! far as many shards are short. Callers that come back after a refusal go before new ones. A few parts are sent although they are expected to be
//! late, so that it is noticed when a shard has recovered.

use std::time::Duration;

use rand::Rng;

/// Share of searches that are sent although parts are expected to be late.
const PROBE_SHARE: f64 = 0.06;

/// Ratio at which callers that come back are refused, compared with new ones. Letting all of them in
/// would only put off the load, and make room by refusing callers who have not waited yet.
const RETRY_REFUSAL_RATIO: f64 = 0.6;

/// Part of the shards of an index up to which leaving out those that are short costs callers less than
/// refusals: each shard that is left out takes about twice its part of an answer's worth, and a
/// refusal half of it all.
const MAX_SKIPPED_SHARE: f64 = 0.25;

/// One shard of a search before anything is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shard {
    /// No upstream can be used.
    Down,
    /// Its best upstream is expected to reply.
    Up {
        /// Time until the reply.
        expected: Duration,
        /// Share of searches that the shard takes.
        admitted_share: f64,
    },
}

/// What is decided for one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardDecision {
    /// It is asked.
    Send,
    /// It is left out.
    Skip,
}

/// What is decided for a whole search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is sent, with a decision for each shard.
    Admit(Vec<ShardDecision>),
    /// Its coverage can't be reached in time.
    Overloaded,
    /// Its coverage can't be reached at all.
    Down,
}

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SearchRequirements {
    /// Fewest parts of a success.
    pub min_parts: usize,
    /// Time within which parts are of use.
    pub available: Duration,
    /// Parts that are likely to be lost after they were sent.
    pub reserve: usize,
    /// Whether the caller was refused before.
    pub was_refused: bool,
}

/// Decides about a search.
pub fn admit(shards: &[Shard], required: SearchRequirements, rng: &mut impl Rng) -> Admission {
    let min_parts = required.min_parts.max(1);
    let down = shards.iter().filter(|shard| **shard == Shard::Down).count();
    if shards.len() < min_parts + down {
        return Admission::Down;
    }
    let is_probe = rng.random::<f64>() < PROBE_SHARE;
    let mut decisions = vec![ShardDecision::Send; shards.len()];
    let mut forced = 0;
    for (at, shard) in shards.iter().enumerate() {
        match shard {
            Shard::Down => forced += 1,
            Shard::Up { expected, .. } if *expected > required.available && !is_probe => {
                forced += 1
            }
            Shard::Up { .. } => continue,
        }
        decisions[at] = ShardDecision::Skip;
    }
    let Some(skippable) = (shards.len() - min_parts).checked_sub(forced) else {
        return Admission::Overloaded;
    };
    let skippable = skippable.saturating_sub(required.reserve);
    let ratio = if required.was_refused {
        RETRY_REFUSAL_RATIO
    } else {
        1.0
    };
    if rng.random::<f64>() < ratio * refused_share(shards, &decisions, skippable) {
        return Admission::Overloaded;
    }
    skip_overloaded(shards, skippable, &mut decisions, rng);
    Admission::Admit(decisions)
}

/// Returns the share of searches to refuse.
///
/// A refused search spares all shards, and one that leaves out a shard spares only that one but is
/// answered. So shards are left out when few are short, and searches are refused when many are, and
/// as far as the coverage does not allow to leave out enough.
fn refused_share(shards: &[Shard], decisions: &[ShardDecision], skippable: usize) -> f64 {
    let shed_shares = |(shard, decision): (&Shard, &ShardDecision)| match (shard, decision) {
        (Shard::Up { admitted_share, .. }, ShardDecision::Send) if *admitted_share < 1.0 => {
            Some(1.0 - admitted_share)
        }
        _ => None,
    };
    let mut shed_shares: Vec<f64> = shards
        .iter()
        .zip(decisions)
        .filter_map(shed_shares)
        .collect();
    shed_shares.sort_by(|a, b| b.total_cmp(a));
    let few = (shards.len() as f64 * MAX_SKIPPED_SHARE) as usize;
    let balance = shed_shares.get(few).copied().unwrap_or(0.0);
    // The sum of what is still to be left out of those that are admitted has to fit the room.
    let mut needed = 0.0;
    let mut sum = 0.0;
    for (at, most) in shed_shares.iter().enumerate() {
        sum += most;
        let count = (at + 1) as f64;
        if count > skippable as f64 {
            needed = f64::max(
                needed,
                (sum - skippable as f64) / (count - skippable as f64),
            );
        }
    }
    f64::max(balance, needed)
}

/// Leaves out shards that are short of room, each as often as it needs and at most `room`.
///
/// The number that is left out differs by at most one from search to search: the shares that are
/// missing are laid end to end, and each whole step from a random start takes the shard there.
fn skip_overloaded(
    shards: &[Shard],
    skippable: usize,
    decisions: &mut [ShardDecision],
    rng: &mut impl Rng,
) {
    let first = rng.random_range(0..shards.len().max(1));
    let mut sum = rng.random::<f64>();
    let mut skipped = 0;
    for step in 0..shards.len() {
        let at = (first + step) % shards.len();
        let (Shard::Up { admitted_share, .. }, ShardDecision::Send) = (shards[at], decisions[at])
        else {
            continue;
        };
        sum += 1.0 - admitted_share;
        if sum >= 1.0 {
            sum -= 1.0;
            if skipped < skippable {
                decisions[at] = ShardDecision::Skip;
                skipped += 1;
            }
        }
    }
}
