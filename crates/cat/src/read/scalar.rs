//! Types that are written as strings in documents.

use std::{fmt, net::SocketAddr, str::FromStr};

use base::{
    ByteSize, DataCentre, EntryName, InstanceName, Percent, Rate, ServiceName, Span, UpstreamName,
};

/// A type that is written as a string with a format of its own.
pub(crate) trait Scalar: FromStr<Err: fmt::Display> + fmt::Display {
    /// Description of the expected string, with an example, for findings.
    const EXPECTED: &'static str;
}

macro_rules! scalar {
    ($($name:ty: $expected:literal),* $(,)?) => {
        $(impl Scalar for $name {
            const EXPECTED: &'static str = $expected;
        })*
    };
}

scalar! {
    ByteSize: "a size such as \"64KiB\"",
    DataCentre: "a data centre name",
    EntryName: "an entry name",
    InstanceName: "an instance name",
    Percent: "a share such as \"5%\"",
    Rate: "a rate such as \"500/s\"",
    ServiceName: "a service name",
    SocketAddr: "an address such as \"10.0.0.1:8080\"",
    Span: "a duration such as \"180ms\"",
    UpstreamName: "an upstream name",
}

/// An enumeration whose values are written as fixed words.
pub(crate) trait Keyword: Copy + 'static {
    /// All values.
    const ALL: &'static [Self];

    /// Returns the word of a value.
    fn as_str(self) -> &'static str;
}
