//! Merges the records of several parts.

use bytes::{Bytes, BytesMut};

/// Size of one record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `top` greatest records of all bodies in descending order, duplicates included.
///
/// A remainder of a body that is shorter than a record is ignored.
pub fn greatest<'a>(bodies: impl Iterator<Item = &'a Bytes>, top: usize) -> Bytes {
    let mut records: Vec<u128> = Vec::new();
    for body in bodies {
        let (whole, _) = body.as_chunks::<RECORD_BYTES>();
        records.extend(whole.iter().map(|record| u128::from_be_bytes(*record)));
    }
    if top < records.len() {
        if top > 0 {
            records.select_nth_unstable_by(top - 1, |a, b| b.cmp(a));
        }
        records.truncate(top);
    }
    records.sort_unstable_by(|a, b| b.cmp(a));
    let mut merged = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    for record in &records {
        merged.extend_from_slice(&record.to_be_bytes());
    }
    merged.freeze()
}
