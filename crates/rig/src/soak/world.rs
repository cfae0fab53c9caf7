//! Instances, upstreams and the store, with proxies between them.

use std::{
    collections::BinaryHeap,
    io,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use super::{
    check::Outage,
    plan::{Fault, ScheduledFault},
    proxy::{Condition, Proxy, wait_for},
};
use crate::edge::{Arrival, Availability, Behaviour, Site, Upstream, route_gather, route_one};

/// Shards of the index, each with two replicas.
pub(super) const SHARDS: [&str; 6] = [
    "shard-a", "shard-b", "shard-c", "shard-d", "shard-e", "shard-f",
];

/// Share of the shards that an answer needs.
pub(super) const LEAST: f64 = 0.6;

/// Parts of a core that instances have; the smallest hands its searches over.
const POWERS: [f64; 3] = [1.0, 0.5, 0.01];

/// Records of instances that are gone in a world that seems to have many.
const GONE_INSTANCES: usize = 45;

/// How an upstream replies while nothing is wrong with it.
const USUAL: Behaviour = Behaviour::Replies(Duration::from_millis(4));

/// Time after its start in which a signal may end a process that can't have heard of it yet (seed
/// 68); the platform starts a process that ends again.
const UNAWARE: Duration = Duration::from_millis(100);

/// Interval at which it is looked whether instances have ended.
const LOOK: Duration = Duration::from_millis(40);

/// Longest time until an instance has ended after it was told to.
const STOP_WITHIN: Duration = Duration::from_secs(8);

/// Everything of one run.
pub(super) struct World {
    pub(super) sites: Vec<Site>,
    upstreams: Vec<Upstream>,
    upstream_ways: Vec<Proxy>,
    store_ways: Vec<Proxy>,
    pub(super) outages: Vec<Outage>,
    version: u64,
    seq: u64,
    program: Box<Path>,
    /// Instances that stand still.
    frozen: [bool; POWERS.len()],
    /// When each instance was frozen last.
    frozen_at: [Instant; POWERS.len()],
    /// When each instance was started last.
    started: Vec<Instant>,
    /// Instances that ended without being told to.
    pub(super) ended: Vec<String>,
    /// What is undone later, and when.
    undone: BinaryHeap<Undo>,
}

/// The end of a fault; the earliest is the greatest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Undo {
    at: Instant,
    fault: Fault,
}

impl Ord for Undo {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.at.cmp(&self.at)
    }
}

impl PartialOrd for Undo {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl World {
    /// Starts everything and waits until all instances are ready.
    pub(super) fn start(program: &Path, folder: &Path, seems_large: bool) -> io::Result<Self> {
        let first = Site::new(&folder.join("instance-0"))?;
        if seems_large {
            for other in 0..GONE_INSTANCES {
                let spec = json!({"dataCentre": "there", "power": 0.01, "removals": 0,
                    "address": format!("127.0.0.1:{}", 100 + other)});
                let name = format!("gone-{other}");
                first.store.put("briarcove-instances", &name, spec);
            }
        }
        let mut sites = vec![first];
        for (at, power) in POWERS.iter().enumerate().skip(1) {
            let folder = folder.join(format!("instance-{at}"));
            let name = format!("edge-here-{}", at + 1);
            sites.push(sites[0].sharing_store(&folder, &name, *power)?);
        }
        let mut world = Self {
            sites,
            upstreams: Vec::new(),
            upstream_ways: Vec::new(),
            store_ways: Vec::new(),
            outages: Vec::new(),
            version: 0,
            seq: 1,
            program: program.into(),
            frozen: [false; POWERS.len()],
            frozen_at: [Instant::now(); POWERS.len()],
            started: vec![Instant::now(); POWERS.len()],
            ended: Vec::new(),
            undone: BinaryHeap::new(),
        };
        for service in SHARDS.iter().chain(&["desk"]) {
            for replica in 1..=2 {
                let name = format!("{service}-{replica}");
                let upstream = Upstream::start(&name, service, USUAL).map_err(io::Error::other)?;
                world.upstream_ways.push(Proxy::start(upstream.address())?);
                world.upstreams.push(upstream);
            }
        }
        for at in 0..world.upstreams.len() {
            world.register(at, "ready");
        }
        world.configure();
        for site in &mut world.sites {
            let way = Proxy::start(site.store_address())?;
            site.set_store_address(way.address());
            world.store_ways.push(way);
            site.spawn(program)?;
        }
        let ready = wait_for(Duration::from_secs(10), || world.is_ready());
        ready
            .then_some(world)
            .ok_or_else(|| io::Error::other("the instances did not get ready"))
    }

