//! Subcommands of `briarcove-rig`.

use std::{
    fs,
    future::pending,
    io,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use base::EntryName;
use bytes::Bytes;
use compio::runtime::Runtime;
use gumdrop::Options;
use rig::{bench, demo, fleet, load, platform, report, server, soak, upstream};
use snafu::{OptionExt, ResultExt, Snafu};

/// Maximum run time of a server or a load, in seconds.
const MAX_SECONDS: f64 = 86_400.0;
/// Number of connections of an open-loop load without `--connections`.
const DEFAULT_OPEN_LOOP_CONNECTIONS: usize = 256;
/// Bodies of a load without `--body`.
const DEFAULT_BODIES: [&str; 4] = [
    r#"{"query":"harpist cardiff","limit":5}"#,
    r#"{"query":"male voice choir wedding","limit":5}"#,
    r#"{"query":"certified transcript fraud trial","limit":5}"#,
    r#"{"query":"custody hearing riga","limit":5}"#,
];

/// Stand-ins and load for tests of briarcove.
#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(command, required)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run a stand-in for the platform")]
    Platform(PlatformArgs),
    #[options(help = "run stand-in upstreams")]
    Upstreams(UpstreamsArgs),
    #[options(help = "send load to instances")]
    Load(LoadArgs),
    #[options(help = "run the demonstration")]
    Demo(DemoArgs),
    #[options(help = "run real instances under random faults and check what they promise")]
    Soak(SoakArgs),
    #[options(help = "measure the targets on separate processes")]
    Report(ReportArgs),
    #[options(help = "sweep a size and fit a line through what it costs")]
    Bench(BenchArgs),
}

#[derive(Debug, Options)]
struct PlatformArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "port on 127.0.0.1; 0 takes a free one")]
    port: u16,
    #[options(no_short, help = "time that every call takes, in ms")]
    latency_ms: u64,
    #[options(no_short, help = "time after which the server stops")]
    seconds: Option<f64>,
}

#[derive(Debug, Options)]
struct UpstreamsArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        required,
        help = "JSON file: a list of groups, a thread each"
    )]
    spec: PathBuf,
    #[options(no_short, help = "time after which the servers stop")]
    seconds: Option<f64>,
}

#[derive(Debug, Options)]
struct LoadArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        required,
        help = "instances as IP:PORT[,IP:PORT]",
        parse(try_from_str = "parse_addresses")
    )]
    target: Addresses,
    #[options(no_short, required, help = "catalogue entry")]
    entry: Option<EntryName>,
    #[options(no_short, help = "send runs rather than searches")]
    run: bool,
    #[options(no_short, help = "open loop: requests a second")]
    rate: Option<f64>,
    #[options(no_short, help = "closed loop: requests in flight")]
    concurrency: Option<usize>,
    #[options(no_short, help = "open loop: connections, 256 if not given")]
    connections: Option<usize>,
    #[options(no_short, help = "time in which requests are sent", default = "10")]
    seconds: f64,
    #[options(no_short, help = "requests at most")]
    count: Option<u64>,
    #[options(no_short, help = "request body; may be given more than once")]
    body: Vec<String>,
    #[options(no_short, help = "deadline that requests carry, in ms")]
    deadline_ms: Option<u64>,
    #[options(no_short, help = "seed of gaps and idempotency keys")]
    seed: u64,
}

#[derive(Debug, Options)]
struct DemoArgs {
    #[options(help = "print this help")]
    help: bool,
}

#[derive(Debug, Options)]
struct SoakArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, required, help = "program of the instances")]
    program: PathBuf,
    #[options(no_short, help = "end upstreams, and send requests that crash them")]
    crashes: bool,
    #[options(no_short, help = "let upstreams that ended come back cold")]
    cold_returns: bool,
    #[options(
        no_short,
        help = "start with the build of this commit, upgrade from it and roll back"
    )]
    upgrade: Option<String>,
    #[options(no_short, help = "folder for logs", default = "target/soak")]
    folder: PathBuf,
    #[options(no_short, help = "first seed", default = "1")]
    seed: u64,
    #[options(no_short, help = "number of seeds", default = "1")]
    count: u64,
    #[options(no_short, help = "runs at the same time", default = "1")]
    jobs: usize,
    #[options(no_short, help = "time in which faults begin", default = "10")]
    seconds: f64,
}

