//! One file a case.

pub mod bytes;
pub mod crash;
mod crashing;
pub mod hammer;
pub mod twice;
pub mod upload;

/// What was broken, if anything; or why the case could not run.
pub type Outcome = Result<Option<String>, String>;
