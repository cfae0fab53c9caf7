//! Soak test: random fault injection against real processes.
//!
//! A run starts the stand-in store, stand-in upstreams and three instances, with a proxy between
//! each instance and the store and in front of each upstream. Callers send requests on persistent
//! connections while faults follow each other and overlap. Then all faults are reverted, and every
//! instance must recover. The observations of callers and upstreams are checked against the
//! guarantees of the product. The faults are derived from a seed.
//!
//! A run signals only processes that it has started, by process id.

mod announced;
mod callers;
mod check;
mod crashing;
mod cuts;
mod deployment;
mod organisations;
mod plan;
mod proxy;
mod upgrade;

use std::{
    fmt, fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, PoisonError},
    thread,
    time::{Duration, Instant},
};

use callers::{Callers, Kind};
use check::{PROBE_PREFIX, Recording};

use crashing::Ends;
pub use cuts::Cut;
use deployment::{Deployment, MIN_COVERAGE, SHARDS};
pub use plan::{Fault, ScheduledFault, plan};
pub use proxy::Condition;
use proxy::wait_for;
use upgrade::Programs;
pub use upgrade::{Build, build_former};

use crate::edge::{CRASH_MARK, Site};

/// Number of callers per instance.
const CALLERS_PER_INSTANCE: usize = 3;

/// Number added to the seeds of callers whose requests crash upstreams.
const CRASHING_CALLERS: u64 = 500;

/// Time in which all instances must recover after the last fault, as the platform requires.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Time after the last fault during which instances that exited because of it are restarted.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Requests of each kind that are sent to each instance after its recovery.
const PROBES_PER_KIND: usize = 5;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Executable of the instances.
    pub program: PathBuf,
    /// Executable that the instances start with and are upgraded from; `None` without upgrades.
    pub former: Option<PathBuf>,
    /// Directory for logs.
    pub folder: PathBuf,
    /// Time during which faults are injected.
    pub length: Duration,
    /// Whether upstreams end by themselves, and requests crash the upstreams that run them.
    pub with_crashes: bool,
    /// Whether upstreams that have ended by themselves come back cold.
    pub returns_cold: bool,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Number of harmless requests that callers sent.
    pub requests: usize,
    /// Number of them that succeeded.
    pub served: usize,
    /// Number of upstreams that crashing requests ended.
    pub ended: usize,
    /// Number of faults.
    pub faults: usize,
    /// Descriptions of the violated guarantees.
    pub violations: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}: {} faults, {} requests, {} served, {} upstreams ended, {} promises broken",
            self.seed,
            self.faults,
            self.requests,
            self.served,
            self.ended,
            self.violations.len()
        )?;
        self.violations
            .iter()
            .try_for_each(|what| write!(f, "\n  {what}"))
    }
}

/// Runs the soak test with the faults of one seed.
///
/// # Errors
///
/// Fails when processes cannot be started or stopped.
pub fn run(options: &Options, seed: u64) -> io::Result<Report> {
    let mut planned = plan(seed, options.length);
    if options.former.is_some() {
        planned.extend(upgrade::replacements(options.length));
        planned.sort_by_key(|planned| planned.at);
    }
    run_plan(options, seed, &planned)
}

