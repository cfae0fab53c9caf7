//! Entry point of the test-only `briarcove-rig` binary.
fn main() {}
