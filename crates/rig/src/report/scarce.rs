//! Experiment `scarce`: upstreams with few slots and connections. Checks that their limits hold,
//! and measures goodput under overload and the extra load while an upstream is down.

use std::{collections::BTreeMap, time::Duration};

use futures_util::future::join;
use hdrhistogram::Histogram;
use serde_json::json;

use super::{
    Error, Row, Target, WARM_UP, micros_to_millis, search_load, sum_counts, upstream_report,
};
use crate::{
    fleet::{Fleet, FleetPlan, ServicePlan, control},
    load::{self, LoadModel},
    upstream::Params,
};

/// Number of instances in the data centre.
const INSTANCES: usize = 17;
/// Time for which each sub-request occupies a slot, in microseconds.
const SERVICE_US: u64 = 10_000;
/// Slots and connections of a stand-in that counts them but enforces no limit.
const UNLIMITED: usize = 10_000;
/// Number of instances that are killed; as many others are paused.
const DISTURBED_INSTANCES: usize = 6;
/// Time between the kill and the restart of an instance.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Time for which an instance is paused.
const PAUSE_LENGTH: Duration = Duration::from_millis(1_500);
/// Rates of the loads, as multiples of the capacity.
const LOAD_FACTORS: [f64; 4] = [0.5, 1.0, 2.0, 4.0];
/// Duration of each load, in seconds.
const SECONDS: f64 = 6.0;
/// Rate of the load while an upstream is down, as a multiple of the capacity.
const LOAD_WHILE_DOWN: f64 = 0.3;
/// Target for the p99 latency of refusals, in milliseconds.
const MAX_REFUSAL_MS: f64 = 20.0;

/// Size of a service and the limits of its upstreams.
#[derive(Clone, Copy)]
struct Size {
    slots: usize,
    connections: usize,
    connect_us: u64,
    upstreams: usize,
}

/// Sizes of services that are in use today.
const SIZES: [Size; 2] = [
    Size {
        slots: 2,
        connections: 50,
        connect_us: 6_000,
        upstreams: 2,
    },
    Size {
        slots: 3,
        connections: 230,
        connect_us: 1_000,
        upstreams: 6,
    },
];

impl Size {
    /// Returns the searches per second that occupy all slots; each search queries each shard once.
    fn capacity(self) -> f64 {
        let service_time = Duration::from_micros(SERVICE_US).as_secs_f64();
        self.slots as f64 / service_time * self.upstreams as f64 / self.shards() as f64
    }

    /// Returns the number of shards: one for each upstream.
    fn shards(self) -> usize {
        self.upstreams
    }

    fn row(self, name: &str, value: f64, target: Target) -> Row {
        let Self {
            slots, connections, ..
        } = self;
        let name = format!("scarce: {slots} slots, {connections} connections: {name}");
        Row::new(name, value, target)
    }

    /// Starts a fleet whose upstreams enforce the limits or only count.
    async fn start(self, enforced: bool) -> Result<Fleet, Error> {
        let (slots, connections) = if enforced {
            (self.slots, self.connections)
        } else {
            (UNLIMITED, UNLIMITED)
        };
        let service = ServicePlan {
            upstreams: self.upstreams,
            shards: self.shards(),
            declared: Some((self.slots, self.connections)),
            params: Params {
                slots,
                connections,
                connect_us: self.connect_us,
                service_us: SERVICE_US,
                ..Params::default()
            },
            ..ServicePlan::default()
        };
        let plan = FleetPlan {
            data_centres: vec![("a".into(), INSTANCES)],
            services: vec![service],
            ..FleetPlan::default()
        };
        Ok(Fleet::start(plan).await?)
    }
}

/// Measures all sizes.
pub(super) async fn run() -> Result<Vec<Row>, Error> {
    let mut rows = Vec::new();
    for size in SIZES {
        rows.extend(measure_limits(size).await?);
        rows.extend(measure_goodput(size).await?);
    }
    Ok(rows)
}

/// Measures the highest concurrency at upstreams that enforce no limits while instances are
/// killed, restarted and paused.
async fn measure_limits(size: Size) -> Result<Vec<Row>, Error> {
    let mut fleet = size.start(false).await?;
    let seconds = (RESTART_DELAY + PAUSE_LENGTH).as_secs_f64() * DISTURBED_INSTANCES as f64 + 1.0;
    let cfg = search_load(
        &fleet,
        "contracts-latency",
        LoadModel::OpenLoop(size.capacity()),
        seconds,
    );
    let (report, result) = join(load::run(&cfg), disturb_instances(&mut fleet)).await;
    result?;
    let coverage = report?.coverage;
    let (mut in_work, mut connections) = (0, 0);
    for upstream in &fleet.upstreams {
        let record = upstream_report(upstream.address).await?;
        in_work = in_work.max(record.max_in_work);
        connections = connections.max(record.max_connections);
    }
    Ok(vec![
        size.row(
            "most in work at an upstream",
            in_work as f64,
            Target::AtMost(size.slots as f64),
        ),
        size.row(
            "most connections of an upstream",
            connections as f64,
            Target::AtMost(size.connections as f64),
        ),
        size.row(
            "complete answers meanwhile, %",
            100.0 * coverage.full as f64 / (coverage.full + coverage.partial) as f64,
            Target::None,
        ),
    ])
}

