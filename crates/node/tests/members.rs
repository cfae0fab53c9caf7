//! Tests of the membership on a simulated network with message loss, partitions, pauses and
//! restarts.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use base::{ByteSize, DataCentre, Incarnation, InstanceName, Time, UpstreamName, Version};
use node::{
    Effect,
    members::{Hints, Identity, Members, MembersConfig},
};
use quickcheck::{TestResult, quickcheck};
use wire::{Envelope, LeavingUpstream};

const STEP: Duration = Duration::from_millis(5);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const DELAY: Duration = Duration::from_millis(1);
/// Bytes of heartbeats that one instance may send per second.
const BUDGET: ByteSize = ByteSize(2 << 10);

struct Peer {
    members: Members,
    down: bool,
    paused: bool,
}

struct Sim {
    now: Time,
    peers: Vec<Peer>,
    by_address: HashMap<SocketAddr, usize>,
    inbox: Vec<(Time, usize, usize, Envelope)>,
    hints: Hints,
    /// Share of messages lost, in percent.
    loss: u64,
    /// Pairs of instances that cannot reach each other.
    cut: BTreeSet<(usize, usize)>,
    random: u64,
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 11, (i / 200) as u8, (i % 200) as u8 + 1], 7_100))
}

fn name(i: usize) -> InstanceName {
    format!("briar-{i:04}").parse().unwrap()
}

fn data_centre(n: usize) -> DataCentre {
    format!("south-{n}").parse().unwrap()
}

fn member(i: usize, dc: usize, incarnation: u64, now: Time) -> Members {
    let me = Identity {
        name: name(i),
        data_centre: data_centre(dc),
        address: address(i),
        incarnation: Incarnation(incarnation),
    };
    let seeds = (0..3).map(address).collect();
    Members::new(
        MembersConfig {
            seeds,
            ..MembersConfig::default()
        },
        me,
        now,
    )
}

impl Sim {
    /// Starts one instance for each item of `dcs`, which is the number of its data centre.
    fn new(dcs: &[usize], seed: u64) -> Self {
        let now = Time::from_millis(1);
        let peer = |(i, &dc): (usize, &usize)| Peer {
            members: member(i, dc, 1_764_798_322_000, now),
            down: false,
            paused: false,
        };
        Self {
            now,
            peers: dcs.iter().enumerate().map(peer).collect(),
            by_address: (0..dcs.len()).map(|i| (address(i), i)).collect(),
            inbox: Vec::new(),
            hints: Hints {
                seen: Version(9_000_000),
                ..Hints::default()
            },
            loss: 0,
            cut: BTreeSet::new(),
            random: seed | 1,
        }
    }

    fn roll(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % 100
    }

