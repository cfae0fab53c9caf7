//! Catalogue and settings: their model, and a reader of JSON with comments that reports findings.
//!
//! A document is read in one pass that reports every finding with its position. A document with a
//! finding of severity *error* is rejected.

pub mod catalogue;
pub mod change;
pub mod diff;
mod document;
pub mod findings;
pub mod index;
pub mod model;
mod read;
pub mod settings;

pub use change::{Action, Change, Head, Item};
pub use diff::diff;
pub use findings::{Finding, Findings, Position, Severity};
pub use index::{Index, Shard, Snapshot};
pub use model::{Catalogue, Class, Entry, Limits, Service, Upstream};
pub use settings::Settings;
