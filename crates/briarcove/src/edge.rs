//! An entry instance on the users' platform: the shell around [`tier::Tier`].

mod callers;
mod drive;
mod lines;
mod metrics;
mod ops;
mod peers;
mod shell;
mod signals;
mod sync;
mod upstreams;

use std::{env, io, path::PathBuf, rc::Rc};

use compio::{net::TcpListener, runtime::spawn};
use platform::settings::PATH_VARIABLE;
use slog::{error, info};

use crate::{args, exit::Exit, hold, logs};
use shell::Shell;

/// Runs an instance until it is told to stop.
pub fn run(args: &args::Edge) -> Exit {
    let logs = logs::start_stdout();
    // From here on a signal ends the process only as it is meant to.
    let mut held = hold::hold(&logs.logger(), &[libc::SIGHUP, libc::SIGTERM]);
    let path = args
        .settings
        .clone()
        .or_else(|| env::var_os(PATH_VARIABLE).map(PathBuf::from));
    let Some(path) = path else {
        eprintln!("briarcove: no settings; give --settings or set {PATH_VARIABLE}");
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
            eprintln!("briarcove: the runtime does not start: {e}");
            return Exit::Unreachable;
        }
    };
    let shell = Shell::new(cfg, path, logs.logger());
    let exit = drive::block_on(
        &runtime,
        &shell,
        serve(Rc::clone(&shell), held.wait(libc::SIGTERM)),
    );
    drop(shell);
    drop(logs);
    exit
}

async fn serve(shell: Rc<Shell>, stop: impl Future<Output = io::Result<()>>) -> Exit {
    let (cfg, log) = (shell.cfg.borrow().clone(), shell.log.clone());
    let listeners = async {
        Ok::<_, std::io::Error>((
            TcpListener::bind(cfg.callers).await?,
            TcpListener::bind(cfg.readiness).await?,
            TcpListener::bind(cfg.metrics).await?,
            TcpListener::bind(cfg.peers).await?,
        ))
    };
    let (callers, readiness, metrics, others) = match listeners.await {
        Ok(listeners) => listeners,
        Err(e) => {
            error!(log, "an address can't be listened on"; "error" => %e);
            return Exit::Unreachable;
        }
    };
    info!(log, "instance started"; "instance" => &*cfg.instance,
        "data_centre" => &*cfg.data_centre, "version" => env!("CARGO_PKG_VERSION"));
    spawn(callers::accept(Rc::clone(&shell), callers)).detach();
    spawn(ops::accept(Rc::clone(&shell), readiness)).detach();
    spawn(ops::accept(Rc::clone(&shell), metrics)).detach();
    spawn(peers::beat(Rc::clone(&shell))).detach();
    spawn(peers::accept(Rc::clone(&shell), others)).detach();
    sync::start(&shell);
    signals::watch_reload(&shell);
    signals::run_until_stopped(&shell, stop).await;
    info!(log, "instance stopped"; "unanswered" => shell.in_hand());
    Exit::Ok
}
