//! Tests of the catalogue and the settings with fixtures, samples and generated input.

#![expect(
    clippy::unwrap_used,
    reason = "a test fails by panicking, also in its helper functions"
)]

mod catalogue;
mod change;
mod fixtures;
mod index;
mod mutation;
mod samples;
mod settings;
