//! The parts that all cases share: the record, instances of the program, and backends.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Connection, Request},
    store::Store,
};

/// Connections that a backend accepts. One instance of the users' deployments has 50 / 12 to 68 / 12 of
/// them.
const MAX_CONNECTIONS: u32 = 5;

/// Time in which a started instance has to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self(Arc::new((
            Mutex::new(File::create(path)?),
            Instant::now(),
        ))))
    }

    pub fn line(&self, text: &str) {
        let ms = self.at(Instant::now());
        if let Ok(mut file) = self.0.0.lock() {
            let _ = writeln!(file, "{ms:>9.1} {text}");
        }
    }

    /// Returns a time in milliseconds since the start.
    pub fn at(&self, time: Instant) -> f64 {
        time.saturating_duration_since(self.0.1).as_secs_f64() * 1e3
    }
}

/// Returns consecutive free ports, others for each instance of each process.
fn free_ports(count: u16) -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let at = NEXT.fetch_add(1, Ordering::Relaxed);
        // Below the range from which the system hands out ports.
        let port = 11_000 + ((u64::from(std::process::id()) * 64 + at * 16) % 21_000) as u16;
        let free = (0..count).map_while(|at| TcpListener::bind(("127.0.0.1", port + at)).ok());
        if free.count() == usize::from(count) {
            return port;
        }
    }
}

/// A process of the program, with its settings in a folder of its own.
pub struct Instance {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
}

impl Instance {
    /// Prepares an instance with the settings of a small deployment.
    pub fn new(name: &str, zone: &str, store: SocketAddr) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let port = free_ports(8);
        let settings = format!(
            r#"{{"node": "{name}", "role": "edge", "machineClass": "edge", "serves": ["edge"],
"ip": "127.0.0.1", "zone": "{zone}", "region": "lv-riga", "zones": {{"riga-a": "lv-riga", "riga-b": "lv-riga", "riga-c": "lv-riga", "riga-d": "lv-riga"}},
"listen": {{"front": "127.0.0.1:{port}", "ready": "127.0.0.1:{}"}},
"internalPorts": [{}, {}], "seeds": [], "bootstrap": true, "countsAsLoss": false,
"limits": {{"cpuShare": 0.17, "cores": 1, "memoryMb": 182, "maxFds": 2870, "linkMbps": 700.0, "diskMb": 0}},
"dataDir": null, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
"contracts": ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"],
"tolerate": {{"machines": 2, "zones": 1, "regions": 0}},
"bounds": {{"seedLagS": 3, "reuseAfterS": 2, "settleWindowMs": 4000, "ackMs": 5000, "catchUpS": 4,
"drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250,
"skewMaxMs": 12000, "retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 104, "recoveryS": 12}},
"platform": {{"addr": "{store}", "form": "objects", "writesPerS": 400, "readsPerS": 2000,
"historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000}}}}"#,
            port + 1,
            port + 2,
            port + 7,
        );
        fs::write(folder.join("boot.json"), settings).expect("settings");
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            front: address(port),
            ready: address(port + 1),
            folder,
            child: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))?;
        let child = Command::new("target/release/briarcove")
            .arg("edge")
            .env("BRIARCOVE_CONFIG", self.folder.join("boot.json"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Removes the mark of the first start of the whole system.
    pub fn end_first_start(&self) {
        let path = self.folder.join("boot.json");
        let text = fs::read_to_string(&path).expect("settings");
        let text = text.replace("\"bootstrap\": true", "\"bootstrap\": false");
        fs::write(path, text).expect("settings");
    }

    pub fn is_ready(&self) -> bool {
        let reply = Connection::open(self.ready, Duration::from_secs(1))
            .and_then(|mut link| link.get("/-/ready", &[("Host", "platform")]));
        reply.is_ok_and(|reply| reply.status == 200)
    }

    /// Waits until the instance is ready; returns whether it is in time.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal by its name.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _ = Command::new("kill")
                .args([&format!("-{signal}"), &id])
                .status();
        }
    }

    /// Returns whether the process has ended, with its status.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Returns a number that is unique within the process.
pub fn next_number() -> u64 {
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// A request that a backend began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub backend: String,
    pub at: Instant,
    pub stamp: String,
    pub body: Vec<u8>,
}

/// The requests that all backends ran.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn add(&self, run: Run) {
        self.0.lock().expect("no panic").push(run);
    }

    pub fn all(&self) -> Vec<Run> {
        self.0.lock().expect("no panic").clone()
    }

    pub fn of(&self, id: &str) -> Vec<Run> {
        self.all().into_iter().filter(|run| run.id == id).collect()
    }
}

/// What a backend can do: the time that a request takes, and how many it runs at a time.
#[derive(Clone, Copy)]
pub struct Power {
    pub work: Duration,
    pub slots: u32,
}

/// A sound backend, which can be given a fault.
#[derive(Clone)]
pub struct Backend {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub born: u64,
    seq: Arc<AtomicU64>,
    power: Power,
    /// Number of free slots.
    free: Arc<(Mutex<u32>, Condvar)>,
}

/// A fault of a backend: gets the run and the sound answer, and returns whether it has answered in
/// place of the backend, and whether the connection is kept.
pub type Fault = Arc<dyn Fn(&Request, &Run, &[u8], &mut TcpStream) -> Option<bool> + Send + Sync>;

/// Refuses a request of an id before it runs: returns whether the connection is kept then.
pub type Refuse = Option<Arc<dyn Fn(&str, &mut TcpStream) -> Option<bool> + Send + Sync>>;

impl Backend {
    /// Starts a backend that answers after a time.
    pub fn start(
        name: &str,
        service: &str,
        zone: &str,
        power: Power,
        runs: &Runs,
        record: &Record,
        fault: Fault,
        refuse: Refuse,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let born = born.map_or(0, |it| it.as_millis() as u64);
        let backend = Self {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            born,
            seq: Arc::default(),
            power,
            free: Arc::new((Mutex::new(power.slots), Condvar::new())),
        };
        let (own, runs, record) = (backend.clone(), runs.clone(), record.clone());
        http::serve(listener, move |req, stream| {
            own.answer(req, stream, &runs, &record, &fault, &refuse)
        });
        backend
    }

