//! Rendezvous hashing: instances with the same view choose the same members for a key.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

/// Hashes a name to a key for [`score`].
pub(super) fn key(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Scores a member for a key; the member with the greatest score is chosen.
///
/// The finaliser of `SplitMix64` mixes the two hashes, which is cheaper than hashing both names
/// again.
pub(super) fn score(member: u64, key: u64) -> u64 {
    let mut z = member ^ key.rotate_left(32);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Returns the `count` members with the greatest scores for a key, best first.
pub(super) fn best<T>(
    members: impl Iterator<Item = (u64, T)>,
    key: u64,
    count: usize,
) -> impl Iterator<Item = T> {
    let mut scored: Vec<_> = members.map(|(m, value)| (score(m, key), value)).collect();
    scored.sort_by_key(|(score, _)| Reverse(*score));
    scored.into_iter().take(count).map(|(_, value)| value)
}
