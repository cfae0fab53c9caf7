//! What `Display` writes is parsed back to the same value, and parsing never panics.

use std::time::Duration;

use base::{ByteSize, EntryName, Percent, Rate, RequestId, SnapshotId, Span};
use quickcheck::quickcheck;

quickcheck! {
    fn sizes_round_trip(n: u32) -> bool {
        let n = u64::from(n);
        ByteSize(n).to_string().parse() == Ok(ByteSize(n))
            && Rate(n).to_string().parse() == Ok(Rate(n))
            && Percent(n).to_string().parse() == Ok(Percent(n))
    }

    fn spans_round_trip(n: u64) -> bool {
        [Duration::from_micros(n), Duration::from_millis(n), Duration::from_secs(n)]
            .into_iter()
            .all(|duration| Span(duration).to_string().parse() == Ok(Span(duration)))
    }

    fn spans_never_panic(text: String) -> bool {
        let parsed: Result<Span, _> = text.parse();
        parsed.is_err() || parsed.is_ok_and(|span| span.to_string().parse() == Ok(span))
    }

    fn ids_round_trip(n: u64, m: u128) -> bool {
        SnapshotId(n).to_string().parse() == Ok(SnapshotId(n))
            && RequestId(m).to_string().parse() == Ok(RequestId(m))
    }

    fn names_never_panic(text: String) -> bool {
        let parsed: Result<EntryName, _> = text.parse();
        parsed.is_err() || parsed.is_ok_and(|name| name.as_str() == text)
    }
}
