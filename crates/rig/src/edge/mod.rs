//! A stand-in of the users' platform: object store, upstreams with signatures, and one instance.

mod site;
mod store;
mod upstream;

pub use site::{Answer, Site, route_gather, route_one};
pub use store::{Availability, Store};
pub use upstream::{Arrival, Behaviour, Upstream};
