//! Settings for callers and operators.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    ops::RangeInclusive,
};

use base::ByteSize;

use crate::read::Cursor;

/// Allowed maximum size of a request body.
pub const MAX_BODY_RANGE: RangeInclusive<ByteSize> = ByteSize(1 << 10)..=ByteSize(64 << 20);
/// Allowed maximum number of open connections.
pub const CONNECTIONS_RANGE: RangeInclusive<u32> = 1..=1_000_000;

const DEFAULT_LISTEN: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 8080));

/// Settings for callers and operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Callers {
    /// Address to accept HTTP/1.1 connections on.
    pub listen: SocketAddr,
    /// Maximum size of a request body, even if an entry allows more.
    pub max_body: ByteSize,
    /// Maximum number of open connections.
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
    let max_body = fields.read_or("max_body", default.max_body, |v| {
        v.scalar_in(&MAX_BODY_RANGE)
    });
    let max_connections = fields.read_or("max_connections", default.max_connections, |v| {
        v.number_in(&CONNECTIONS_RANGE)
    });
    Some(Callers {
        listen: listen?,
        max_body: max_body?,
        max_connections: max_connections?,
    })
}
