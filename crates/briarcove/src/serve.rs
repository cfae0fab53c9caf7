//! The `serve` command: runs an entry instance, as a shell around [`node::Node`].

mod report;
mod shell;

use std::{net::SocketAddr, time::Duration};

use base::Incarnation;
use compio::{net::TcpListener, runtime::Runtime};
use slog::{Logger, info};
use snafu::{ResultExt, Snafu};

use shell::Shell;

/// Why an instance failed to start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The runtime could not be started.
    #[snafu(display("failed to start the async runtime: {source}"))]
    Runtime {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A listening address could not be bound.
    #[snafu(display("failed to listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// No random numbers were available for request ids.
    #[snafu(display("failed to get random numbers: {source}"))]
    Random {
        /// Error of the operating system.
        source: getrandom::Error,
    },
    /// The client for the platform could not be created.
    #[snafu(display("failed to create the platform client: {source}"))]
    Platform {
        /// Error of the client.
        source: plat::Error,
    },
    /// The handler for the termination signal could not be installed.
    #[snafu(display("failed to wait for SIGTERM: {source}"))]
    Signal {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Runs an instance until it has drained after SIGTERM.
///
/// # Errors
///
/// Fails with an [`Error`] when the instance cannot start.
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

/// Returns the incarnation: microseconds since the Unix epoch, so that it grows with each restart.
fn incarnation() -> Incarnation {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let micros = since_epoch.unwrap_or(Duration::ZERO).as_micros();
    Incarnation(u64::try_from(micros).unwrap_or(u64::MAX))
}
