//! Tests of the reducer.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod branch;
mod cold;
mod crashing;
mod cut_off;
mod decisions;
mod evacuation;
mod handover;
mod instance;
mod limits;
mod load;
mod load_reports;
mod notices;
mod organisations;
mod overload;
mod quota;
mod separation;
mod simulation;
mod stopping;
mod urgency;
mod watchers;
