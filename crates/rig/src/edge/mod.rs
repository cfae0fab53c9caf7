//! Stand-in for the users' platform: an object store, upstreams that sign their replies, and
//! instances as separate processes.

mod limit;
mod site;
mod store;
mod upstream;

pub use limit::{check_cold, check_limit};
pub use site::{Answer, ConfigOptions, Site, route_gather, route_one};
pub use store::{Availability, Store};
pub use upstream::{Arrival, Behaviour, CRASH_MARK, Upstream};
