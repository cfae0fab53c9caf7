//! Random faults against real processes: `briarcove-rig soak` in short.

use std::{path::PathBuf, thread, time::Duration};

use rig::soak::{Options, run};

/// Seeds that once broke a promise, with what was wrong.
const KEPT: [(u64, &str); 3] = [
    (
        34,
        "a signal to reload ended the process while nobody waited for one",
    ),
    (
        5,
        "a new connection was accepted as its process ended; allowed, the check was narrowed",
    ),
    (
        749,
        "a signal to stop during the start was forgotten, and the process went on",
    ),
];

/// A seed that is run beside them.
const USUAL: u64 = 3;

#[test]
fn promises_hold_under_faults() {
    run_all(KEPT.iter().map(|(seed, _)| *seed).chain([USUAL]));
}

/// Resets of one upstream's connections while a process was frozen before its first code; once in six
/// runs all searches were refused as one that breaks upstreams.
#[test]
fn resets_quarantine_no_search() {
    run_all([829].into_iter());
}

fn run_all(seeds: impl Iterator<Item = u64>) {
    let options = Options {
        program: PathBuf::from(env!("CARGO_BIN_EXE_briarcove")),
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak"),
        length: Duration::from_secs(10),
    };
    thread::scope(|scope| {
        let runs: Vec<_> = seeds
            .map(|seed| {
                scope.spawn({
                    let options = &options;
                    move || run(options, seed).unwrap()
                })
            })
            .collect();
        for run in runs {
            let report = run.join().unwrap();
            assert!(report.violations.is_empty(), "{report}");
            assert!(report.served * 2 > report.requests, "{report}");
        }
    });
}