    fn post(&mut self, from: usize, effects: Vec<Effect>) {
        for effect in effects {
            let Effect::Peer(to, body) = effect else {
                continue;
            };
            let Some(&target) = self.by_address.get(&to.address) else {
                continue;
            };
            let pair = (from.min(target), from.max(target));
            if self.roll() < self.loss || self.cut.contains(&pair) {
                continue;
            }
            let me = self.peers[from].members.me();
            let envelope = Envelope {
                from: me.name.to_string(),
                incarnation: me.incarnation.0,
                body: Some(body),
            };
            self.inbox.push((self.now + DELAY, from, target, envelope));
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for (at, from, to, envelope) in std::mem::take(&mut self.inbox) {
            let peer = &mut self.peers[to];
            if peer.paused || at > self.now {
                self.inbox.push((at, from, to, envelope));
            } else if !peer.down {
                let mut effects = Vec::new();
                peer.members
                    .on_heartbeat(self.now, &envelope, &self.hints, &mut effects);
                self.post(to, effects);
            }
        }
        for i in 0..self.peers.len() {
            let peer = &mut self.peers[i];
            let runs = !peer.down && !peer.paused;
            if runs && peer.members.next_wake() <= self.now {
                let mut effects = Vec::new();
                peer.members.on_tick(self.now, &self.hints, &mut effects);
                self.post(i, effects);
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn seconds(&mut self, seconds: u64) {
        self.run(Duration::from_secs(seconds));
    }

    /// Runs until `done` holds and returns the time taken; `None` if it exceeds `longest`.
    fn until(&mut self, longest: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            if self.now.since(start) >= longest {
                return None;
            }
            self.run(POLL_INTERVAL);
        }
        Some(self.now.since(start))
    }

    fn sees(&self, i: usize, other: usize) -> bool {
        let me = &self.peers[i].members;
        let other = self.peers[other].members.me();
        me.live_in(&other.data_centre).any(|n| *n == other.name)
    }

    fn up(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.peers.len()).filter(|&i| !self.peers[i].down)
    }

    /// Returns whether the live members of every running instance are exactly the other running
    /// instances of its data centre.
    fn converged(&self) -> bool {
        let own = |i: usize| &self.peers[i].members.me().data_centre;
        self.up().all(|i| {
            let near = |&o: &usize| o != i && own(o) == own(i);
            let others: Vec<_> = self.up().filter(near).collect();
            others.iter().all(|&o| self.sees(i, o))
                && self.peers[i].members.live_in(own(i)).count() == others.len()
        })
    }

    /// Returns the bytes per second, averaged over `seconds`, of the instance that sent the most.
    fn bytes_a_second(&mut self, seconds: u64) -> u64 {
        let sent =
            |sim: &Self| -> Vec<u64> { sim.peers.iter().map(|p| p.members.sent_bytes()).collect() };
        let before = sent(self);
        self.seconds(seconds);
        let after = sent(self);
        let spent = after.iter().zip(&before).map(|(a, b)| (a - b) / seconds);
        spent.max().unwrap()
    }
}

fn one_data_centre(n: usize) -> Sim {
    let mut sim = Sim::new(&vec![0; n], 0x9e37_79b9);
    assert!(
        sim.until(Duration::from_secs(20), Sim::converged).is_some(),
        "{n} do not converge"
    );
    sim
}

fn detection(n: usize, kills: usize) -> Duration {
    let mut sim = one_data_centre(n);
    sim.seconds(5);
    let mut worst = Duration::ZERO;
    for dead in 0..kills {
        sim.peers[dead].down = true;
        let everywhere = |sim: &Sim| sim.up().all(|i| !sim.sees(i, dead));
        let took = sim.until(Duration::from_secs(20), everywhere).unwrap();
        worst = worst.max(took);
        assert!(sim.converged(), "another member was removed");
        sim.seconds(1);
    }
    println!("{n} instances: {kills} deaths, each seen everywhere within {worst:?}");
    worst
}

#[test]
fn a_death_is_seen_within_two_seconds_at_17() {
    assert!(detection(17, 6) <= Duration::from_secs(2));
}

#[test]
fn a_death_is_seen_within_four_seconds_at_93() {
    assert!(detection(93, 6) <= Duration::from_secs(4));
}

#[test]
fn control_bytes_stay_within_the_budget() {
    for n in [4, 17, 93] {
        let mut sim = one_data_centre(n);
        let joining = sim.bytes_a_second(30);
        sim.seconds(30);
        let quiet = sim.bytes_a_second(30);
        sim.hints.leaving_upstreams = (0..40)
            .map(|i| LeavingUpstream {
                upstream: format!("upstream-{i}"),
                age_ms: 1_000,
            })
            .collect();
        let busy = sim.bytes_a_second(30);
        println!("{n} instances: {joining} B/s after a start, {quiet} B/s, {busy} B/s with hints");
        assert!(joining.max(quiet).max(busy) <= BUDGET.0);
    }
}

#[test]
fn control_bytes_of_27_data_centres_stay_within_the_budget() {
    let mut dcs = vec![0; 93];
    dcs.extend((1..27).flat_map(|dc| [dc; 3]));
    let mut sim = Sim::new(&dcs, 77);
    assert!(sim.until(Duration::from_secs(60), Sim::converged).is_some());
    sim.seconds(10);
    let bytes = sim.bytes_a_second(30);
    println!("93 instances and 26 other data centres: {bytes} B/s");
    assert!(bytes <= BUDGET.0);
}

#[test]
fn a_suspicion_between_two_ends_at_the_others_answer() {
    let mut sim = one_data_centre(17);
    let before: Vec<_> = sim.peers.iter().map(|p| p.members.epoch()).collect();
    sim.cut.insert((3, 5));
    let suspects = |sim: &Sim, a: usize, b| sim.peers[a].members.is_suspect(&name(b));
    let suspected = |sim: &Sim| suspects(sim, 3, 5) || suspects(sim, 5, 3);
    assert!(sim.until(Duration::from_secs(20), suspected).is_some());
    sim.run(Duration::from_millis(300));
    sim.cut.clear();
    sim.seconds(2);
    assert!(!suspected(&sim) && sim.converged());
    let after: Vec<_> = sim.peers.iter().map(|p| p.members.epoch()).collect();
    assert_eq!(before, after);
}

#[test]
fn a_paused_instance_has_a_stale_view_until_probes_are_answered() {
    let mut sim = one_data_centre(5);
    sim.seconds(3);
    assert!(sim.peers[0].members.view_is_fresh(sim.now));
    sim.peers[0].paused = true;
    sim.peers[4].down = true;
    sim.seconds(30);
    assert!(!sim.peers[0].members.view_is_fresh(sim.now));
    assert!(sim.up().skip(1).all(|i| !sim.sees(i, 0)));
    sim.peers[0].paused = false;
    sim.step();
    assert!(
        !sim.peers[0].members.view_is_fresh(sim.now),
        "messages from before the pause do not make the view fresh"
    );
    let fresh = |sim: &Sim| sim.peers[0].members.view_is_fresh(sim.now);
    assert!(sim.until(Duration::from_secs(3), fresh).is_some());
    sim.seconds(5);
    assert!(sim.converged());
}

#[test]
fn a_stale_incarnation_is_ignored() {
    let mut sim = one_data_centre(3);
    let known = sim.peers[1].members.me().incarnation;
    let elsewhere = address(150);
    for (incarnation, replaces) in [(known.0 - 1, false), (known.0 + 1, true)] {
        let heartbeat = wire::Heartbeat {
            data_centre: data_centre(0).to_string(),
            address: elsewhere.to_string(),
            leaving: true,
            ..wire::Heartbeat::default()
        };
        let body = Some(wire::Body::Heartbeat(heartbeat));
        let envelope = Envelope {
            from: name(1).to_string(),
            incarnation,
            body,
        };
        let members = &mut sim.peers[0].members;
        members.on_heartbeat(sim.now, &envelope, &sim.hints, &mut Vec::new());
        let address = members.address(&name(1)).unwrap().address;
        assert_eq!(address == elsewhere, replaces);
        assert_eq!(
            members.live_in(&data_centre(0)).any(|n| *n == name(1)),
            !replaces
        );
    }
}

#[test]
fn a_lone_instance_has_a_fresh_view_after_a_while() {
    let mut sim = Sim::new(&[0], 1);
    assert!(!sim.peers[0].members.view_is_fresh(sim.now));
    sim.seconds(2);
    assert!(sim.peers[0].members.view_is_fresh(sim.now));
}

#[test]
fn a_leaving_instance_gets_no_work() {
    let mut sim = one_data_centre(17);
    let upstreams: Vec<UpstreamName> = (0..200).map(|i| format!("u{i}").parse().unwrap()).collect();
    let owned = |sim: &Sim, i: usize| {
        let owners = |u| sim.peers[i].members.owner(u).unwrap();
        upstreams.iter().filter(|u| owners(u) == name(6)).count()
    };
    assert!(owned(&sim, 0) > 0);
    let mut effects = Vec::new();
    sim.peers[6]
        .members
        .leave(sim.now, &sim.hints, &mut effects);
    sim.post(6, effects);
    sim.run(DELAY * 10);
    assert!(sim.up().all(|i| owned(&sim, i) == 0));
}

#[test]
fn halves_of_a_partition_meet_again() {
    let mut sim = one_data_centre(16);
    for a in 0..8 {
        sim.cut.extend((8..16).map(|b| (a, b)));
    }
    sim.seconds(20);
    assert!(!sim.sees(0, 8) && sim.sees(0, 7));
    sim.cut.clear();
    assert!(sim.until(Duration::from_secs(20), Sim::converged).is_some());
}

quickcheck! {
    fn members_converge_after_faults(seed: u64, n: u8, faults: Vec<(u8, u8)>) -> TestResult {
        let n = 3 + usize::from(n % 9);
        let mut sim = Sim::new(&vec![0; n], seed);
        sim.seconds(5);
        sim.loss = 20;
        for (kind, who) in faults.into_iter().take(6) {
            let who = usize::from(who) % n;
            match kind % 4 {
                0 => sim.peers[who].paused = true,
                1 => sim.peers[who].paused = false,
                2 => {
                    let next = sim.peers[who].members.me().incarnation.next();
                    sim.peers[who].members = member(who, 0, next.0, sim.now);
                }
                _ => { sim.cut.insert((0, who.max(1))); }
            }
            sim.run(Duration::from_millis(900));
        }
        sim.loss = 0;
        sim.cut.clear();
        sim.peers.iter_mut().for_each(|p| p.paused = false);
        let settled = sim.until(Duration::from_secs(40), Sim::converged).is_some();
        let upstream: UpstreamName = "u1".parse().unwrap();
        let owners: BTreeSet<_> = sim.peers.iter().map(|p| p.members.owner(&upstream)).collect();
        TestResult::from_bool(settled && owners.len() == 1)
    }

    fn any_heartbeat_is_survived(text: String, address: String, number: u64) -> bool {
        let mut sim = Sim::new(&[0, 0], 3);
        let reported = wire::Member {
            name: text.clone(),
            address: address.clone(),
            incarnation: number,
            liveness: number as u32,
            ..wire::Member::default()
        };
        let heartbeat = wire::Heartbeat {
            data_centre: text.clone(),
            address,
            members: vec![reported],
            probe: true,
            ..wire::Heartbeat::default()
        };
        let body = Some(wire::Body::Heartbeat(heartbeat));
        let envelope = Envelope { from: text, incarnation: number, body };
        let mut effects = Vec::new();
        sim.peers[0].members.on_heartbeat(sim.now, &envelope, &sim.hints, &mut effects);
        sim.seconds(3);
        sim.converged()
    }
}
