//! The processes of a run: instances, upstreams and the store, connected through proxies.

mod ended;

use std::{
    collections::BinaryHeap,
    io,
    path::Path,
    sync::{Arc, atomic::AtomicBool},
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use ended::Ended;

use super::{
    check::Outage,
    crashing::Ends,
    cuts::{Cut, CutOff, Cuts, upstream_ip},
    organisations::{self, ORGANISATIONS},
    plan::{Fault, INSTANCES, ScheduledFault},
    proxy::{Condition, Proxy, wait_for},
    upgrade::Programs,
};
use crate::edge::{
    Arrival, Availability, Behaviour, ConfigOptions, Site, Upstream, route_gather, route_one,
};

/// Shards of the index.
pub(super) const SHARDS: [&str; 6] = [
    "shard-a", "shard-b", "shard-c", "shard-d", "shard-e", "shard-f",
];

/// Number of upstreams of each service.
const REPLICAS: usize = 2;

/// The same in a run in which upstreams end, so that mostly one is left.
const REPLICAS_WITH_ENDS: usize = 4;

/// Minimum share of the shards in a successful answer.
pub(super) const MIN_COVERAGE: f64 = 0.6;

/// CPU share of each instance, in cores. The smallest makes its instance hand searches over.
const CPU_SHARES: [f64; INSTANCES] = [1.0, 0.5, 0.01];

/// Number of stale instance records in a run that appears to have a large fleet.
const STALE_RECORDS: usize = 45;

/// Requests a second that cold upstreams bear.
pub(super) const COLD_RATE: f64 = 4.0;

/// Time for which upstreams are cold after a start.
const COLD_TIME: Duration = Duration::from_secs(3);

/// Behaviour of an upstream without a fault.
const NORMAL_BEHAVIOUR: Behaviour = Behaviour::Replies(Duration::from_millis(4));

/// Time after its start in which a process may not have installed its signal handlers, so that a
/// signal ends it (seed 68). This is no violation: the platform restarts processes that exit.
const SIGNAL_SETUP_TIME: Duration = Duration::from_millis(100);

/// Time after a drill until upstreams and the operator have written their objects again.
const REWRITE_DELAY: Duration = Duration::from_millis(900);

/// Interval at which instances are checked for unexpected exits.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Time in which an instance must exit after it was asked to shut down.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// All processes of one run.
pub(super) struct Deployment {
    pub(super) sites: Vec<Site>,
    upstreams: Vec<Upstream>,
    upstream_proxies: Vec<Proxy>,
    store_proxies: Vec<Proxy>,
    pub(super) outages: Vec<Outage>,
    cuts: Arc<Cuts>,
    /// Times in which instances were cut off from all upstreams.
    pub(super) cut_off: Vec<CutOff>,
    version: u64,
    /// Whether the configuration has organisations.
    has_organisations: bool,
    /// Whether upstreams that have ended by themselves come back cold.
    pub(super) returns_cold: bool,
    seq: u64,
    programs: Programs,
    /// Whether each instance is paused.
    paused: [bool; CPU_SHARES.len()],
    /// Time at which each instance was last paused.
    paused_at: [Instant; CPU_SHARES.len()],
    /// Time at which each instance was last started, shifted by its pauses since then.
    started: Vec<Instant>,
    /// Descriptions of unexpected exits of instances.
    pub(super) unexpected_exits: Vec<String>,
    /// Draws the ends of upstreams, in a run that has them.
    ends: Option<Ends>,
    /// Upstreams that have ended.
    ended: Vec<Ended>,
    /// Upstreams whose behaviour or network path changed, with the times from and until when.
    pub(super) disturbed: Vec<(String, Instant, Instant)>,
    /// Faults that are still to be reverted, the earliest first.
    pending_reverts: BinaryHeap<Revert>,
}

/// A scheduled end of a fault. The order is reversed, so that the earliest is the greatest and
/// [`BinaryHeap`] returns it first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Revert {
    at: Instant,
    fault: Fault,
}

impl Ord for Revert {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.at.cmp(&self.at)
    }
}

