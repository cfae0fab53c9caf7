//! Measures the throughput and latency of claims in the simulation.
//!
//! Claims are offered at a fixed rate and distributed evenly over all instances. The minimum
//! interval between two writes of a bucket determines how many claims share one write. Latencies
//! are simulated time. CPU time is real and covers all work of the reducers of all instances.

use std::time::Duration;

use base::Rate;
use bytes::Bytes;
use cat::{Class, Limits};
use node::{Answer, Reason};
use rig::sim::{Scenario, UpstreamBehaviour, World};

/// Number of instances.
const INSTANCES: usize = 15;

/// Service time of a run at an upstream.
const SERVICE_TIME: Duration = Duration::from_millis(2);

/// Time before the measurement, in which windows grow.
const WARM_UP: Duration = Duration::from_secs(1);

/// Duration of the measurement.
const MEASURED: Duration = Duration::from_secs(3);

/// Interval between two batches of requests.
const STEP: Duration = Duration::from_millis(1);

/// Parameters of one measurement.
struct Setup {
    /// Offered claims per second.
    rate: u64,
    /// Number of bucket objects.
    buckets: u32,
    /// Minimum interval between two writes of a bucket.
    interval: Duration,
}

impl Setup {
    fn scenario(&self) -> Scenario {
        let mut scenario = Scenario {
            instances: INSTANCES,
            upstreams: 30,
            slots: 64,
            upstream: UpstreamBehaviour {
                service_time: SERVICE_TIME,
                ..UpstreamBehaviour::default()
            },
            limits: Limits {
                deadline: Duration::from_secs(1),
                rate: Rate(10_000),
                concurrent: 10_000,
                ..Limits::default()
            },
            ..Scenario::default()
        };
        scenario.config.claims.buckets = self.buckets;
        scenario.config.claims.interval = self.interval;
        // A change forwarded to another instance waits for up to two writes of that instance.
        let wait = &mut scenario.config.claims.forward_wait;
        *wait = (*wait).max(self.interval * 3);
        scenario
    }

    fn measure(&self) {
        let mut world = self.scenario().world();
        let mut sent = 0;
        self.offer(&mut world, WARM_UP, &mut sent);
        let warm_up_sent = sent;
        let before = Counts::of(&world);
        self.offer(&mut world, MEASURED, &mut sent);
        let after = Counts::of(&world);
        world.advance(Duration::from_secs(2));
        self.print(&world, warm_up_sent, &before, &after);
    }

    /// Offers claims for `length` and adds their number to `sent`.
    fn offer(&self, world: &mut World, length: Duration, sent: &mut u64) {
        let steps = length.as_micros() / STEP.as_micros();
        let body = Bytes::from_static(b"{\"book\":1}");
        let entry = Scenario::entry(Class::Once);
        let mut credit = 0;
        for _ in 0..steps {
            credit += self.rate * u64::try_from(STEP.as_micros()).unwrap_or(0);
            while credit >= 1_000_000 {
                credit -= 1_000_000;
                *sent += 1;
                let issued = 1_764_800_000 + *sent / self.rate;
                let Ok(key) = format!("{issued}-{sent:08x}").parse() else {
                    return;
                };
                let instance = usize::try_from(*sent).unwrap_or(0) % INSTANCES;
                world.run_once(instance, &entry, &key, &body);
            }
            world.advance(STEP);
        }
    }

    fn print(&self, world: &World, warm_up_sent: u64, before: &Counts, after: &Counts) {
        let seconds = MEASURED.as_secs_f64();
        let per_second = |a: u64, b: u64| (b - a) as f64 / seconds;
        let measured = world
            .answers
            .iter()
            .filter(|(r, _)| r.0 > u128::from(warm_up_sent));
        let (mut latencies, mut refused, mut full) = (Vec::new(), 0_u64, 0_u64);
        for (_, (answer, time)) in measured {
            match answer {
                Answer::Done { .. } => latencies.push(*time),
                Answer::Refused(refusal) if refusal.reason == Reason::ClaimsFull => full += 1,
                _ => refused += 1,
            }
        }
        latencies.sort_unstable();
        let percentile = |percent: usize| {
            latencies
                .get(latencies.len() * percent / 100)
                .copied()
                .unwrap_or_default()
        };
        let claims = (after.claims - before.claims).max(1);
        let writes = (after.writes - before.writes).max(1);
        let cpu = (after.cpu - before.cpu).as_secs_f64() * 1e6 / claims as f64;
        println!(
            "{:>7} {:>7} {:>8.0} {:>9.0} {:>8} {:>8} {:>8.0} {:>8.0} {:>7.1} {:>8.1} {:>8.1} {:>8.1} {:>8.1}",
            self.rate,
            self.buckets,
            self.interval.as_secs_f64() * 1e3,
            per_second(before.claims, after.claims),
            refused,
            full,
            per_second(before.writes, after.writes),
            per_second(before.calls, after.calls),
            claims as f64 / writes as f64,
            percentile(50).as_secs_f64() * 1e3,
            percentile(99).as_secs_f64() * 1e3,
            cpu,
            per_second(before.bytes, after.bytes) / f64::from(1 << 20),
        );
    }
}

/// Counters of the simulation at one time.
struct Counts {
    claims: u64,
    writes: u64,
    calls: u64,
    bytes: u64,
    cpu: Duration,
}

impl Counts {
    fn of(world: &World) -> Self {
        let nodes = (0..INSTANCES).filter_map(|i| world.node(i));
        let (calls, writes) = world.platform_load();
        Self {
            claims: nodes.map(|n| n.stats().claims).sum(),
            writes,
            calls,
            bytes: world.written_bytes(),
            cpu: (0..INSTANCES).map(|i| world.cost(i).cpu_time).sum(),
        }
    }
}

fn main() {
    println!(
        "offered buckets interval  claims/s  refused     full writes/s  calls/s   batch      p50      p99   cpu us    MiB/s"
    );
    println!(
        "                      ms                                                           ms       ms    claim  written"
    );
    let setups = [
        (2_000, 64, 5),
        (20_000, 64, 5),
        (20_000, 64, 20),
        (20_000, 64, 214),
        (20_000, 16, 54),
        (20_000, 8, 27),
    ];
    for (rate, buckets, millis) in setups {
        let interval = Duration::from_millis(millis);
        Setup {
            rate,
            buckets,
            interval,
        }
        .measure();
    }
}
