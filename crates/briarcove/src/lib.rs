//! The briarcove command line and entry instance: argument parsing, the subcommands, and the shells
//! around the two reducers [`node::Node`] and [`tier::Tier`].

pub mod apply;
pub mod args;
pub mod audit;
pub mod check;
mod conflict;
pub mod edge;
pub mod exit;
pub mod logs;
pub mod serve;
mod signal_handlers;
mod signal_thread;
pub mod status;
mod store;
mod utc;

use std::future::Future;

use gumdrop::Options;

use crate::{
    args::{Args, Command},
    exit::Exit,
};

/// Runs the command given by the arguments `words`, which do not include the program name.
pub fn run(words: &[String]) -> Exit {
    let args = match Args::parse_args_default(words) {
        Ok(args) => args,
        Err(e) => {
            eprintln!("briarcove: {e}; see briarcove --help");
            return Exit::Usage;
        }
    };
    if args.version {
        println!("briarcove {}", env!("CARGO_PKG_VERSION"));
        return Exit::Ok;
    }
    if args.help_requested() {
        print!("{}", args::usage(&args));
        return Exit::Ok;
    }
    match args.command {
        Some(command) => run_command(command),
        None => {
            eprint!("{}", args::usage(&args));
            Exit::Usage
        }
    }
}

fn run_command(command: Command) -> Exit {
    match command {
        Command::Serve(args) => run_serve(&args),
        Command::Edge(args) => edge::run(&args),
        Command::Check(args) => check::run(&args),
        Command::Apply(args) => block_on(apply::run(args)),
        Command::Status(args) => block_on(status::run(args)),
        Command::Audit(args) => block_on(audit::run(args)),
    }
}

fn run_serve(args: &args::Serve) -> Exit {
    let (cfg, warnings) = match check::load_settings(&args.settings) {
        Ok(loaded) => loaded,
        Err(e) => return e.report(),
    };
    let logs = logs::start(&cfg.log);
    let log = logs.logger();
    for warning in warnings.iter() {
        slog::warn!(log, "{}", warning);
    }
    let served = serve::run(cfg, log);
    drop(logs);
    match served {
        Ok(()) => Exit::Ok,
        Err(e) => {
            eprintln!("briarcove: {e}");
            Exit::Unreachable
        }
    }
}

fn block_on(command: impl Future<Output = Exit>) -> Exit {
    match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime.block_on(command),
        Err(e) => {
            eprintln!("briarcove: failed to start the async runtime: {e}");
            Exit::Unreachable
        }
    }
}
