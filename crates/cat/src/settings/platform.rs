//! Settings for the access to the platform.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    ops::RangeInclusive,
    time::Duration,
};

use base::Span;

use crate::read::Cursor;

/// Allowed timeout of a call other than a watch.
pub const TIMEOUT_RANGE: RangeInclusive<Span> = Span::from_millis(10)..=Span::from_secs(60);
/// Allowed time that a watch waits for a change.
pub const WATCH_WAIT_RANGE: RangeInclusive<Span> = Span::from_secs(1)..=Span::from_secs(600);
/// Allowed number of instances of a data centre that watch the platform.
pub const WATCHERS_RANGE: RangeInclusive<u32> = 1..=100;

const DEFAULT_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7500));

/// Settings for the access to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Address of the object API.
    pub address: SocketAddr,
    /// Timeout of a call other than a watch.
    pub timeout: Duration,
    /// Time that a watch waits for a change.
    pub watch_wait: Duration,
    /// Number of instances of this data centre that watch; the others get changes from them.
    pub watchers: u32,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            address: DEFAULT_ADDRESS,
            timeout: Duration::from_secs(2),
            watch_wait: Duration::from_secs(30),
            watchers: 3,
        }
    }
}

/// Reads the section.
pub(super) fn read(section: Cursor<'_>) -> Option<Platform> {
    let fields = section.fields(&["address", "timeout", "watch_wait", "watchers"])?;
    let default = Platform::default();
    let address = fields.require("address").and_then(super::read_remote);
    let timeout = fields.read_or("timeout", default.timeout.into(), |v| {
        v.scalar_in(&TIMEOUT_RANGE)
    });
    let watch_wait = fields.read_or("watch_wait", default.watch_wait.into(), |v| {
        v.scalar_in(&WATCH_WAIT_RANGE)
    });
    let watchers = fields.read_or("watchers", default.watchers, |v| {
        v.number_in(&WATCHERS_RANGE)
    });
    Some(Platform {
        address: address?,
        timeout: timeout?.into(),
        watch_wait: watch_wait?.into(),
        watchers: watchers?,
    })
}
