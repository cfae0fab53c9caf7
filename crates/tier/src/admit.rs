//! Admission control: decides which shards of a search are queried and which searches are refused.
//!
//! Load pattern: replicas of several shards slow down or fail together, and the remaining ones have
//! less capacity than the load needs. Sending every part would make every search late. Shards that
//! are down, expected to be late or overloaded are skipped as far as the minimum coverage allows. A
//! search that would have to skip too many shards is refused before anything is sent, and a share
//! of the other searches is refused while many shards are overloaded. Callers that return after a
//! refusal are refused less often than new ones. A few parts are sent although they are expected to
//! be late, so that the recovery of a shard is detected.

use std::time::Duration;

use rand::Rng;

/// Share of searches that query shards even if their replies are expected to be late.
const TRIAL_SHARE: f64 = 0.06;

/// Refusal rate of returning callers relative to new ones. Admitting all of them would only defer
/// the load, and displace callers that have not waited yet.
const RETURNING_REFUSAL_RATIO: f64 = 0.6;

/// Share of an index's shards up to which skipping overloaded shards costs callers less than
/// refusals. Each skipped shard costs about twice its share of the value of an answer, and a
/// refusal half of the whole value.
const SKIP_PREFERRED_SHARE: f64 = 0.25;

/// State of one shard before a search is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shard {
    /// No upstream is usable.
    Down,
    /// An upstream is usable.
    Up {
        /// Expected time until the reply of the best upstream.
        expected: Duration,
        /// Share of searches that may query the shard.
        admitted_share: f64,
    },
}

/// The decision for one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardDecision {
    /// The shard is queried.
    Send,
    /// The shard is skipped.
    Skip,
}

/// The decision for a whole search.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// The search is sent, with a decision for each shard.
    Admit(Vec<ShardDecision>),
    /// The search is refused: too few shards are expected to reply in time, or too many are
    /// overloaded.
    Overloaded(Overload),
    /// The search is refused: too few shards have a usable upstream.
    Down,
}

/// Why a search is refused for overload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overload {
    /// Number of shards that are down or expected to be late.
    pub unusable: usize,
    /// Number of shards that searches may skip, less those and the ones that are likely to be
    /// missed; `None` if there are more of those.
    pub skippable: Option<usize>,
    /// Share of searches that is refused.
    pub refused_share: f64,
}

/// Requirements of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SearchRequirements {
    /// Minimum number of parts of a successful answer.
    pub min_parts: usize,
    /// Time within which replies are useful.
    pub available: Duration,
    /// Number of parts that are likely to be missed after they were sent.
    pub reserve: usize,
    /// Whether the caller was refused before.
    pub was_refused: bool,
    /// Whether some searches query shards although these are expected to be late.
    pub allows_trials: bool,
    /// Whether overloaded shards are skipped.
    pub allows_skipping: bool,
}

/// Decides whether a search is admitted, and which of its shards are skipped.
pub fn admit(shards: &[Shard], required: SearchRequirements, rng: &mut impl Rng) -> Admission {
    let min_parts = required.min_parts.max(1);
    let down = shards.iter().filter(|shard| **shard == Shard::Down).count();
    if shards.len() < min_parts + down {
        return Admission::Down;
    }
    let is_trial = rng.random::<f64>() < TRIAL_SHARE && required.allows_trials;
    let mut decisions = vec![ShardDecision::Send; shards.len()];
    let mut forced = 0;
    for (at, shard) in shards.iter().enumerate() {
        match shard {
            Shard::Down => forced += 1,
            Shard::Up { expected, .. } if *expected > required.available && !is_trial => {
                forced += 1
            }
            Shard::Up { .. } => continue,
        }
        decisions[at] = ShardDecision::Skip;
    }
    let Some(skippable) = (shards.len() - min_parts).checked_sub(forced) else {
        return Admission::Overloaded(Overload {
            unusable: forced,
            skippable: None,
            refused_share: 1.0,
        });
    };
    let skippable = skippable.saturating_sub(required.reserve);
    let ratio = if required.was_refused {
        RETURNING_REFUSAL_RATIO
    } else {
        1.0
    };
    let refused_share = ratio * refused_share(shards, &decisions, skippable);
    if rng.random::<f64>() < refused_share {
        return Admission::Overloaded(Overload {
            unusable: forced,
            skippable: Some(skippable),
            refused_share,
        });
    }
    if required.allows_skipping {
        skip_overloaded(shards, skippable, &mut decisions, rng);
    }
    Admission::Admit(decisions)
}

/// Returns the share of searches to refuse.
///
/// A refused search relieves all shards; a search that skips a shard relieves only that one but is
/// answered. So shards are skipped when few are overloaded, and searches are refused when many are,
/// or when the minimum coverage does not allow to skip enough.
fn refused_share(shards: &[Shard], decisions: &[ShardDecision], skippable: usize) -> f64 {
    let shed_share = |(shard, decision): (&Shard, &ShardDecision)| match (shard, decision) {
        (Shard::Up { admitted_share, .. }, ShardDecision::Send) if *admitted_share < 1.0 => {
            Some(1.0 - admitted_share)
        }
        _ => None,
    };
    let mut shed_shares: Vec<f64> = shards
        .iter()
        .zip(decisions)
        .filter_map(shed_share)
        .collect();
    shed_shares.sort_by(|a, b| b.total_cmp(a));
    let preferred_skips = (shards.len() as f64 * SKIP_PREFERRED_SHARE) as usize;
    let beyond_preferred = shed_shares.get(preferred_skips).copied().unwrap_or(0.0);
    // For each set of the most overloaded shards, the admitted searches can skip at most
    // `skippable` of them; the excess has to be refused.
    let mut needed = 0.0;
    let mut sum = 0.0;
    for (at, shed_share) in shed_shares.iter().enumerate() {
        sum += shed_share;
        let count = (at + 1) as f64;
        if count > skippable as f64 {
            needed = f64::max(
                needed,
                (sum - skippable as f64) / (count - skippable as f64),
            );
        }
    }
    f64::max(beyond_preferred, needed)
}

/// Skips overloaded shards, each at its shed share and at most `skippable` per search.
///
/// Uses systematic sampling: the shed shares are accumulated from a random start, and each time the
/// sum passes 1, the current shard is skipped. So the number of skipped shards differs by at most
/// one between searches.
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