    fn answer(
        &self,
        req: &Request,
        stream: &mut TcpStream,
        runs: &Runs,
        record: &Record,
        fault: &Fault,
        refuse: &Refuse,
    ) -> bool {
        let id = req.header("X-Request-Id").to_owned();
        if req.target == "/health" {
            let reply = http::encode(200, &[("X-Instance-Id", &self.name)], b"");
            return stream.write_all(&reply).is_ok();
        }
        let expected = req.header("X-Expect-Instance");
        if !expected.is_empty() && expected != self.name {
            let reply = http::encode(421, &[("X-Request-Id", &id), ("X-Not-Executed", "1")], b"");
            return stream.write_all(&reply).is_ok();
        }
        if id.is_empty() {
            return stream
                .write_all(&http::encode(400, &[("X-Not-Executed", "1")], b""))
                .is_ok();
        }
        if let Some(kept) = refuse.as_ref().and_then(|refuse| refuse(&id, stream)) {
            return kept;
        }
        let Some(slot) = self.take_slot(stream) else {
            return false;
        };
        let number = next_number();
        let run = Run {
            stamp: format!("{}.{number}", self.name),
            // One record, which no other answer has.
            body: format!("{number:016}").into_bytes(),
            id: id.clone(),
            backend: self.name.clone(),
            at: Instant::now(),
        };
        runs.add(run.clone());
        record.line(&format!(
            "run      {id} {} {} by {}",
            req.method, req.target, self.name
        ));
        if !work(stream, self.power.work) {
            record.line(&format!("dropped  {id} by {}", self.name));
            return false;
        }
        drop(slot);
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Server-Stamp", run.stamp.as_str()),
        ];
        let sound = http::encode(200, &headers, &run.body);
        match fault(req, &run, &sound, stream) {
            Some(kept) => kept,
            None => stream.write_all(&sound).is_ok(),
        }
    }

