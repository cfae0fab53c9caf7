//! Settings of the graceful shutdown.

use std::{ops::RangeInclusive, time::Duration};

use base::Span;

use crate::read::Cursor;

/// Allowed time to wait for requests in flight.
pub const GRACE_RANGE: RangeInclusive<Span> = Span::from_secs(1)..=Span::from_secs(600);

/// Settings of the graceful shutdown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// Maximum time to wait for requests in flight.
    pub grace: Duration,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(10),
        }
    }
}

/// Reads the section.
pub(super) fn read(section: Cursor<'_>) -> Option<Shutdown> {
    let fields = section.fields(&["grace"])?;
    let default = Shutdown::default();
    let grace = fields.read_or("grace", default.grace.into(), |v| v.scalar_in(&GRACE_RANGE));
    Some(Shutdown {
        grace: grace?.into(),
    })
}
