//! Entry instances: the project's own program, started as the deploy file does.

use std::{
    fs,
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// Bounds of a small deployment (`further/LATER.md`).
const BOUNDS: &str = r#"{"seedLagS":3,"reuseAfterS":2,"settleWindowMs":4000,"ackMs":5000,"catchUpS":4,"drainMs":3000,"graceS":6,"lossSlackMs":200,"configApplyMs":3000,"rollbackSlackMs":250,"skewMaxMs":12000,"retryBudgetRatio":0.2,"retryWindowS":10,"retrySlack":104,"recoveryS":12}"#;

/// A running instance; dropping it kills the process.
pub struct Edge {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Edge {
    /// Starts an instance at a loopback address; its settings and log are in `folder`.
    pub fn start(folder: &Path, name: &str, ip: IpAddr, zone: &str, store: SocketAddr) -> Self {
        let ports: Vec<u16> = free_ports(ip);
        let [front, ready, inner] = ports[..] else {
            panic!("three ports")
        };
        let last = inner + 15;
        let settings = format!(
            r#"{{"node":"{name}","role":"edge","machineClass":"edge","serves":["edge"],"ip":"{ip}","zone":"{zone}","region":"prairie","zones":{{"prairie-a":"prairie","prairie-b":"prairie"}},"listen":{{"front":"{ip}:{front}","ready":"{ip}:{ready}"}},"internalPorts":[{inner},{last}],"seeds":[],"bootstrap":true,"countsAsLoss":false,"limits":{{"cpuShare":0.17,"cores":1,"memoryMb":182,"maxFds":2870,"linkMbps":700.0,"diskMb":0}},"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1200,"contracts":["base","drain","config","cost","retry","recover","scatter","platform"],"tolerate":{{"machines":2,"zones":1,"regions":0}},"bounds":{BOUNDS},"platform":{{"addr":"{store}","form":"objects","writesPerS":400,"readsPerS":2000,"historyS":20,"valueBytes":1048576,"minTtlMs":1000}}}}"#
        );
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("a writable folder");
        let log = fs::File::create(folder.join(format!("{name}.log"))).expect("a writable folder");
        let errors = log.try_clone().expect("a second handle");
        let child = Command::new(program())
            .arg("edge")
            .env_clear()
            .env("BRIARCOVE_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program of the deploy file");
        // For run.sh, which ends the process if this program was ended before.
        let pid = folder.join(format!("{name}.pid"));
        fs::write(pid, child.id().to_string()).expect("a writable folder");
        Self {
            front: SocketAddr::new(ip, front),
            ready: SocketAddr::new(ip, ready),
            child,
        }
    }

    /// Waits until the instance is ready; false if it isn't in time.
    pub fn await_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if crate::client::get(self.ready, "/-/ready", &[]).is_ok_and(|it| it.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn program() -> PathBuf {
    PathBuf::from("target/release/briarcove")
}

/// Returns three free ports, the last one with free ports behind it.
fn free_ports(ip: IpAddr) -> Vec<u16> {
    let listeners: Vec<TcpListener> = (0..3)
        .map(|_| TcpListener::bind((ip, 0)).expect("a free port"))
        .collect();
    let mut ports: Vec<u16> = listeners
        .iter()
        .map(|it| it.local_addr().expect("an address").port())
        .collect();
    // Ports behind the one for instances need not be free of other programs at this address.
    if ports[2] > 60_000 {
        ports[2] -= 5_000;
    }
    ports
}

/// Opens a connection to an instance.
pub fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    Ok(stream)
}
