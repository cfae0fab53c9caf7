//! Instances of the system, as separate processes.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::http::Conn;

/// Processes that were started and have not ended.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that are left.
pub fn end_all() {
    for pid in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
}

pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    settings: PathBuf,
    child: Child,
}

/// Returns a port that is free at an address, with the next one free too.
fn free_ports(ip: &str) -> u16 {
    loop {
        let first = TcpListener::bind((ip, 0)).expect("a free port");
        let port = first.local_addr().expect("an address").port();
        if port < 65_000 && TcpListener::bind((ip, port + 1)).is_ok() {
            return port;
        }
    }
}

/// What all instances of a deployment have in common.
pub struct Deployment {
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub zones: Vec<String>,
    /// Further lines of `bounds`, each beginning with a comma.
    pub bounds: String,
    pub cpu_share: f64,
    /// Third byte of the loopback addresses of the instances.
    pub net: u8,
}

impl Deployment {
    /// Starts an instance with the command of the deploy file.
    pub fn start(&self, at: usize, zone: &str) -> Instance {
        let name = format!("edge-{zone}-{at}");
        let ip = format!("127.0.{}.{}", self.net, at + 1);
        let (front, ready, internal) = (free_ports(&ip), free_ports(&ip), free_ports(&ip));
        let zones: Vec<String> = self.zones.iter().map(|it| format!("\"{it}\":\"region\"")).collect();
        let settings = format!(
            r#"{{"node":"{name}","role":"edge","machineClass":"edge","serves":["edge"],"ip":"{ip}",
"zone":"{zone}","region":"region","zones":{{{}}},
"listen":{{"front":"{ip}:{front}","ready":"{ip}:{ready}"}},"internalPorts":[{internal},{}],
"seeds":[],"bootstrap":true,"countsAsLoss":false,
"limits":{{"cpuShare":{},"cores":1,"memoryMb":182,"maxFds":2870,"linkMbps":700.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1200,
"bounds":{{"seedLagS":3,"reuseAfterS":2,"settleWindowMs":4000,"ackMs":5000,"catchUpS":4,
"drainMs":3000,"graceS":6,"lossSlackMs":200,"configApplyMs":3000,"rollbackSlackMs":250,
"skewMaxMs":12000,"retryBudgetRatio":0.2,"retryWindowS":10,"retrySlack":104,"recoveryS":12{}}},
"platform":{{"addr":"{}","form":"objects","writesPerS":400,"readsPerS":2000,"historyS":20,
"valueBytes":1048576,"minTtlMs":1000}}}}"#,
            zones.join(","),
            internal + 15,
            self.cpu_share,
            self.bounds,
            self.store
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("settings can be written");
        let child = spawn(&path);
        let address = |port| format!("{ip}:{port}").parse().expect("an address");
        Instance {
            name,
            front: address(front),
            ready: address(ready),
            metrics: address(internal),
            settings: path,
            child,
        }
    }
}

/// Starts the program of the deploy file; its log is appended to.
fn spawn(settings: &Path) -> Child {
    let log = File::options().create(true).append(true).open(settings.with_extension("log"));
    let log = log.expect("a log");
    let program = std::env::current_dir().expect("a folder").join("target/release/briarcove");
    let child = Command::new(program)
        .arg("edge")
        .env_clear()
        .env("BRIARCOVE_CONFIG", settings)
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log"))
        .stderr(log)
        .spawn()
        .expect("the program of the deploy file is built");
    RUNNING.lock().unwrap().push(child.id());
    child
}

impl Instance {
    /// Asks as the platform does whether the instance takes new connections.
    pub fn is_ready(&self) -> bool {
        get(self.ready, "/-/ready").is_ok_and(|(status, _)| status == 200)
    }

    pub fn wait_until_ready(&self, wait: Duration) -> bool {
        let until = Instant::now() + wait;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), pid.as_str()]).status();
    }
}

impl Instance {
    /// Waits for the end of the process and starts it again, not as the first start of the fleet.
    pub fn restart(&mut self) {
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|pid| *pid != self.child.id());
        let text = fs::read_to_string(&self.settings).expect("settings");
        let text = text.replace("\"bootstrap\":true", "\"bootstrap\":false");
        fs::write(&self.settings, text).expect("settings can be written");
        self.child = spawn(&self.settings);
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        RUNNING.lock().unwrap().retain(|pid| *pid != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn temporary_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

pub fn remove_folder(folder: &Path) {
    let _ = fs::remove_dir_all(folder);
}

/// Asks an instance's own endpoints.
pub fn get(address: SocketAddr, path: &str) -> io::Result<(u16, String)> {
    let mut conn = Conn::connect(address, Duration::from_secs(1))?;
    conn.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    let host = address.to_string();
    conn.write(&format!("GET {path} HTTP/1.1"), &[("Host", &host)], b"")?;
    let end = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let answer = conn.read(false)?.ok_or_else(end)?;
    Ok((answer.status(), String::from_utf8_lossy(&answer.body).into()))
}