/// Kills and restarts instances and pauses and resumes others, one after the other.
async fn disturb_instances(fleet: &mut Fleet) -> Result<(), Error> {
    for index in 0..DISTURBED_INSTANCES {
        fleet.instances[index].process.kill();
        compio::time::sleep(RESTART_DELAY).await;
        fleet.restart(index)?;
        let paused = &fleet.instances[index + DISTURBED_INSTANCES].process;
        paused.pause();
        compio::time::sleep(PAUSE_LENGTH).await;
        paused.resume();
    }
    Ok(())
}

/// Measures goodput at multiples of the capacity, and extra load while an upstream is down.
async fn measure_goodput(size: Size) -> Result<Vec<Row>, Error> {
    let fleet = size.start(true).await?;
    let cfg = |factor, seconds| load::Config {
        keep_replies: true,
        ..search_load(
            &fleet,
            "contracts-latency",
            LoadModel::OpenLoop(size.capacity() * factor),
            seconds,
        )
    };
    load::run(&cfg(0.5, WARM_UP.as_secs_f64())).await?;
    let mut rows = Vec::new();
    let mut peak: f64 = 0.0;
    for factor in LOAD_FACTORS {
        let report = load::run(&cfg(factor, SECONDS)).await?;
        let goodput = report.coverage.full as f64 / report.seconds;
        peak = peak.max(goodput);
        let name = format!("complete answers/s at {factor} times capacity");
        rows.push(size.row(&name, goodput, Target::None));
        if factor == LOAD_FACTORS[LOAD_FACTORS.len() - 1] {
            let name = "complete answers/s at 4 times capacity, against the peak";
            rows.push(
                size.row(name, goodput, Target::RatioAtLeast(0.9))
                    .with_baseline(peak),
            );
            rows.extend(refusal_rows(size, &report));
        }
    }
    rows.push(extra_load_while_down(size, &fleet).await?);
    Ok(rows)
}

/// Returns the rows on refused and failed requests of a load.
fn refusal_rows(size: Size, report: &load::Report) -> Vec<Row> {
    let refused: Vec<_> = report
        .kept_replies
        .iter()
        .filter(|r| r.status != 200)
        .collect();
    let mut latencies = Histogram::<u64>::new(3).expect("three digits are allowed");
    let mut statuses = BTreeMap::<u16, usize>::new();
    for reply in &refused {
        latencies.saturating_record(u64::try_from(reply.latency.as_micros()).unwrap_or(u64::MAX));
        *statuses.entry(reply.status).or_default() += 1;
    }
    let without_retry_after = refused.iter().filter(|r| !r.retry_after).count() as f64;
    let p99 = micros_to_millis(latencies.value_at_quantile(0.99));
    let name = format!("refusals at 4 times capacity ({statuses:?}): p99, ms");
    vec![
        size.row(&name, p99, Target::AtMost(MAX_REFUSAL_MS)),
        size.row(
            "refusals without Retry-After",
            without_retry_after,
            Target::AtMost(0.0),
        ),
        size.row(
            "requests without a reply",
            report.failed as f64,
            Target::AtMost(0.0),
        ),
    ]
}

/// Measures hedges and retries as a share of first attempts while one upstream is down.
async fn extra_load_while_down(size: Size, fleet: &Fleet) -> Result<Row, Error> {
    let before = sum_counts(fleet, &["hedges", "retries", "first_attempts"]).await?;
    let crash = json!({ "restart_ms": 60_000, "crash": true });
    control(fleet.upstreams[0].address, &crash).await?;
    let model = LoadModel::OpenLoop(size.capacity() * LOAD_WHILE_DOWN);
    load::run(&search_load(
        fleet,
        "contracts-latency",
        model,
        2.0 * SECONDS,
    ))
    .await?;
    compio::time::sleep(Duration::from_millis(300)).await;
    let after = sum_counts(fleet, &["hedges", "retries", "first_attempts"]).await?;
    let extra = after[0] + after[1] - before[0] - before[1];
    let share = 100.0 * extra / (after[2] - before[2]);
    Ok(size.row(
        "extra sub-requests while an upstream is down, %",
        share,
        Target::AtMost(10.0),
    ))
}