impl PartialOrd for Revert {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Deployment {
    /// Starts everything and waits until all instances are ready.
    pub(super) fn start(
        programs: Programs,
        folder: &Path,
        with_stale_records: bool,
        has_organisations: bool,
        ends: Option<Ends>,
    ) -> io::Result<Self> {
        let first = Site::new(&folder.join("instance-0"))?;
        if with_stale_records {
            for other in 0..STALE_RECORDS {
                let spec = json!({"dataCentre": "there", "power": 0.01, "removals": 0,
                    "address": format!("127.0.0.1:{}", 100 + other)});
                let name = format!("gone-{other}");
                first.store.put("briarcove-instances", &name, spec);
            }
        }
        let mut sites = vec![first];
        for (at, cpu_share) in CPU_SHARES.iter().enumerate().skip(1) {
            let folder = folder.join(format!("instance-{at}"));
            let name = format!("edge-here-{}", at + 1);
            sites.push(sites[0].sharing_store(&folder, &name, *cpu_share)?);
        }
        let mut deployment = Self {
            sites,
            upstreams: Vec::new(),
            upstream_proxies: Vec::new(),
            store_proxies: Vec::new(),
            outages: Vec::new(),
            cuts: Arc::default(),
            cut_off: Vec::new(),
            version: 0,
            has_organisations,
            returns_cold: false,
            seq: 1,
            programs,
            paused: [false; CPU_SHARES.len()],
            paused_at: [Instant::now(); CPU_SHARES.len()],
            started: vec![Instant::now(); CPU_SHARES.len()],
            unexpected_exits: Vec::new(),
            ends,
            ended: Vec::new(),
            disturbed: Vec::new(),
            pending_reverts: BinaryHeap::new(),
        };
        let replicas = match deployment.ends {
            Some(_) => REPLICAS_WITH_ENDS,
            None => REPLICAS,
        };
        for service in SHARDS.iter().chain(&["desk"]) {
            for replica in 1..=replicas {
                let name = format!("{service}-{replica}");
                let upstream =
                    Upstream::start(&name, service, NORMAL_BEHAVIOUR).map_err(io::Error::other)?;
                deployment.upstream_proxies.push(Proxy::start(
                    upstream.address(),
                    upstream.has_crashed(),
                    &deployment.cuts,
                )?);
                deployment.upstreams.push(upstream);
            }
        }
        for at in 0..deployment.upstreams.len() {
            deployment.register(at, "ready");
        }
        deployment.configure();
        // The refusals of an upstream that has ended are those of its proxy's first address only,
        // and a follower gets its upstreams from another instance, at that one's address.
        let has_views = deployment.ends.is_none() && !with_stale_records;
        if has_views {
            for (proxy, upstream) in deployment
                .upstream_proxies
                .iter()
                .zip(&deployment.upstreams)
            {
                proxy.tell_instances_apart(upstream.address())?;
            }
        }
        for (at, site) in deployment.sites.iter_mut().enumerate() {
            site.key = has_organisations.then_some(ORGANISATIONS[0].1);
            let never = Arc::new(AtomicBool::new(false));
            if has_views {
                site.see_upstreams_at(upstream_ip(at))?;
            }
            let proxy = Proxy::start(site.store_address(), &never, &Arc::default())?;
            site.set_store_address(proxy.address());
            deployment.store_proxies.push(proxy);
            site.spawn(deployment.programs.of(at))?;
        }
        let ready = wait_for(Duration::from_secs(10), || deployment.is_ready());
        ready
            .then_some(deployment)
            .ok_or_else(|| io::Error::other("the instances did not become ready within 10 s"))
    }

    pub(super) fn is_ready(&self) -> bool {
        self.sites.iter().all(Site::is_ready)
    }

    /// Returns the requests that upstreams received.
    pub(super) fn arrivals(&self) -> Vec<Arrival> {
        self.upstreams.iter().flat_map(Upstream::arrivals).collect()
    }

    /// Injects the faults of a plan at their times and reverts all of them.
    pub(super) fn run_plan(&mut self, plan: &[ScheduledFault]) -> io::Result<()> {
        let start = Instant::now();
        for planned in plan {
            self.revert_until(start + planned.at)?;
            self.inject(planned.fault)?;
            let at = Instant::now() + planned.duration;
            self.note_disturbed(planned.fault, at);
            self.pending_reverts.push(Revert {
                at,
                fault: planned.fault,
            });
        }
        while let Some(next) = self.pending_reverts.peek().map(|revert| revert.at) {
            self.revert_until(next)?;
        }
        Ok(())
    }

    /// Notes which upstreams a fault disturbs and which instances it cuts off, until a time.
    fn note_disturbed(&mut self, fault: Fault, until: Instant) {
        let now = Instant::now();
        match fault {
            Fault::UpstreamWay(at, _) | Fault::ResetUpstream(at) => {
                let upstream = self.upstreams[at % self.upstreams.len()].name();
                self.disturbed.push((upstream, now, until));
            }
            Fault::CutOff(instances, _) => {
                let names = self.upstreams.iter().map(Upstream::name);
                self.disturbed.extend(names.map(|name| (name, now, until)));
                let cut = instances
                    .into_iter()
                    .enumerate()
                    .filter(|(_, is_cut)| *is_cut);
                self.cut_off.extend(cut.map(|(instance, _)| CutOff {
                    instance,
                    from: now,
                    to: until,
                }));
            }
            _ => {}
        }
    }