    /// Waits for a slot; `None` if the connection has closed meanwhile.
    fn take_slot(&self, stream: &TcpStream) -> Option<Slot> {
        let (free, changed) = &*self.free;
        let mut free = free.lock().expect("no panic");
        while *free == 0 {
            free = changed.wait(free).expect("no panic");
        }
        *free -= 1;
        drop(free);
        let slot = Slot(Arc::clone(&self.free));
        is_open(stream).then_some(slot)
    }

    /// Writes the backend's entry; returns the time of the acknowledgement.
    pub fn register(&self, store: &Store, state: &str) -> Instant {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let spec = format!(
            r#"{{"service":"{}","addr":"{}","zone":"{}","version":"v1","slots":4,"state":"{state}","coldLeftMs":0,"seq":{seq},"born":{}}}"#,
            self.service, self.address, self.zone, self.born
        );
        store.put("servers", &self.name, spec.as_bytes())
    }
}

/// A slot that is taken; dropping it frees it.
struct Slot(Arc<(Mutex<u32>, Condvar)>);

impl Drop for Slot {
    fn drop(&mut self) {
        *self.0.0.lock().expect("no panic") += 1;
        self.0.1.notify_one();
    }
}

/// Works for a time; returns false if the connection has closed meanwhile.
pub fn work(stream: &TcpStream, time: Duration) -> bool {
    const STEP: Duration = Duration::from_millis(5);
    let mut left = time;
    while !left.is_zero() && is_open(stream) {
        thread::sleep(STEP.min(left));
        left = left.saturating_sub(STEP);
    }
    is_open(stream)
}

fn is_open(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0];
    let is_open = match stream.peek(&mut byte) {
        Ok(read) => read > 0,
        Err(e) => e.kind() == io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    is_open
}

/// Returns a sound backend's fault: none.
pub fn no_fault() -> Fault {
    Arc::new(|_, _, _, _| None)
}

/// A route to one service.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout_ms: u64) -> String {
    format!(
        r#"{{"name":"{name}","host":"dts.example","pathPrefix":"{prefix}","routeType":"{kind}","timeoutMs":{timeout_ms},"targetLatencyMs":500,"priority":1,"service":"{service}","maxAttempts":2}}"#
    )
}

/// A route to all shards of an index.
pub fn gather(name: &str, prefix: &str, shards: &[String], timeout_ms: u64) -> String {
    let shards: Vec<String> = shards.iter().map(|it| format!("\"{it}\"")).collect();
    format!(
        r#"{{"name":"{name}","host":"dts.example","pathPrefix":"{prefix}","routeType":"idempotent","timeoutMs":{timeout_ms},"targetLatencyMs":120,"priority":1,"gather":[{}],"maxAttempts":2,"topK":10,"minCoverage":0.5}}"#,
        shards.join(",")
    )
}

/// Writes a configuration as the operator does; returns the time of the acknowledgement.
pub fn configure(store: &Store, version: u64, routes: &[String], services: &[&str]) -> Instant {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(r#"{{"name":"{name}","healthPath":"/health","maxConns":{MAX_CONNECTIONS},"protocol":"h1","tls":false}}"#)
        })
        .collect();
    let spec = format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(","),
        services.join(",")
    );
    store.put("config", "main", spec.as_bytes())
}

/// Counts of answers by status, for the summary.
#[derive(Clone, Default)]
pub struct Tally(Arc<Mutex<BTreeMap<String, u64>>>);

impl Tally {
    pub fn add(&self, what: &str) {
        *self
            .0
            .lock()
            .expect("no panic")
            .entry(what.to_owned())
            .or_default() += 1;
    }
}

impl std::fmt::Display for Tally {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}", self.0.lock().expect("no panic"))
    }
}
