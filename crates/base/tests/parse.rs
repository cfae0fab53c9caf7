//! Display and FromStr agree for every newtype.

use base::{ByteSize, EntryName, Percent, Rate, RequestId, SnapshotId};
use quickcheck::quickcheck;

quickcheck! {
    fn sizes_round_trip(n: u32) -> bool {
        let n = u64::from(n);
        ByteSize(n).to_string().parse() == Ok(ByteSize(n))
            && Rate(n).to_string().parse() == Ok(Rate(n))
            && Percent(n).to_string().parse() == Ok(Percent(n))
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
