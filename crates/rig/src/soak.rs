//! Randomised faults against real processes.
//!
//! A run starts the stand-in store, upstreams and three instances, with a proxy on each way to the
//! store and to an upstream. Callers keep asking on open connections while faults come in series
//! and overlap; afterwards everything is sound again and has to serve again. What callers and
//! upstreams have seen is checked against what the product promises. A seed decides the faults.
//! Processes are ended by their ids, and only those that the run has started.

mod callers;
mod check;
mod plan;
mod proxy;
mod world;

use std::{
    fmt, fs, io,
    path::{Path, PathBuf},
    sync::{Arc, PoisonError},
    thread,
    time::{Duration, Instant},
};

use callers::{Callers, Kind};
use check::{PROOF, Seen};

pub use plan::{Fault, ScheduledFault, plan};
pub use proxy::Condition;
use proxy::wait_for;
use world::{LEAST, SHARDS, World};

/// Callers of an instance.
const CALLERS: usize = 3;

/// Time within which everything serves again after the last fault; the platform allows 12 s.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time after the last fault in which instances that it ended are started again.
const SETTLED: Duration = Duration::from_millis(300);

/// Requests of each kind that are served again at each instance.
const PROOFS: usize = 5;

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Options {
    /// Program of the instances.
    pub program: PathBuf,
    /// Where logs go.
    pub folder: PathBuf,
    /// Time in which faults begin.
    pub length: Duration,
}

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Requests of callers.
    pub requests: usize,
    /// Those that succeeded.
    pub served: usize,
    /// Faults.
    pub faults: usize,
    /// Promises that were broken.
    pub violations: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}: {} faults, {} requests, {} served, {} promises broken",
            self.seed,
            self.faults,
            self.requests,
            self.served,
            self.violations.len()
        )?;
        self.violations
            .iter()
            .try_for_each(|what| write!(f, "\n  {what}"))
    }
}

/// Runs the faults of one seed.
///
/// # Errors
///
/// Fails when the programs can't be started or ended.
pub fn run(options: &Options, seed: u64) -> io::Result<Report> {
    let folder = options.folder.join(format!("seed-{seed}"));
    fs::create_dir_all(&folder)?;
    let plan = plan(seed, options.length);
    let lines: Vec<String> = plan.iter().map(ToString::to_string).collect();
    fs::write(folder.join("plan"), lines.join("\n"))?;
    // In every second run there seem to be so many instances that some follow others.
    let mut world = World::start(&options.program, &folder, seed % 2 == 1)?;
    let callers = Arc::new(Callers::default());
    let mut tasks = Vec::new();
    for (instance, site) in world.sites.iter().enumerate() {
        for caller in 0..CALLERS {
            let (callers, address) = (Arc::clone(&callers), site.caller_address());
            let seed = seed * 1_000 + (instance * CALLERS + caller) as u64;
            tasks.push(thread::spawn(move || callers.run(instance, address, seed)));
        }
    }
    world.play(&plan)?;
    // What was told last has effect before the proofs.
    world.wait_until(Instant::now() + SETTLED)?;
    let mut broken = recovery(&world, &callers, &folder);
    broken.append(&mut world.ended);
    callers.stop();
    for task in tasks {
        if task.join().is_err() {
            broken.push("a caller has panicked".into());
        }
    }
    let outcomes = callers
        .outcomes
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let arrivals = world.arrivals();
    let seen = Seen {
        outcomes: &outcomes,
        arrivals: &arrivals,
        outages: &world.outages,
        shards: SHARDS.len(),
        least: (SHARDS.len() as f64 * LEAST).ceil() as usize,
    };
    broken.extend(check::check(&seen));
    let is_served = |outcome: &&callers::Outcome| {
        let answer = outcome.answer.as_ref();
        answer.is_some_and(|answer| answer.status().is_success())
    };
    Ok(Report {
        seed,
        requests: outcomes.len(),
        served: outcomes.iter().filter(is_served).count(),
        faults: plan.len(),
        violations: broken,
    })
}

/// Checks that all instances serve everything again.
fn recovery(world: &World, callers: &Callers, folder: &Path) -> Vec<String> {
    let mut broken = Vec::new();
    if !wait_for(RECOVERY, || world.is_ready()) {
        broken.push("not all instances are ready again".into());
    }
    let newest = world.newest();
    for (at, site) in world.sites.iter().enumerate() {
        let serves = |path: &str, id: &str| {
            let answer = site.ask("GET", path, id, 1_000);
            answer.is_ok_and(|answer| answer.status().is_success())
        };
        // These requests are made apart from the callers', whose checks know all ids.
        let mut number = 0;
        let served = wait_for(RECOVERY, || {
            number += 1;
            let id = |what: &str| format!("{PROOF}{at}-{what}-{number}");
            serves(&newest, &id("new")) && serves("/search/2f", &id("search"))
        });
        if !served {
            let log = folder.join(format!("instance-{at}/log"));
            broken.push(format!(
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
                for _ in 0..PROOFS {
                    let left = Duration::from_millis(1_200);
                    callers
                        .ask(&mut client, at, site.caller_address(), kind, left)
                        .await;
                }
            }
        });
    }
    broken
}
