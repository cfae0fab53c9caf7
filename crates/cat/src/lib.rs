//! Catalogue and settings: their model, the reader of JSON with comments, and its findings.
//!
//! A document is read in one pass that reports every finding with its place; a document with
//! findings of severity *error* yields no value.

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
pub use findings::{Finding, Findings, Place, Severity};
pub use index::{Index, Shard, Snapshot};
pub use model::{Catalogue, Class, Entry, Limits, Service, Upstream};
pub use settings::Settings;