    /// Cuts instances off from all upstreams, or ends their cut.
    fn cut_off(&self, instances: [bool; CPU_SHARES.len()], how: Option<Cut>) {
        let cut = instances
            .into_iter()
            .enumerate()
            .filter(|(_, is_cut)| *is_cut);
        cut.for_each(|(instance, _)| self.cuts.set(instance, how));
    }

    /// Waits until a time and reverts the faults that end before it.
    fn revert_until(&mut self, until: Instant) -> io::Result<()> {
        while let Some(revert) = self
            .pending_reverts
            .peek()
            .copied()
            .filter(|revert| revert.at <= until)
        {
            self.pending_reverts.pop();
            self.wait_until(revert.at)?;
            self.revert(revert.fault)?;
        }
        self.wait_until(until)
    }

    /// Waits until a time, restarts instances that exit unexpectedly, and ends and restores
    /// upstreams.
    pub(super) fn wait_until(&mut self, until: Instant) -> io::Result<()> {
        loop {
            self.end_upstreams();
            for at in 0..self.sites.len() {
                if self.has_outage(at) || !self.sites[at].has_ended() {
                    continue;
                }
                self.open_outage(at, false);
                let ran = self.started[at].elapsed();
                if ran > SIGNAL_SETUP_TIME {
                    let end = self.sites[at].end();
                    self.unexpected_exits.push(format!(
                        "instance {at} exited unexpectedly {ran:?} after its start: {end}"
                    ));
                }
                self.restart(at)?;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            thread::sleep(left.min(POLL_INTERVAL));
        }
    }

    /// Returns the logs of all instances.
    pub(super) fn logs(&self) -> io::Result<Vec<String>> {
        self.sites.iter().map(Site::log).collect()
    }

    fn inject(&mut self, fault: Fault) -> io::Result<()> {
        let instances = self.sites.len();
        let upstreams = self.upstreams.len();
        match fault {
            Fault::UpstreamWay(at, how) => self.upstream_proxies[at % upstreams].set_condition(how),
            Fault::StoreWay(at, how) => self.store_proxies[at % instances].set_condition(how),
            Fault::ResetUpstream(at) => self.upstream_proxies[at % upstreams].reset(),
            Fault::ResetStore(at) => self.store_proxies[at % instances].reset(),
            Fault::Freeze(at) => self.pause(at % instances)?,
            Fault::Kill(at) => self.kill(at % instances)?,
            Fault::Stop(at) => self.stop(at % instances)?,
            Fault::KillAll => (0..instances).try_for_each(|at| self.kill(at))?,
            Fault::Reload => {
                for _ in 0..3 {
                    let running = self.sites.iter().filter(|site| site.is_running());
                    running.for_each(|site| ignore_exited(site.signal(Signal::SIGHUP)));
                }
            }
            Fault::Behave(at, how) => self.upstreams[at % upstreams].set_behaviour(how),
            Fault::Store(availability) => self.sites[0].store.set_availability(availability),
            Fault::Compact => self.sites[0].store.compact(),
            Fault::CutOff(instances, how) => self.cut_off(instances, Some(how)),
            Fault::Drill(_) => self.sites[0].store.set_availability(Availability::Down),
            Fault::Rewrite => {}
            Fault::Replace(at, build) => {
                self.programs.assign(at % instances, build);
                self.stop(at % instances)?;
            }
            Fault::Configure => self.configure(),
            Fault::Drain(at) => self.register(at % upstreams, "draining"),
            Fault::Lapse(at) => {
                let name = self.upstreams[at % upstreams].name();
                self.sites[0].store.remove("servers", &name);
            }
        }
        Ok(())
    }

    fn revert(&mut self, fault: Fault) -> io::Result<()> {
        let instances = self.sites.len();
        let upstreams = self.upstreams.len();
        match fault {
            Fault::UpstreamWay(at, _) => {
                self.upstream_proxies[at % upstreams].set_condition(Condition::Sound)
            }
            Fault::StoreWay(at, _) => {
                self.store_proxies[at % instances].set_condition(Condition::Sound)
            }
            Fault::Freeze(at) => self.resume(at % instances),
            Fault::Kill(at) | Fault::Stop(at) | Fault::Replace(at, _) => {
                self.restart(at % instances)?;
            }
            Fault::KillAll => (0..instances).try_for_each(|at| self.restart(at))?,
            Fault::Behave(at, Behaviour::Leaves) => {
                // Only a new start takes the announcement back.
                self.upstreams[at % upstreams].restart(None);
                self.upstreams[at % upstreams].turn_cold(COLD_TIME);
                self.upstreams[at % upstreams].set_behaviour(NORMAL_BEHAVIOUR);
                self.register(at % upstreams, "ready");
            }
            Fault::Behave(at, _) => self.upstreams[at % upstreams].set_behaviour(NORMAL_BEHAVIOUR),
            Fault::Store(_) => self.sites[0].store.set_availability(Availability::Sound),
            Fault::Drill(age) => {
                let store = &self.sites[0].store;
                store.restore(age);
                store.set_availability(Availability::Sound);
                self.pending_reverts.push(Revert {
                    at: Instant::now() + REWRITE_DELAY,
                    fault: Fault::Rewrite,
                });
            }
            Fault::CutOff(instances, _) => self.cut_off(instances, None),
            Fault::Rewrite => self.sites[0].store.rewrite_external(),
            Fault::Drain(at) | Fault::Lapse(at) => self.register(at % upstreams, "ready"),
            Fault::ResetUpstream(_)
            | Fault::ResetStore(_)
            | Fault::Reload
            | Fault::Compact
            | Fault::Configure => {}
        }
        Ok(())
    }

    /// Writes the entry of an upstream, with the address of its proxy.
    fn register(&mut self, at: usize, state: &str) {
        self.seq += 1;
        let mut entry = self.upstreams[at].entry(state);
        entry["addr"] = json!(self.upstream_proxies[at].address().to_string());
        entry["seq"] = json!(self.seq);
        self.sites[0]
            .store
            .put("servers", &self.upstreams[at].name(), entry);
    }

    /// Writes a configuration with one additional route.
    fn configure(&mut self) {
        self.version += 1;
        let mut routes: Vec<Value> = vec![
            route_gather("/search/", &SHARDS, MIN_COVERAGE, 200),
            route_one("/status/", "desk", true),
            route_one("/order/", "desk", false),
        ];
        let more = (1..=self.version).map(|n| route_one(&format!("/new-{n}/"), "desk", true));
        routes.extend(more);
        let services: Vec<&str> = SHARDS.iter().copied().chain(["desk"]).collect();
        let organisations = match self.has_organisations {
            true => organisations::tenants(self.version),
            false => Value::Null,
        };
        let options = ConfigOptions {
            organisations,
            cold_rate: COLD_RATE,
        };
        self.sites[0].configure_with(self.version, &routes, &services, &options);
    }

    /// Returns a path that the route added last serves.
    pub(super) fn newest_route(&self) -> String {
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

    fn pause(&mut self, at: usize) -> io::Result<()> {
        if self.has_outage(at) {
            return Ok(());
        }
        self.open_outage(at, false);
        self.paused[at] = true;
        self.paused_at[at] = Instant::now();
        self.sites[at].signal(Signal::SIGSTOP)
    }

    fn resume(&mut self, at: usize) {
        if std::mem::take(&mut self.paused[at]) {
            // A process that was paused during its start has not installed its signal handlers
            // yet, so the pause does not count as running time (seed 829).
            self.started[at] += self.paused_at[at].elapsed();
            ignore_exited(self.sites[at].signal(Signal::SIGCONT));
            self.close_outage(at);
        }
    }

    fn kill(&mut self, at: usize) -> io::Result<()> {
        if !self.sites[at].is_running() {
            return Ok(());
        }
        self.paused[at] = false;
        self.open_outage(at, false);
        ignore_exited(self.sites[at].signal(Signal::SIGKILL));
        self.sites[at].wait().map(|_| ())
    }

    fn stop(&mut self, at: usize) -> io::Result<()> {
        if self.has_outage(at) {
            return Ok(());
        }
        self.open_outage(at, true);
        self.sites[at].signal(Signal::SIGTERM)
    }

    /// Waits until an instance has exited, and restarts it.
    fn restart(&mut self, at: usize) -> io::Result<()> {
        // A stop of a paused instance was skipped, so it has nothing to revert (seed 117).
        if self.paused[at] {
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
            let ended = wait_for(STOP_TIMEOUT, || site.has_ended());
            if !ended {
                return Err(io::Error::other(format!(
                    "instance {at} did not exit within {STOP_TIMEOUT:?}"
                )));
            }
            site.wait()?;
        }
        self.sites[at].spawn(self.programs.of(at))?;
        self.started[at] = Instant::now();
        self.close_outage(at);
        Ok(())
    }
}

/// Ignores the failure of a signal to a process that has just exited.
fn ignore_exited(sent: io::Result<()>) {
    let _ = sent;
}
