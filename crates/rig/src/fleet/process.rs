//! Child processes of a fleet.

use std::{
    io::{self, BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

/// A child process; dropping the value kills it.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program and redirects its stdout and stderr to a file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be created or the program cannot be started.
    pub fn start(program: &Path, args: &[&str], output: &Path) -> io::Result<Self> {
        let file = std::fs::File::create(output)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()?;
        Ok(Self { child })
    }

    /// Starts a server that prints a line `listening <address> ...` for each of its `count`
    /// addresses, and returns these addresses.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started or ends before it has printed all addresses.
    pub fn start_server(
        program: &Path,
        args: &[&str],
        count: usize,
    ) -> io::Result<(Self, Vec<SocketAddr>)> {
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut lines = BufReader::new(output).lines();
        let mut addresses = Vec::new();
        while addresses.len() < count {
            let line = lines.next().ok_or(io::ErrorKind::UnexpectedEof)??;
            let address = line
                .split_whitespace()
                .nth(1)
                .and_then(|text| text.parse::<SocketAddr>().ok());
            addresses.extend(address);
        }
        Ok((Self { child }, addresses))
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).unwrap_or(i32::MAX);
        // The process may have ended already.
        let _ = kill(Pid::from_raw(id), signal);
    }

    /// Pauses the process with `SIGSTOP`.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a paused process with `SIGCONT`.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks the process to end with `SIGTERM`.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Kills the process with `SIGKILL` and waits for its end.
    pub fn kill(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the end of the process and returns whether it ended within `timeout`.
    pub fn wait_timeout(&mut self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }

    /// Returns the CPU time and resident memory that the kernel reports for the process.
    pub fn usage(&self) -> Option<Usage> {
        Usage::of(self.child.id())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}

/// CPU time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// User and system CPU time of all threads.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

/// Unit of the CPU times in `/proc/<id>/stat`: `USER_HZ`, which is 100 on Linux.
const TICKS_PER_SECOND: u64 = 100;

impl Usage {
    /// Returns the usage of the process `id`, or `None` when `/proc` does not have it.
    pub fn of(id: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(Self {
            cpu: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
            resident_bytes: kib * 1_024,
        })
    }
}

/// Returns the path of a program in the build folder of the running executable.
pub fn binary_path(name: &str) -> PathBuf {
    let running = std::env::current_exe().unwrap_or_default();
    let mut folder = running.parent().unwrap_or(Path::new(".")).to_path_buf();
    if folder.ends_with("deps") || folder.ends_with("examples") {
        folder.pop();
    }
    folder.join(name)
}
