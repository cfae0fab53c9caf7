//! One instance on the stand-in, and callers.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};

use super::{Store, Upstream};
use crate::{client::Client, server::Server};

/// Longest wait for an instance to be ready.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// An answer to a caller.
pub type Answer = Response<Bytes>;

/// A store, upstreams and one instance as a process of its own.
pub struct Site {
    /// The object store.
    pub store: Store,
    /// Data centre of the instance.
    pub data_centre: &'static str,
    server: Arc<Server>,
    instance: String,
    cpu_share: f64,
    folder: PathBuf,
    child: Option<Child>,
    callers: SocketAddr,
    readiness: SocketAddr,
    /// Where the instance reaches the store.
    store_at: SocketAddr,
    /// Address of the metrics; other instances use the port after it.
    metrics: SocketAddr,
    /// Hold the ports until the site is dropped.
    _claims: [UdpSocket; 3],
}

impl Site {
    /// Makes a site without an instance; files go below `folder`.
    ///
    /// # Errors
    ///
    /// Fails when the store can't be served.
    pub fn new(folder: &Path) -> io::Result<Self> {
        let store = Store::default();
        let server = store.serve().map_err(io::Error::other)?;
        Self::make(store, Arc::new(server), folder, "edge-here-1", 0.5)
    }

    /// Makes a place for another instance on the same store, with a part of a core.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub fn sharing_store(&self, folder: &Path, instance: &str, cpu_share: f64) -> io::Result<Self> {
        let server = Arc::clone(&self.server);
        Self::make(self.store.clone(), server, folder, instance, cpu_share)
    }

    fn make(
        store: Store,
        server: Arc<Server>,
        folder: &Path,
        instance: &str,
        cpu_share: f64,
    ) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let store_at = server.addresses()[0];
        let (callers, claim_callers) = free_address()?;
        let (readiness, claim_readiness) = free_address()?;
        let (metrics, claim_metrics) = free_address()?;
        Ok(Self {
            store,
            data_centre: "here",
            server,
            store_at,
            instance: instance.to_owned(),
            cpu_share,
            folder: folder.to_owned(),
            child: None,
            callers,
            readiness,
            metrics,
            _claims: [claim_callers, claim_readiness, claim_metrics],
        })
    }

    /// Writes the entry of an upstream.
    pub fn register(&self, upstream: &Upstream, state: &str) {
        self.store
            .put("servers", upstream.name(), upstream.entry(state));
    }

    /// Writes a configuration with routes and the services that they name.
    pub fn configure(&self, version: u64, routes: &[Value], services: &[&str]) {
        let services = services.iter().map(|name| {
            json!({"name": name, "healthPath": "/health", "maxConns": 50, "protocol": "h1",
                "tls": false})
        });
        let services: Vec<Value> = services.collect();
        let spec = json!({"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262_144,
                "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}});
        self.store.put("config", "main", spec);
    }

    /// Returns the address of the store.
    pub fn store_address(&self) -> SocketAddr {
        self.server.addresses()[0]
    }

    /// Has the instance reach the store at another address, from its next start on.
    pub fn set_store_address(&mut self, address: SocketAddr) {
        self.store_at = address;
    }

    /// Starts the instance; its log goes on where it ended.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub fn spawn(&mut self, program: &Path) -> io::Result<()> {
        let settings = self.folder.join("boot.json");
        fs::write(&settings, self.settings().to_string())?;
        let log = self.folder.join("log");
        let log = fs::File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .args(["edge", "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns whether the instance was started and not waited for yet.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        // A process that can't be asked for is not there.
        child.is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Starts the instance with a new log and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Fails when it does not start or does not get ready.
    pub fn start(&mut self, program: &Path) -> io::Result<()> {
        fs::write(self.folder.join("log"), "")?;
        self.spawn(program)?;
        let end = Instant::now() + READY_WITHIN;
        while Instant::now() < end {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("the instance did not get ready"))
    }

    fn settings(&self) -> Value {
        let port = self.metrics.port();
        json!({
            "node": self.instance, "zone": self.data_centre, "region": "near",
            "listen": {"front": self.callers.to_string(), "ready": self.readiness.to_string()},
            "internalPorts": [port, port + 1],
            "limits": {"maxFds": 2870, "cpuShare": self.cpu_share},
            "bounds": {"graceS": 6, "configApplyMs": 3000, "drainMs": 3000,
                "retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 100},
            "platform": {"addr": self.store_at.to_string()},
        })
    }

    /// Returns whether the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        let req = Request::get("/-/ready").body(Full::default());
        let Ok(req) = req else { return false };
        self.exchange(self.readiness, req)
            .is_ok_and(|reply| reply.status().is_success())
    }

    /// Returns the address of the operators' endpoints.
    pub fn operator_address(&self) -> SocketAddr {
        self.metrics
    }

    /// Returns the metrics as text.
    ///
    /// # Errors
    ///
    /// Fails when the instance does not answer.
    pub fn metrics(&self) -> io::Result<String> {
        let req = Request::get("/metrics").body(Full::default());
        let reply = self.exchange(self.metrics, req.map_err(io::Error::other)?)?;
        String::from_utf8(reply.into_body().to_vec()).map_err(io::Error::other)
    }

    /// Sends a request on a connection of its own and returns the answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection closes without an answer.
    pub fn ask(&self, method: &str, path: &str, id: &str, left_ms: u64) -> io::Result<Answer> {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "search.example")
            .header("x-request-id", id)
            .header("x-timeout-remaining", left_ms.to_string())
            .body(Full::default())
            .map_err(io::Error::other)?;
        self.exchange(self.callers, req)
    }

    fn exchange(&self, address: SocketAddr, req: Request<Full<Bytes>>) -> io::Result<Answer> {
        let runtime = compio::runtime::Runtime::new()?;
        runtime.block_on(async {
            let mut client = Client::connect(address).await.map_err(io::Error::other)?;
            client.send(req).await.map_err(io::Error::other)
        })
    }

    /// Returns the address on which callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the processor time that the instance has used.
    ///
    /// # Errors
    ///
    /// Fails when the instance is not running.
    pub fn cpu_time(&self) -> io::Result<Duration> {
        /// Clock ticks of a second in the file of the process.
        const TICKS_PER_SECOND: u64 = 100;
        let child = self
            .child
            .as_ref()
            .ok_or_else(|| io::Error::other("not started"))?;
        let stat = fs::read_to_string(format!("/proc/{}/stat", child.id()))?;
        let fields = stat.rsplit(')').next().unwrap_or("").split_whitespace();
        let ticks: u64 = fields
            .skip(11)
            .take(2)
            .filter_map(|ticks| ticks.parse::<u64>().ok())
            .sum();
        Ok(Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND))
    }

    /// Sends a signal to the instance.
    ///
    /// # Errors
    ///
    /// Fails when the instance is not running.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let child = self
            .child
            .as_ref()
            .ok_or_else(|| io::Error::other("not started"))?;
        let id = i32::try_from(child.id()).map_err(io::Error::other)?;
        kill(Pid::from_raw(id), signal).map_err(io::Error::other)
    }

    /// Waits for the instance to end and returns its exit code.
    ///
    /// # Errors
    ///
    /// Fails when the instance is not running.
    pub fn wait(&mut self) -> io::Result<Option<i32>> {
        let mut child = self
            .child
            .take()
            .ok_or_else(|| io::Error::other("not started"))?;
        Ok(child.wait()?.code())
    }

    /// Returns the lines that the instance has written.
    ///
    /// # Errors
    ///
    /// Fails when the log can't be read.
    pub fn log(&self) -> io::Result<String> {
        fs::read_to_string(self.folder.join("log"))
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// First port that a site may use; the system hands out none below 32,768 by itself.
const FIRST_PORT: u32 = 12_000;

/// Ports that sites may use.
const PORTS: u32 = 20_000;

/// Ports that were tried by this process.
static TRIED: AtomicU32 = AtomicU32::new(0);

/// Returns an address that nothing listens on, nor on the port after it, and that no other listener
/// is given meanwhile.
fn free_address() -> io::Result<(SocketAddr, UdpSocket)> {
    // Processes that run side by side start at different ports.
    let first = std::process::id().wrapping_mul(97);
    for _ in 0..PORTS {
        let tried = TRIED.fetch_add(2, Ordering::Relaxed);
        let port = FIRST_PORT + first.wrapping_add(tried) % PORTS;
        let port = u16::try_from(port).map_err(io::Error::other)?;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let next = SocketAddr::from((Ipv4Addr::LOCALHOST, port + 1));
        // The datagram socket claims the port against other processes also while an instance that
        // was killed does not listen.
        let Ok(claim) = UdpSocket::bind(address) else {
            continue;
        };
        if TcpListener::bind(address).is_ok() && TcpListener::bind(next).is_ok() {
            return Ok((address, claim));
        }
    }
    Err(io::Error::other("no port is free"))
}

/// Makes a route that asks all of `shards`.
pub fn route_gather(prefix: &str, shards: &[&str], least: f64, aim_ms: u64) -> Value {
    json!({"name": format!("r{prefix}"), "host": "search.example", "pathPrefix": prefix,
        "routeType": "idempotent", "timeoutMs": 1200, "targetLatencyMs": aim_ms, "priority": 1,
        "gather": shards, "maxAttempts": 2, "topK": 10, "minCoverage": least})
}

/// Makes a route to one service.
pub fn route_one(prefix: &str, service: &str, idempotent: bool) -> Value {
    let kind = if idempotent {
        "idempotent"
    } else {
        "non_idempotent"
    };
    json!({"name": format!("r{prefix}"), "host": "search.example", "pathPrefix": prefix,
        "routeType": kind, "timeoutMs": 2000, "targetLatencyMs": 500, "priority": 2,
        "service": service, "maxAttempts": 2})
}
