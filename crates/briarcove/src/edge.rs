//! The `edge` command: an entry instance on the users' platform, as a shell around [`tier::Tier`].

mod callers;
mod event_loop;
mod limits;
mod metrics;
mod note_log;
mod ops;
mod peers;
mod shell;
mod signals;
mod sync;
mod upstreams;

use std::{env, path::PathBuf, rc::Rc};

use compio::{net::TcpListener, runtime::spawn};
use futures_channel::mpsc::UnboundedReceiver;
use nix::sys::signal::Signal;
use platform::settings::PATH_VARIABLE;
use slog::{error, info};

use crate::{args, exit::Exit, logs, signal_thread};
use shell::Shell;

/// Runs an instance until the process receives SIGTERM.
pub fn run(args: &args::Edge) -> Exit {
    // Before any thread is spawned, so that a signal never ends the process by its default action.
    let signals = match signal_thread::receive(&[Signal::SIGHUP, Signal::SIGTERM]) {
        Ok(signals) => signals,
        Err(e) => {
            eprintln!("briarcove: failed to receive signals: {e}");
            return Exit::Unreachable;
        }
    };
    let logs = logs::start_stdout();
    let path = args
        .settings
        .clone()
        .or_else(|| env::var_os(PATH_VARIABLE).map(PathBuf::from));
    let Some(path) = path else {
        eprintln!("briarcove: no settings file given; use --settings or set {PATH_VARIABLE}");
        return Exit::Usage;
    };
    let cfg = match platform::Settings::load(&path) {
        Ok(cfg) => cfg,
        Err(findings) => {
            eprintln!("{findings}");
            return Exit::Findings;
        }
    };
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("briarcove: failed to start the async runtime: {e}");
            return Exit::Unreachable;
        }
    };
    let shell = Shell::new(cfg, path, args.disable, logs.logger());
    let exit = event_loop::block_on(&runtime, &shell, serve(Rc::clone(&shell), signals));
    drop(shell);
    drop(logs);
    exit
}

async fn serve(shell: Rc<Shell>, signals: UnboundedReceiver<Signal>) -> Exit {
    let (cfg, log) = (shell.cfg.borrow().clone(), shell.log.clone());
    let listeners = async {
        Ok::<_, std::io::Error>((
            TcpListener::bind(cfg.callers).await?,
            TcpListener::bind(cfg.readiness).await?,
            TcpListener::bind(cfg.metrics).await?,
            TcpListener::bind(cfg.peers).await?,
        ))
    };
    let (callers, readiness, metrics, peer_instances) = match listeners.await {
        Ok(listeners) => listeners,
        Err(e) => {
            error!(log, "failed to bind a listening address"; "error" => %e);
            return Exit::Unreachable;
        }
    };
    info!(log, "instance started"; "instance" => &*cfg.instance,
        "data_centre" => &*cfg.data_centre, "version" => env!("CARGO_PKG_VERSION"));
    signals::warn_of_disabled(&shell);
    spawn(callers::accept(Rc::clone(&shell), callers)).detach();
    spawn(ops::accept(Rc::clone(&shell), readiness)).detach();
    spawn(ops::accept(Rc::clone(&shell), metrics)).detach();
    spawn(peers::send_watermarks(Rc::clone(&shell))).detach();
    spawn(peers::accept(Rc::clone(&shell), peer_instances)).detach();
    sync::start(&shell);
    signals::watch_settings(&shell);
    signals::run_until_stopped(&shell, signals).await;
    info!(log, "instance stopped"; "unanswered" => shell.pending_requests());
    Exit::Ok
}