    pub(super) fn is_ready(&self) -> bool {
        self.sites.iter().all(Site::is_ready)
    }

    /// Returns the requests that reached upstreams.
    pub(super) fn arrivals(&self) -> Vec<Arrival> {
        self.upstreams.iter().flat_map(Upstream::arrivals).collect()
    }

    /// Lets faults happen at their times, and undoes them; everything is sound afterwards.
    pub(super) fn play(&mut self, plan: &[ScheduledFault]) -> io::Result<()> {
        let start = Instant::now();
        for planned in plan {
            self.undo_until(start + planned.at)?;
            self.begin(planned.fault)?;
            let at = Instant::now() + planned.duration;
            self.undone.push(Undo {
                at,
                fault: planned.fault,
            });
        }
        while let Some(next) = self.undone.peek().map(|undo| undo.at) {
            self.undo_until(next)?;
        }
        Ok(())
    }

    /// Waits until a time and undoes what is due before it.
    fn undo_until(&mut self, until: Instant) -> io::Result<()> {
        while let Some(undo) = self.undone.peek().copied().filter(|undo| undo.at <= until) {
            self.undone.pop();
            self.wait_until(undo.at)?;
            self.end(undo.fault)?;
        }
        self.wait_until(until)
    }

    /// Waits, and starts instances again that have ended by themselves.
    pub(super) fn wait_until(&mut self, until: Instant) -> io::Result<()> {
        loop {
            for at in 0..self.sites.len() {
                if self.has_outage(at) || !self.sites[at].has_ended() {
                    continue;
                }
                self.open_outage(at, false);
                if self.started[at].elapsed() > UNAWARE {
                    self.ended.push(format!("instance {at} ended by itself"));
                }
                self.start_again(at)?;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            thread::sleep(left.min(LOOK));
        }
    }

    fn begin(&mut self, fault: Fault) -> io::Result<()> {
        let instances = self.sites.len();
        let upstreams = self.upstreams.len();
        match fault {
            Fault::UpstreamWay(at, how) => self.upstream_ways[at % upstreams].set(how),
            Fault::StoreWay(at, how) => self.store_ways[at % instances].set(how),
            Fault::ResetUpstream(at) => self.upstream_ways[at % upstreams].reset(),
            Fault::ResetStore(at) => self.store_ways[at % instances].reset(),
            Fault::Freeze(at) => self.freeze(at % instances)?,
            Fault::Kill(at) => self.kill(at % instances)?,
            Fault::Stop(at) => self.stop(at % instances)?,
            Fault::KillAll => (0..instances).try_for_each(|at| self.kill(at))?,
            Fault::Reload => {
                for _ in 0..3 {
                    let running = self.sites.iter().filter(|site| site.is_running());
                    running.for_each(|site| ignore_gone(site.signal(Signal::SIGHUP)));
                }
            }
            Fault::Behave(at, how) => self.upstreams[at % upstreams].set_behaviour(how),
            Fault::Store(availability) => self.sites[0].store.set_availability(availability),
            Fault::Compact => self.sites[0].store.compact(),
            Fault::Configure => self.configure(),
            Fault::Drain(at) => self.register(at % upstreams, "draining"),
            Fault::Lapse(at) => {
                let name = self.upstreams[at % upstreams].name();
                self.sites[0].store.remove("servers", name);
            }
        }
        Ok(())
    }

    fn end(&mut self, fault: Fault) -> io::Result<()> {
        let instances = self.sites.len();
        let upstreams = self.upstreams.len();
        match fault {
            Fault::UpstreamWay(at, _) => self.upstream_ways[at % upstreams].set(Condition::Sound),
            Fault::StoreWay(at, _) => self.store_ways[at % instances].set(Condition::Sound),
            Fault::Freeze(at) => self.thaw(at % instances),
            Fault::Kill(at) | Fault::Stop(at) => self.start_again(at % instances)?,
            Fault::KillAll => (0..instances).try_for_each(|at| self.start_again(at))?,
            Fault::Behave(at, _) => self.upstreams[at % upstreams].set_behaviour(USUAL),
            Fault::Store(_) => self.sites[0].store.set_availability(Availability::Sound),
            Fault::Drain(at) | Fault::Lapse(at) => self.register(at % upstreams, "ready"),
            Fault::ResetUpstream(_)
            | Fault::ResetStore(_)
            | Fault::Reload
            | Fault::Compact
            | Fault::Configure => {}
        }
        Ok(())
    }

    /// Writes the entry of an upstream, at the address of its proxy.
    fn register(&mut self, at: usize, state: &str) {
        self.seq += 1;
        let mut entry = self.upstreams[at].entry(state);
        entry["addr"] = json!(self.upstream_ways[at].address().to_string());
        entry["seq"] = json!(self.seq);
        self.sites[0]
            .store
            .put("servers", self.upstreams[at].name(), entry);
    }

    /// Writes a configuration with one route more than the last.
    fn configure(&mut self) {
        self.version += 1;
        let mut routes: Vec<Value> = vec![
            route_gather("/search/", &SHARDS, LEAST, 200),
            route_one("/status/", "desk", true),
            route_one("/order/", "desk", false),
        ];
        let more = (1..=self.version).map(|n| route_one(&format!("/new-{n}/"), "desk", true));
        routes.extend(more);
        let services: Vec<&str> = SHARDS.iter().copied().chain(["desk"]).collect();
        self.sites[0].configure(self.version, &routes, &services);
    }

    /// Returns the path of the newest route.
    pub(super) fn newest(&self) -> String {
        format!("/new-{}/1", self.version)
    }

    fn has_outage(&self, at: usize) -> bool {
        let mut open = self.outages.iter().filter(|it| it.to.is_none());
        open.any(|outage| outage.instance == at)
    }

    fn open_outage(&mut self, instance: usize, is_graceful: bool) {
        self.outages.push(Outage {
            instance,
            from: Instant::now(),
            to: None,
            is_graceful,
        });
    }

    fn close_outage(&mut self, instance: usize) {
        let open = self.outages.iter_mut();
        for outage in open.filter(|it| it.instance == instance && it.to.is_none()) {
            outage.to = Some(Instant::now());
        }
    }

    fn freeze(&mut self, at: usize) -> io::Result<()> {
        if self.has_outage(at) {
            return Ok(());
        }
        self.open_outage(at, false);
        self.frozen[at] = true;
        self.frozen_at[at] = Instant::now();
        self.sites[at].signal(Signal::SIGSTOP)
    }

    fn thaw(&mut self, at: usize) {
        if std::mem::take(&mut self.frozen[at]) {
            // A process that was frozen before its first code has heard of no signal yet (seed 829).
            self.started[at] += self.frozen_at[at].elapsed();
            ignore_gone(self.sites[at].signal(Signal::SIGCONT));
            self.close_outage(at);
        }
    }

    fn kill(&mut self, at: usize) -> io::Result<()> {
        if !self.sites[at].is_running() {
            return Ok(());
        }
        self.frozen[at] = false;
        self.open_outage(at, false);
        ignore_gone(self.sites[at].signal(Signal::SIGKILL));
        self.sites[at].wait().map(|_| ())
    }

    fn stop(&mut self, at: usize) -> io::Result<()> {
        if self.has_outage(at) {
            return Ok(());
        }
        self.open_outage(at, true);
        self.sites[at].signal(Signal::SIGTERM)
    }

    /// Starts an instance again once it has ended.
    fn start_again(&mut self, at: usize) -> io::Result<()> {
        // A stop that met a frozen instance was left out, and with it its end (seed 117).
        if self.frozen[at] {
            return Ok(());
        }
        let site = &mut self.sites[at];
        if site.is_running()
            && !self
                .outages
                .iter()
                .any(|it| it.instance == at && it.to.is_none())
        {
            return Ok(());
        }
        if site.is_running() {
            let ended = wait_for(STOP_WITHIN, || site.has_ended());
            if !ended {
                return Err(io::Error::other("an instance does not end"));
            }
            site.wait()?;
        }
        let program = self.program.clone();
        self.sites[at].spawn(&program)?;
        self.started[at] = Instant::now();
        self.close_outage(at);
        Ok(())
    }
}

/// A signal to a process that has just ended is lost, as it would be for its operator.
fn ignore_gone(sent: io::Result<()>) {
    let _ = sent;
}
