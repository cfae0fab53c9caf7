//! Entry point of the test-only `briarcove-rig` binary.

mod cli;

use std::process::ExitCode;

use gumdrop::Options;

fn main() -> ExitCode {
    match cli::Args::parse_args_default_or_exit().run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("briarcove-rig: {e}");
            ExitCode::FAILURE
        }
    }
}