#[derive(Debug, Options)]
struct ReportArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "run this experiment alone; may be given more than once"
    )]
    only: Vec<String>,
}

#[derive(Debug, Options)]
struct BenchArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "name of the bench")]
    name: String,
    #[options(no_short, help = "measure the point of this size only")]
    size: Option<usize>,
}

#[derive(Debug, Default)]
struct Addresses(Vec<SocketAddr>);

fn parse_addresses(text: &str) -> Result<Addresses, std::net::AddrParseError> {
    let parsed: Result<_, _> = text.split(',').map(str::parse).collect();
    parsed.map(Addresses)
}

/// Why a subcommand failed.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("cannot read {}: {source}", path.display()))]
    ReadSpec { path: PathBuf, source: io::Error },
    #[snafu(display("{} is not valid: {source}", path.display()))]
    ParseSpec {
        path: PathBuf,
        source: serde_json::Error,
    },
    #[snafu(display("--entry is required"))]
    MissingEntry,
    #[snafu(display("give either --rate or --concurrency; --rate has to be above 0"))]
    LoadModel,
    #[snafu(display("failed to start the async runtime: {source}"))]
    StartRuntime { source: io::Error },
    #[snafu(display("failed to encode the report: {source}"))]
    Encode { source: serde_json::Error },
    #[snafu(transparent)]
    Server { source: server::Error },
    #[snafu(transparent)]
    Upstream { source: upstream::Error },
    #[snafu(transparent)]
    Fleet { source: fleet::Error },
    #[snafu(transparent)]
    Load { source: load::Error },
    #[snafu(transparent)]
    Report { source: report::Error },
    #[snafu(display("the soak run with seed {seed} failed: {source}"))]
    Soak { seed: u64, source: io::Error },
    #[snafu(display("the program of commit {commit} cannot be built: {source}"))]
    BuildFormer { commit: Box<str>, source: io::Error },
    #[snafu(display("runs with these seeds violated guarantees: {seeds:?}"))]
    Violations { seeds: Vec<u64> },
    #[snafu(transparent)]
    Bench { source: bench::Error },
}

impl Args {
    /// Runs the subcommand.
    pub(crate) fn run(self) -> Result<(), Error> {
        match self.command {
            Some(Command::Platform(args)) => run_platform(&args),
            Some(Command::Upstreams(args)) => run_upstreams(args),
            Some(Command::Load(args)) => run_load(args),
            Some(Command::Demo(_)) => run_demo(),
            Some(Command::Soak(args)) => run_soak(&args),
            Some(Command::Report(args)) => run_report(&args),
            Some(Command::Bench(args)) => Ok(bench::run(&args.name, args.size)?),
            None => Ok(()),
        }
    }
}

/// Runs the soak test with several seeds, up to `jobs` at a time, and fails when any run violates a
/// guarantee.
fn run_soak(args: &SoakArgs) -> Result<(), Error> {
    let former = args.upgrade.as_deref().map(|commit| {
        let folder = args.folder.join("former");
        soak::build_former(commit, &folder).context(BuildFormerSnafu { commit })
    });
    let options = soak::Options {
        program: args.program.clone(),
        former: former.transpose()?,
        folder: args.folder.clone(),
        length: Duration::from_secs_f64(args.seconds.clamp(1.0, MAX_SECONDS)),
        with_crashes: args.crashes,
        returns_cold: args.cold_returns,
    };
    let end = args.seed + args.count;
    let next = AtomicU64::new(args.seed);
    let results = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..args.jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= end {
                        return;
                    }
                    let report = soak::run(&options, seed).context(SoakSnafu { seed });
                    match &report {
                        Ok(report) => println!("{report}"),
                        Err(e) => println!("{e}"),
                    }
                    results
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push((seed, report));
                }
            });
        }
    });
    let mut seeds = Vec::new();
    for (seed, report) in results.into_inner().unwrap_or_else(PoisonError::into_inner) {
        if !report?.violations.is_empty() {
            seeds.push(seed);
        }
    }
    snafu::ensure!(seeds.is_empty(), ViolationsSnafu { seeds });
    Ok(())
}

