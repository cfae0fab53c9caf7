//! HTTP endpoints for callers and operators.
//!
//! [`Front`] accepts connections, turns each valid request of a caller into one
//! [`Event::Call`](node::Event::Call) and writes the [`Answer`](node::Answer) that it is given.
//! Requests that are wrong in form are answered here and never reach the reducer.

mod answer;
mod call;
mod conn;
mod error;
mod front;
mod io;
mod json;
mod metrics;
mod ops;
pub mod settings;
pub mod status;

pub use front::Front;
pub use metrics::Metrics;
pub use settings::Settings;
pub use status::Status;