/// Runs the soak test with given faults; the seed is that of the callers.
///
/// # Errors
///
/// Fails when processes cannot be started or stopped.
pub fn run_plan(options: &Options, seed: u64, plan: &[ScheduledFault]) -> io::Result<Report> {
    let folder = options.folder.join(format!("seed-{seed}"));
    // The logs are checked, and those of an earlier run with the seed would be taken for this
    // one's.
    if folder.exists() {
        fs::remove_dir_all(&folder)?;
    }
    fs::create_dir_all(&folder)?;
    let lines: Vec<String> = plan.iter().map(ToString::to_string).collect();
    fs::write(folder.join("plan"), lines.join("\n"))?;
    // Runs with odd seeds register so many stale instances that some instances become followers.
    let programs = Programs::new(&options.program, options.former.as_deref());
    let ends = options.with_crashes.then(|| Ends::new(seed));
    // In two of four seeds, one of them odd, callers belong to organisations; a former build may
    // know none and would pass on their keys.
    let has_organisations = seed % 4 >= 2 && options.former.is_none();
    let mut deployment =
        Deployment::start(programs, &folder, seed % 2 == 1, has_organisations, ends)?;
    deployment.returns_cold = options.returns_cold;
    let callers = Arc::new(Callers::new(has_organisations));
    let mut handles = Vec::new();
    for (instance, site) in deployment.sites.iter().enumerate() {
        for caller in 0..CALLERS_PER_INSTANCE {
            let (callers, address) = (Arc::clone(&callers), site.caller_address());
            let seed = seed * 1_000 + (instance * CALLERS_PER_INSTANCE + caller) as u64;
            handles.push(thread::spawn(move || callers.run(instance, address, seed)));
        }
    }
    if options.with_crashes {
        let instances: Vec<SocketAddr> =
            deployment.sites.iter().map(Site::caller_address).collect();
        for (number, kind) in [Kind::Search, Kind::Status, Kind::Order]
            .into_iter()
            .enumerate()
        {
            let (callers, instances) = (Arc::clone(&callers), instances.clone());
            let seed = seed * 1_000 + CRASHING_CALLERS + number as u64;
            handles.push(thread::spawn(move || {
                callers.run_crashing(kind, &instances, seed);
            }));
        }
    }
    deployment.run_plan(plan)?;
    callers.stop_crashing();
    // Lets the last signals take effect before recovery is checked.
    deployment.wait_until(Instant::now() + SETTLE_TIME)?;
    deployment.stop_ends()?;
    let mut violations = check_recovery(&deployment, &callers, &folder);
    violations.append(&mut deployment.unexpected_exits);
    callers.stop();
    for handle in handles {
        if handle.join().is_err() {
            violations.push("a caller thread panicked".into());
        }
    }
    let outcomes = callers
        .outcomes
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let arrivals = deployment.arrivals();
    let recording = Recording {
        outcomes: &outcomes,
        arrivals: &arrivals,
        outages: &deployment.outages,
        cuts: &deployment.cut_off,
        disturbed: &deployment.disturbed,
        shards: SHARDS.len(),
        min_parts: (SHARDS.len() as f64 * MIN_COVERAGE).ceil() as usize,
    };
    violations.extend(check::check(&recording));
    violations.extend(announced::check(&recording));
    violations.extend(organisations::check(&recording));
    if !options.with_crashes {
        violations.extend(announced::check_limits(&recording));
        violations.extend(cuts::check(&recording));
    }
    violations.extend(crashing::check(&recording, &deployment.logs()?));
    let is_served = |outcome: &&callers::Outcome| {
        let answer = outcome.answer.as_ref();
        answer.is_some_and(|answer| answer.status().is_success())
    };
    let harmless = || outcomes.iter().filter(|it| !it.path.contains(CRASH_MARK));
    Ok(Report {
        seed,
        requests: harmless().count(),
        served: harmless().filter(is_served).count(),
        ended: crashing::count(&recording),
        faults: plan.len(),
        violations,
    })
}

/// Checks that all instances become ready and serve requests again. Then sends requests of each
/// kind; their answers are checked like those of the other callers.
fn check_recovery(deployment: &Deployment, callers: &Callers, folder: &Path) -> Vec<String> {
    let mut violations = Vec::new();
    if !wait_for(RECOVERY_TIMEOUT, || deployment.is_ready()) {
        violations.push("not all instances are ready again".into());
    }
    let newest_route = deployment.newest_route();
    for (at, site) in deployment.sites.iter().enumerate() {
        let serves = |path: &str, id: &str| {
            let answer = site.ask("GET", path, id, 1_000);
            answer.is_ok_and(|answer| answer.status().is_success())
        };
        // The ids of these requests have a prefix that the checks of the callers' requests skip.
        let mut number = 0;
        let served = wait_for(RECOVERY_TIMEOUT, || {
            number += 1;
            let id = |what: &str| format!("{PROBE_PREFIX}{at}-{what}-{number}");
            serves(&newest_route, &id("new")) && serves("/search/2f", &id("search"))
        });
        if !served {
            let log = folder.join(format!("instance-{at}/log"));
            violations.push(format!(
                "instance {at} does not serve again; see {}",
                log.display()
            ));
            continue;
        }
        let runtime = compio::runtime::Runtime::new();
        let Ok(runtime) = runtime else { continue };
        runtime.block_on(async {
            let mut client = None;
            for kind in [Kind::Search, Kind::Status, Kind::Order] {
                for _ in 0..PROBES_PER_KIND {
                    let time_left = Duration::from_millis(1_200);
                    callers
                        .ask(
                            &mut client,
                            (at, site.caller_address()),
                            (kind, kind.path()),
                            time_left,
                        )
                        .await;
                }
            }
        });
    }
    violations
}
