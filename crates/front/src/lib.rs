//! HTTP endpoints for callers and operators.
//!
//! [`Front`] accepts connections, converts each valid request of a caller to an
//! [`Event::Call`](node::Event::Call) and responds with the [`Answer`](node::Answer) to it.
//! Invalid requests are rejected here and never reach the reducer.

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