fn run_platform(args: &PlatformArgs) -> Result<(), Error> {
    let server = platform::spawn(platform::Config {
        port: args.port,
        latency: Duration::from_millis(args.latency_ms),
    })?;
    for address in server.addresses() {
        println!("listening {address}");
    }
    wait_until_end(args.seconds)
}

fn run_upstreams(args: UpstreamsArgs) -> Result<(), Error> {
    let path = args.spec;
    let text = fs::read(&path).context(ReadSpecSnafu { path: &path })?;
    let groups: Vec<upstream::Group> =
        serde_json::from_slice(&text).context(ParseSpecSnafu { path: &path })?;
    let groups = groups.into_iter().map(upstream::Upstreams::spawn);
    let running = groups.collect::<Result<Vec<_>, _>>()?;
    for (name, address) in running.iter().flat_map(upstream::Upstreams::addresses) {
        println!("listening {address} {name}");
    }
    wait_until_end(args.seconds)
}

/// Waits for `seconds`, or without a limit when absent, unless a signal ends the process first.
fn wait_until_end(seconds: Option<f64>) -> Result<(), Error> {
    let runtime = Runtime::new().context(StartRuntimeSnafu)?;
    runtime.block_on(async {
        match seconds {
            Some(seconds) => compio::time::sleep(bounded_duration(seconds)).await,
            None => pending().await,
        }
    });
    Ok(())
}

fn run_load(args: LoadArgs) -> Result<(), Error> {
    let cfg = load_config(args)?;
    let runtime = Runtime::new().context(StartRuntimeSnafu)?;
    let report = runtime.block_on(load::run(&cfg))?;
    eprint!("{report}");
    let json = serde_json::to_string(&report).context(EncodeSnafu)?;
    println!("{json}");
    Ok(())
}

fn run_demo() -> Result<(), Error> {
    let runtime = Runtime::new().context(StartRuntimeSnafu)?;
    runtime.block_on(demo::run())?;
    Ok(())
}

fn run_report(args: &ReportArgs) -> Result<(), Error> {
    let runtime = Runtime::new().context(StartRuntimeSnafu)?;
    runtime.block_on(report::run(&args.only))?;
    Ok(())
}

fn load_config(args: LoadArgs) -> Result<load::Config, Error> {
    let (model, connections) = match (args.rate, args.concurrency) {
        (Some(rate), None) if rate > 0.0 => (
            load::LoadModel::OpenLoop(rate),
            DEFAULT_OPEN_LOOP_CONNECTIONS,
        ),
        (None, Some(concurrency)) => (load::LoadModel::ClosedLoop, concurrency),
        _ => return LoadModelSnafu.fail(),
    };
    let mut bodies: Vec<Bytes> = args.body.into_iter().map(Bytes::from).collect();
    if bodies.is_empty() {
        bodies.extend(DEFAULT_BODIES.map(Bytes::from));
    }
    Ok(load::Config {
        targets: args.target.0,
        entry: args.entry.context(MissingEntrySnafu)?,
        kind: if args.run {
            load::Kind::Run
        } else {
            load::Kind::Search
        },
        model,
        connections: args.connections.unwrap_or(connections),
        duration: bounded_duration(args.seconds),
        count: args.count.unwrap_or(u64::MAX),
        bodies,
        deadline: args.deadline_ms.map(Duration::from_millis),
        seed: args.seed,
        keep_replies: false,
    })
}

/// Converts seconds to a duration of at most [`MAX_SECONDS`].
fn bounded_duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS))
}
