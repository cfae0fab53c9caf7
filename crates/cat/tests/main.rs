//! Tests of the catalogue and the settings against documents, samples and generated input.

#![expect(
    clippy::unwrap_used,
    reason = "a test fails by a panic, also in its helpers"
)]

mod catalogue;
mod change;
mod fixtures;
mod index;
mod mutation;
mod samples;
mod settings;
