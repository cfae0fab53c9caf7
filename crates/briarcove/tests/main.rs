//! Tests that run the program as processes against a stand-in for the platform.

#![expect(clippy::unwrap_used, reason = "a step that fails has to fail its test")]

mod apply;
mod audit;
mod bench;
mod check;
mod command;
mod drill;
mod edge;
mod evacuations;
mod floods;
mod limits;
mod malformed;
mod odd_answers;
mod odd_entries;
mod odd_health;
mod odd_objects;
mod organisations;
mod peers;
mod processes;
mod proxy;
mod race;
mod soak;
mod status;
mod stop;
mod store_client;
