//! The `serve` command: instances that are killed, paused or drained, or lose the platform.
//!
//! Time limits are generous, as the machine may be busy: the tests check that no answer is lost.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join;
use rig::{
    fleet::{Fleet, FleetPlan, ServicePlan, call, control},
    load::{self, Config, Kind, LoadModel, Report},
    upstream::Params,
};
use serde_json::json;

const ENTRY: &str = "contracts-coverage";
/// Time limit for a condition to become true.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a test on three instances whose upstreams take `service_us` microseconds for each search.
fn with_fleet<F: Future<Output = ()>>(service_us: u64, test: impl FnOnce(Fleet) -> F) {
    let service = ServicePlan {
        limits: json!({ "deadline": "10s", "rate": "100000/s" }),
        params: Params {
            slots: 64,
            service_us,
            ..Params::default()
        },
        ..ServicePlan::default()
    };
    let plan = FleetPlan {
        data_centres: vec![("a".into(), 3)],
        services: vec![service],
        ..FleetPlan::default()
    };
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async { test(Fleet::start(plan).await.unwrap()).await });
}

fn searches(fleet: &Fleet, instances: &[usize], connections: usize, length: Duration) -> Config {
    Config {
        targets: instances
            .iter()
            .map(|i| fleet.instances[*i].caller_address)
            .collect(),
        entry: ENTRY.parse().unwrap(),
        kind: Kind::Search,
        model: LoadModel::ClosedLoop,
        connections,
        duration: length,
        count: u64::MAX,
        bodies: vec![Bytes::from_static(br#"{"query":"harpist cardiff"}"#)],
        deadline: None,
        seed: 1,
        keep_replies: false,
    }
}

fn assert_full_coverage(report: &Report) {
    assert!(report.all.count > 0, "{report}");
    assert_eq!(report.failed, 0, "{report}");
    assert_eq!(report.coverage.full, report.all.count, "{report}");
}

/// Waits until a search through an instance covers every shard.
async fn wait_for_full_coverage(fleet: &Fleet, instance: usize) {
    let end = Instant::now() + TIMEOUT;
    let path = format!("/v1/entries/{ENTRY}/search");
    while Instant::now() < end {
        let address = fleet.instances[instance].caller_address;
        let answered = call(address, "POST", &path, &[], "{}").await;
        if answered.is_ok_and(|a| a.status == 200 && a.json()["coverage"]["missing"] == json!([])) {
            return;
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
    panic!(
        "instance {instance} gives no answer with full coverage: {}",
        fleet.log(instance)
    );
}

#[test]
fn a_killed_instance_loses_only_its_own_callers() {
    with_fleet(1_000, |mut fleet| async move {
        let cfg = searches(&fleet, &[0, 1], 4, Duration::from_secs(3));
        let kill = async {
            compio::time::sleep(Duration::from_millis(500)).await;
            fleet.instances[2].process.kill();
        };
        let (report, ()) = join(load::run(&cfg), kill).await;
        assert_full_coverage(&report.unwrap());
        fleet.restart(2).unwrap();
        fleet.wait_ready(2).await.unwrap();
        wait_for_full_coverage(&fleet, 2).await;
    });
}

#[test]
fn a_paused_instance_serves_again() {
    with_fleet(1_000, |fleet| async move {
        let cfg = searches(&fleet, &[0, 1], 4, Duration::from_secs(4));
        let pause = async {
            compio::time::sleep(Duration::from_millis(500)).await;
            fleet.instances[2].process.pause();
            compio::time::sleep(Duration::from_millis(2_500)).await;
            fleet.instances[2].process.resume();
        };
        let (report, ()) = join(load::run(&cfg), pause).await;
        assert_full_coverage(&report.unwrap());
        wait_for_full_coverage(&fleet, 2).await;
    });
}

#[test]
fn searches_go_on_without_the_platform() {
    with_fleet(1_000, |fleet| async move {
        let down = json!({ "mode": "down" });
        control(fleet.platform_address, &down).await.unwrap();
        let cfg = searches(&fleet, &[0, 1, 2], 6, Duration::from_secs(2));
        assert_full_coverage(&load::run(&cfg).await.unwrap());
    });
}

#[test]
fn termination_loses_no_request_in_flight() {
    const IN_FLIGHT: usize = 10;
    with_fleet(500_000, |mut fleet| async move {
        wait_for_full_coverage(&fleet, 0).await;
        let cfg = Config {
            count: IN_FLIGHT as u64,
            ..searches(&fleet, &[0], IN_FLIGHT, TIMEOUT)
        };
        let address = fleet.instances[0].caller_address;
        let terminate = async {
            let end = Instant::now() + TIMEOUT;
            loop {
                let status = fleet.status(0).await.unwrap();
                if status["searches_in_hand"] == json!(IN_FLIGHT) || Instant::now() > end {
                    break fleet.instances[0].process.terminate();
                }
                compio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let (report, ()) = join(load::run(&cfg), terminate).await;
        let report = report.unwrap();
        assert_full_coverage(&report);
        assert_eq!(report.all.count, IN_FLIGHT as u64);
        assert!(
            fleet.instances[0].process.wait_timeout(TIMEOUT),
            "{address} still runs"
        );
    });
}
