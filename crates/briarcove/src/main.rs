//! Entry point of the `briarcove` binary.
fn main() {}
