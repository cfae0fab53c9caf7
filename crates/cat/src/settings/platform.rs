//! Settings towards the platform.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    ops::RangeInclusive,
    time::Duration,
};

use base::Span;

use crate::read::Cursor;

/// Time that the platform has to answer a call that does not wait.
pub const TIMEOUT: RangeInclusive<Span> = Span::from_millis(10)..=Span::from_secs(60);
/// Time that a watch waits for a change.
pub const WATCH_WAIT: RangeInclusive<Span> = Span::from_secs(1)..=Span::from_secs(600);
/// Instances of a data centre that watch the platform.
pub const WATCHERS: RangeInclusive<u32> = 1..=100;

const DEFAULT_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7500));

/// Settings towards the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Address of the object API.
    pub address: SocketAddr,
    /// Time for the answer to a call that does not wait.
    pub timeout: Duration,
    /// Time that a watch waits for a change.
    pub watch_wait: Duration,
    /// Instances of this data centre that watch; the others learn from them.
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
    let timeout = fields.read_or("timeout", default.timeout.into(), |v| v.scalar_in(&TIMEOUT));
    let watch_wait = fields.read_or("watch_wait", default.watch_wait.into(), |v| {
        v.scalar_in(&WATCH_WAIT)
    });
    let watchers = fields.read_or("watchers", default.watchers, |v| v.number_in(&WATCHERS));
    Some(Platform {
        address: address?,
        timeout: timeout?.into(),
        watch_wait: watch_wait?.into(),
        watchers: watchers?,
    })
}
