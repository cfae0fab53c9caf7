//! The briarcove command line and entry instance.

pub mod args;
pub mod exit;
