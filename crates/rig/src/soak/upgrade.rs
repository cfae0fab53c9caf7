//! Two builds side by side: which one each instance runs, and when it is replaced.
//!
//! In a run with a former build all instances start with it. They are upgraded one after the other,
//! rolled back, and upgraded again, while the faults of the plan go on. An instance that is killed
//! or ends in between starts again with the build that it had.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process::Command,
    time::Duration,
};

use super::plan::{Fault, INSTANCES, ScheduledFault};

/// A build of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Build {
    /// The one under test.
    Current,
    /// The one that it replaces.
    Former,
}

/// The changes of build in a run, each with its start as a share of the run.
const CHANGES: [(Build, f64); 3] = [
    (Build::Current, 0.15),
    (Build::Former, 0.45),
    (Build::Current, 0.7),
];

/// Root of the repository, whose history has the former builds.
const REPOSITORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

/// Time between the replacements of two instances.
const REPLACEMENT_GAP: Duration = Duration::from_millis(900);

/// Time after which a replaced instance starts again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// The programs of a run.
#[derive(Clone, Debug)]
pub(super) struct Programs {
    current: Box<Path>,
    former: Option<Box<Path>>,
    assigned: [Build; INSTANCES],
}

impl Programs {
    pub(super) fn new(current: &Path, former: Option<&Path>) -> Self {
        let first = former.map_or(Build::Current, |_| Build::Former);
        Self {
            current: current.into(),
            former: former.map(Box::from),
            assigned: [first; INSTANCES],
        }
    }

    /// Sets the build that an instance runs from its next start on.
    pub(super) fn assign(&mut self, instance: usize, build: Build) {
        self.assigned[instance] = build;
    }

    /// Returns the program that an instance runs at its next start.
    pub(super) fn of(&self, instance: usize) -> &Path {
        match (self.assigned[instance], &self.former) {
            (Build::Former, Some(former)) => former,
            _ => &self.current,
        }
    }
}

/// Returns the replacements of a run.
pub(super) fn replacements(length: Duration) -> Vec<ScheduledFault> {
    let mut planned = Vec::new();
    for (build, share) in CHANGES {
        for instance in 0..INSTANCES {
            planned.push(ScheduledFault {
                at: length.mul_f64(share) + REPLACEMENT_GAP * instance as u32,
                duration: RESTART_DELAY,
                fault: Fault::Replace(instance, build),
            });
        }
    }
    planned
}

/// Builds the program of an earlier commit of the repository in a folder, with that commit's lock
/// file; returns its path.
///
/// # Errors
///
/// Fails when the commit is not in the history, or does not build.
pub fn build_former(commit: &str, folder: &Path) -> io::Result<PathBuf> {
    let source = folder.join(commit);
    fs::create_dir_all(&source)?;
    let source = fs::canonicalize(source)?;
    let archive = source.join("source.tar");
    run(Command::new("git")
        .args(["archive", "--format=tar", "--output"])
        .args([&archive])
        .arg(commit)
        .current_dir(REPOSITORY))?;
    run(Command::new("tar")
        .arg("-xf")
        .arg(&archive)
        .arg("-C")
        .arg(&source))?;
    fs::remove_file(&archive)?;
    let target = source.join("target");
    run(Command::new("cargo")
        .args(["build", "--release", "--locked", "--package", "briarcove"])
        .arg("--target-dir")
        .arg(&target)
        .current_dir(&source))?;
    Ok(target.join("release/briarcove"))
}

fn run(command: &mut Command) -> io::Result<()> {
    let status = command.status()?;
    match status.success() {
        true => Ok(()),
        false => Err(io::Error::other(format!("{command:?} ended with {status}"))),
    }
}
