//! Entry point of the `briarcove` binary.

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let words: Vec<String> = env::args().skip(1).collect();
    briarcove::run(&words).into()
}
