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
const TRIAL_SHARE: f64 = 0.06;

/// Ratio at which callers that come back are refused, compared with new ones. Letting all of them in
/// would only put off the load, and make room by refusing callers who have not waited yet.
const RETURN_RATIO: f64 = 0.6;

/// Part of the shards of an index up to which leaving out those that are short costs callers less than
/// refusals: each shard that is left out takes about twice its part of an answer's worth, and a
/// refusal half of it all.
const FEW_SHARE: f64 = 0.25;

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
        share: f64,
    },
}

/// What is decided for one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is asked.
    Send,
    /// It is left out.
    Skip,
}

/// What is decided for a whole search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is sent, with a decision for each shard.
    Admit(Vec<Verdict>),
    /// Its coverage can't be reached in time.
    Overloaded,
    /// Its coverage can't be reached at all.
    Down,
}

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Fewest parts of a success.
    pub least: usize,
    /// Time within which parts are of use.
    pub available: Duration,
    /// Parts that are likely to be lost after they were sent.
    pub reserve: usize,
    /// Whether the caller was refused before.
    pub was_refused: bool,
}

/// Decides about a search.
pub fn admit(shards: &[Shard], demand: Demand, rng: &mut impl Rng) -> Admission {
    let least = demand.least.max(1);
    let down = shards.iter().filter(|shard| **shard == Shard::Down).count();
    if shards.len() < least + down {
        return Admission::Down;
    }
    let is_trial = rng.random::<f64>() < TRIAL_SHARE;
    let mut verdicts = vec![Verdict::Send; shards.len()];
    let mut forced = 0;
    for (at, shard) in shards.iter().enumerate() {
        match shard {
            Shard::Down => forced += 1,
            Shard::Up { expected, .. } if *expected > demand.available && !is_trial => forced += 1,
            Shard::Up { .. } => continue,
        }
        verdicts[at] = Verdict::Skip;
    }
    let Some(room) = (shards.len() - least).checked_sub(forced) else {
        return Admission::Overloaded;
    };
    let room = room.saturating_sub(demand.reserve);
    let ratio = if demand.was_refused {
        RETURN_RATIO
    } else {
        1.0
    };
    if rng.random::<f64>() < ratio * refused_share(shards, &verdicts, room) {
        return Admission::Overloaded;
    }
    skip_short(shards, room, &mut verdicts, rng);
    Admission::Admit(verdicts)
}

/// Returns the share of searches to refuse.
///
/// A refused search spares all shards, and one that leaves out a shard spares only that one but is
/// answered. So shards are left out when few are short, and searches are refused when many are, and
/// as far as the coverage does not allow to leave out enough.
fn refused_share(shards: &[Shard], verdicts: &[Verdict], room: usize) -> f64 {
    let missing = |(shard, verdict): (&Shard, &Verdict)| match (shard, verdict) {
        (Shard::Up { share, .. }, Verdict::Send) if *share < 1.0 => Some(1.0 - share),
        _ => None,
    };
    let mut missing: Vec<f64> = shards.iter().zip(verdicts).filter_map(missing).collect();
    missing.sort_by(|a, b| b.total_cmp(a));
    let few = (shards.len() as f64 * FEW_SHARE) as usize;
    let pays = missing.get(few).copied().unwrap_or(0.0);
    // The sum of what is still to be left out of those that are admitted has to fit the room.
    let mut needed = 0.0;
    let mut sum = 0.0;
    for (at, most) in missing.iter().enumerate() {
        sum += most;
        let count = (at + 1) as f64;
        if count > room as f64 {
            needed = f64::max(needed, (sum - room as f64) / (count - room as f64));
        }
    }
    f64::max(pays, needed)
}

/// Leaves out shards that are short of room, each as often as it needs and at most `room`.
///
/// The number that is left out differs by at most one from search to search: the shares that are
/// missing are laid end to end, and each whole step from a random start takes the shard there.
fn skip_short(shards: &[Shard], room: usize, verdicts: &mut [Verdict], rng: &mut impl Rng) {
    let first = rng.random_range(0..shards.len().max(1));
    let mut sum = rng.random::<f64>();
    let mut skipped = 0;
    for step in 0..shards.len() {
        let at = (first + step) % shards.len();
        let (Shard::Up { share, .. }, Verdict::Send) = (shards[at], verdicts[at]) else {
            continue;
        };
        sum += 1.0 - share;
        if sum >= 1.0 {
            sum -= 1.0;
            if skipped < room {
                verdicts[at] = Verdict::Skip;
                skipped += 1;
            }
        }
    }
}
