//! Runs an entry instance: the reducer, and the tasks that carry out its effects.

mod report;
mod shell;

use std::{net::SocketAddr, time::Duration};

use base::Incarnation;
use compio::{net::TcpListener, runtime::Runtime};
use slog::{Logger, info};
use snafu::{ResultExt, Snafu};

use shell::Shell;

/// Why an instance does not run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The runtime could not be started.
    #[snafu(display("runtime: {source}"))]
    Runtime {
        /// What the system reported.
        source: std::io::Error,
    },
    /// An address could not be listened on.
    #[snafu(display("listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system reported.
        source: std::io::Error,
    },
    /// No random numbers could be had for request ids.
    #[snafu(display("random numbers: {source}"))]
    Random {
        /// What the system reported.
        source: getrandom::Error,
    },
    /// The client of the platform could not be made.
    #[snafu(display("platform: {source}"))]
    Platform {
        /// What the client reported.
        source: plat::Error,
    },
    /// The termination signal could not be awaited.
    #[snafu(display("signal: {source}"))]
    Signal {
        /// What the system reported.
        source: std::io::Error,
    },
}

/// Runs an instance until it is drained.
///
/// # Errors
///
/// An [`Error`] that kept the instance from starting.
pub fn run(cfg: cat::Settings, log: Logger) -> Result<(), Error> {
    let runtime = Runtime::new().context(RuntimeSnafu)?;
    runtime.block_on(serve(cfg, log))
}

async fn serve(cfg: cat::Settings, log: Logger) -> Result<(), Error> {
    let callers = listen(cfg.callers.listen).await?;
    let peers = listen(cfg.peers.listen).await?;
    info!(log, "listening";
        "instance" => %cfg.instance,
        "data_centre" => %cfg.data_centre,
        "callers" => %cfg.callers.listen,
        "peers" => %cfg.peers.listen,
        "platform" => %cfg.platform.address);
    let seed = getrandom::u64().context(RandomSnafu)?;
    let shell = Shell::new(&cfg, incarnation(), seed, log.clone())?;
    shell.run(callers, peers).await;
    info!(log, "stopped");
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

/// Returns the start count: microseconds since the Unix epoch, which a restarted instance exceeds.
fn incarnation() -> Incarnation {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let micros = since_epoch.unwrap_or(Duration::ZERO).as_micros();
    Incarnation(u64::try_from(micros).unwrap_or(u64::MAX))
}
