//! Settings towards callers.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    ops::RangeInclusive,
};

use base::ByteSize;

use crate::read::Cursor;

/// Largest request body that an instance reads.
pub const MAX_BODY: RangeInclusive<ByteSize> = ByteSize(1 << 10)..=ByteSize(64 << 20);
/// Caller connections that an instance holds.
pub const CONNECTIONS: RangeInclusive<u32> = 1..=1_000_000;

const DEFAULT_LISTEN: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 8080));

/// Settings towards callers and operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Callers {
    /// Address that accepts HTTP/1.1.
    pub listen: SocketAddr,
    /// Largest request body, whatever an entry allows.
    pub max_body: ByteSize,
    /// Connections held at once.
    pub max_connections: u32,
}

impl Default for Callers {
    fn default() -> Self {
        Self {
            listen: DEFAULT_LISTEN,
            max_body: ByteSize(1 << 20),
            max_connections: 4_096,
        }
    }
}

/// Reads the section.
pub(super) fn read(section: Cursor<'_>) -> Option<Callers> {
    let fields = section.fields(&["listen", "max_body", "max_connections"])?;
    let default = Callers::default();
    let listen = fields.require("listen").and_then(super::read_listen);
    let max_body = fields.read_or("max_body", default.max_body, |v| v.scalar_in(&MAX_BODY));
    let max_connections = fields.read_or("max_connections", default.max_connections, |v| {
        v.number_in(&CONNECTIONS)
    });
    Some(Callers {
        listen: listen?,
        max_body: max_body?,
        max_connections: max_connections?,
    })
}
