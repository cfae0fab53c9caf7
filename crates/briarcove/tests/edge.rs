//! The `edge` command: one instance on a stand-in for the users' platform.

use std::{
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rig::edge::{Behaviour, Site, Upstream, route_gather, route_one};

pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_briarcove");

/// Names of shards.
pub(crate) const SHARDS: [&str; 3] = ["shard-a", "shard-b", "shard-c"];

pub(crate) fn folder(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join("edge")
        .join(name)
}

/// Starts an instance with two replicas of three shards and two upstreams of `desk`.
pub(crate) fn start_site(name: &str) -> (Site, Vec<Upstream>) {
    let mut site = Site::new(&folder(name)).unwrap();
    let fast = Behaviour::Replies(Duration::from_millis(2));
    let mut upstreams = Vec::new();
    for service in SHARDS.iter().chain(&["desk"]) {
        for replica in 1..=2 {
            let name = format!("{service}-{replica}");
            upstreams.push(Upstream::start(&name, service, fast).unwrap());
        }
    }
    for upstream in &upstreams {
        site.register(upstream, "ready");
    }
    let routes = [
        route_gather("/search/", &SHARDS, 0.6, 200),
        route_one("/status/", "desk", true),
        route_one("/order/", "desk", false),
    ];
    site.configure(1, &routes, &["shard-a", "shard-b", "shard-c", "desk"]);
    site.start(PROGRAM.as_ref()).unwrap();
    (site, upstreams)
}

pub(crate) fn header<'a>(answer: &'a rig::edge::Answer, name: &str) -> &'a str {
    answer
        .headers()
        .get(name)
        .map_or("", |value| value.to_str().unwrap())
}

#[test]
fn a_search_is_gathered_from_all_shards() {
    let (site, _upstreams) = start_site("gathered");
    let answer = site.ask("GET", "/search/2f", "a1", 1200).unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(header(&answer, "x-part-stamps").split(", ").count(), 3);
    assert_eq!(header(&answer, "x-missing-parts"), "0");
    assert_eq!(answer.body().len(), 3 * 16);
    let records: Vec<&[u8]> = answer.body().chunks(16).collect();
    assert!(records.is_sorted_by(|a, b| a >= b));
}

#[test]
fn upstreams_receive_at_most_the_remaining_time() {
    let (site, upstreams) = start_site("time_left");
    site.ask("GET", "/search/2f", "b1", 900).unwrap();
    let arrivals: Vec<_> = upstreams.iter().flat_map(Upstream::arrivals).collect();
    assert_eq!(arrivals.len(), 3);
    assert!(
        arrivals.iter().all(|a| a.left_ms <= 900 && a.left_ms > 700),
        "{arrivals:?}"
    );
    assert!(
        arrivals
            .iter()
            .all(|a| a.id == "b1" && a.path == "/search/2f")
    );
}

#[test]
fn an_order_that_may_have_run_is_not_sent_again() {
    let (site, upstreams) = start_site("order_once");
    for upstream in &upstreams[6..] {
        upstream.set_behaviour(Behaviour::Breaks);
    }
    let answer = site.ask("POST", "/order/1", "c1", 1500).unwrap();
    assert_eq!(answer.status(), 502);
    let sent: usize = upstreams[6..].iter().map(|u| u.arrivals().len()).sum();
    assert_eq!(sent, 1);
}

#[test]
fn an_order_that_was_not_executed_is_refused_with_retry_after() {
    let (site, upstreams) = start_site("order_refused");
    for upstream in &upstreams[6..] {
        upstream.set_behaviour(Behaviour::Sheds);
    }
    let answer = site.ask("POST", "/order/1", "d1", 1500).unwrap();
    assert_eq!(answer.status(), 503);
    let after: f64 = header(&answer, "retry-after").parse().unwrap();
    assert!(after > 0.0 && after <= 0.5, "{after}");
    let sent: usize = upstreams[6..].iter().map(|u| u.arrivals().len()).sum();
    assert_eq!(sent, 2);
}

#[test]
fn a_reply_to_another_request_reaches_no_caller() {
    let (site, upstreams) = start_site("crossed");
    for upstream in &upstreams[6..] {
        upstream.set_behaviour(Behaviour::Crosses);
    }
    let answer = site.ask("GET", "/status/1", "e1", 1500).unwrap();
    assert_eq!(answer.status(), 502);
    assert!(answer.body().is_empty());
}

#[test]
fn status_shows_an_instance_on_the_platform() {
    let (site, _upstreams) = start_site("status");
    let address = site.operator_address().to_string();
    let output = std::process::Command::new(PROGRAM)
        .args(["status", "--instance", &address])
        .output()
        .unwrap();
    let shown = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{shown}");
    for (name, value) in [
        ("instance", "edge-here-1"),
        ("config", "1"),
        ("upstreams", "8"),
    ] {
        let mut lines = shown.lines();
        let is_shown = lines.any(|line| line.starts_with(name) && line.ends_with(value));
        assert!(is_shown, "{shown}");
    }
}

#[test]
fn check_reads_the_settings_of_the_platform() {
    let folder = folder("check");
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("boot.json");
    let wrong = r#"{"node": "edge-a-1", "internalPorts": [7380, 7395], "zone": 5,
        "listen": {"front": "nowhere", "ready": "10.1.0.9:8108"}, "limits": {"maxFds": 2870}}"#;
    std::fs::write(&file, wrong).unwrap();
    let output = std::process::Command::new(PROGRAM)
        .arg("check")
        .arg(&file)
        .output()
        .unwrap();
    let shown = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(1), "{shown}");
    for place in [
        "/zone",
        "/listen/front",
        "/limits/cpuShare",
        "/platform/addr",
    ] {
        assert!(shown.contains(place), "{shown}");
    }
}

#[test]
fn a_slow_replica_is_hedged_and_then_avoided() {
    let (site, upstreams) = start_site("hedged");
    upstreams[0].set_behaviour(Behaviour::Replies(Duration::from_millis(900)));
    for round in 0..12 {
        let answer = site
            .ask("GET", "/search/2f", &format!("f{round}"), 1200)
            .unwrap();
        assert_eq!(answer.status(), 200);
    }
    let slow = upstreams[0].arrivals().len();
    assert!(slow <= 5, "{slow} of 12 searches went to the slow replica");
}

#[test]
fn a_draining_upstream_gets_no_more_work() {
    let (site, upstreams) = start_site("draining");
    site.register(&upstreams[6], "draining");
    std::thread::sleep(Duration::from_millis(1_500));
    let before = upstreams[6].arrivals().len();
    for round in 0..6 {
        let answer = site
            .ask("POST", "/order/1", &format!("g{round}"), 1500)
            .unwrap();
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(upstreams[6].arrivals().len(), before);
}

#[test]
fn a_configuration_comes_into_force_within_its_time() {
    let (site, _upstreams) = start_site("config");
    assert_eq!(site.ask("GET", "/new/1", "h1", 1500).unwrap().status(), 404);
    let routes = [route_one("/new/", "desk", true)];
    site.configure(9, &routes, &["desk"]);
    std::thread::sleep(Duration::from_millis(1_000));
    assert_eq!(site.ask("GET", "/new/1", "h2", 1500).unwrap().status(), 200);
    assert_eq!(
        site.ask("GET", "/search/2f", "h3", 1500).unwrap().status(),
        404
    );
}

#[test]
fn a_stop_answers_pending_requests() {
    let (mut site, upstreams) = start_site("stop");
    upstreams[6].set_behaviour(Behaviour::Replies(Duration::from_millis(1_200)));
    upstreams[7].set_behaviour(Behaviour::Replies(Duration::from_millis(1_200)));
    std::thread::scope(|scope| {
        let asked = scope.spawn(|| site.ask("POST", "/order/1", "i1", 1900).unwrap());
        std::thread::sleep(Duration::from_millis(300));
        site.signal(Signal::SIGTERM).unwrap();
        std::thread::sleep(Duration::from_millis(200));
        assert!(!site.is_ready());
        let answer = asked.join().unwrap();
        assert_eq!(answer.status(), 200);
        assert_eq!(header(&answer, "connection"), "close");
    });
    assert_eq!(site.wait().unwrap(), Some(0));
}

#[test]
fn repeated_signals_stop_no_instance_early() {
    let (mut site, upstreams) = start_site("signals");
    for _ in 0..200 {
        site.signal(Signal::SIGHUP).unwrap();
        thread::sleep(Duration::from_micros(300));
    }
    assert_eq!(
        site.ask("GET", "/status/1", "o1", 1500).unwrap().status(),
        200
    );
    upstreams[6].set_behaviour(Behaviour::Replies(Duration::from_millis(900)));
    upstreams[7].set_behaviour(Behaviour::Replies(Duration::from_millis(900)));
    thread::scope(|scope| {
        let asked = scope.spawn(|| site.ask("POST", "/order/1", "o2", 1900).unwrap());
        thread::sleep(Duration::from_millis(200));
        for _ in 0..5 {
            site.signal(Signal::SIGTERM).unwrap();
            thread::sleep(Duration::from_millis(50));
        }
        assert_eq!(asked.join().unwrap().status(), 200);
    });
    assert_eq!(site.wait().unwrap(), Some(0));
}

/// Guards against a SIGTERM being lost when it arrives during the start, after which the process
/// kept running (soak seed 749).
#[test]
fn a_signal_during_the_start_stops_the_instance() {
    let site = Site::new(&folder("early")).unwrap();
    let mut starting: Vec<Site> = (0..24)
        .map(|index| {
            let name = format!("edge-early-{index}");
            let mut instance = site.sharing_store(&folder(&name), &name, 0.5).unwrap();
            instance.spawn(PROGRAM.as_ref()).unwrap();
            thread::sleep(Duration::from_millis(1 + index % 12));
            instance.signal(Signal::SIGTERM).unwrap();
            instance
        })
        .collect();
    let end = Instant::now() + Duration::from_secs(15);
    for instance in &mut starting {
        while !instance.has_ended() {
            assert!(
                Instant::now() < end,
                "an instance still runs: {:?}",
                instance.log()
            );
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Guards against an abort of the process by a signal that is handled on a thread that is being
/// spawned (soak with crashes, seed 1009).
#[test]
fn signals_during_the_start_abort_no_instance() {
    let site = Site::new(&folder("aborted")).unwrap();
    let mut starting: Vec<Site> = (0..48)
        .map(|index| {
            let name = format!("edge-aborted-{index}");
            let mut instance = site.sharing_store(&folder(&name), &name, 0.5).unwrap();
            instance.spawn(PROGRAM.as_ref()).unwrap();
            thread::sleep(Duration::from_micros(1_000 + 50 * (index % 24)));
            for _ in 0..60 {
                // The instance may have ended before it could install its handlers.
                if instance.signal(Signal::SIGHUP).is_err() {
                    break;
                }
                thread::sleep(Duration::from_micros(80));
            }
            instance
        })
        .collect();
    for instance in &mut starting {
        if !instance.has_ended() {
            instance.signal(Signal::SIGKILL).unwrap();
        }
        let ended_by = instance.wait_for_signal().unwrap();
        assert_ne!(ended_by, Some(Signal::SIGABRT as i32));
    }
}

#[test]
fn a_configuration_that_a_watch_missed_comes_into_force() {
    let (site, _upstreams) = start_site("hidden");
    std::thread::sleep(Duration::from_millis(2_500));
    let routes = [route_one("/new/", "desk", true)];
    site.store.withhold_next_change();
    site.configure(9, &routes, &["desk"]);
    std::thread::sleep(Duration::from_millis(4_500));
    assert_eq!(site.ask("GET", "/new/1", "j1", 1500).unwrap().status(), 200);
}

/// Returns the log lines about a request.
fn log_lines_of(site: &Site, id: &str) -> Vec<serde_json::Value> {
    let log = site.log().unwrap();
    let lines = log
        .lines()
        .map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap());
    lines.filter(|line| line["request"] == id).collect()
}

#[test]
fn the_log_shows_why_a_request_failed() {
    let (site, upstreams) = start_site("explained");
    for upstream in &upstreams[6..] {
        upstream.set_behaviour(Behaviour::Breaks);
    }
    site.ask("POST", "/order/1", "k1", 1500).unwrap();
    for upstream in &upstreams[..4] {
        upstream.set_behaviour(Behaviour::Replies(Duration::from_secs(3)));
    }
    site.ask("GET", "/search/2f", "k2", 1200).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    let failed = &log_lines_of(&site, "k1")[0];
    assert_eq!(failed["outcome"], "upstream_failed");
    assert_eq!(failed["config"], 1);
    let trail = failed["trail"].as_str().unwrap();
    assert!(
        trail.contains("desk/desk-") && trail.contains("broken"),
        "{trail}"
    );
    let late = &log_lines_of(&site, "k2")[0];
    assert_eq!(late["outcome"], "timeout");
    assert_eq!((&late["asked"], &late["answered"]), (&3.into(), &1.into()));
    assert!(late["trail"].as_str().unwrap().contains("waiting"));
}

/// Returns the number of requests that each upstream of `desk` has received since an earlier count.
fn desk_arrivals(upstreams: &[Upstream], before: [usize; 2]) -> [usize; 2] {
    [6, 7].map(|at| upstreams[at].arrivals().len() - before[at - 6])
}

#[test]
fn an_upstream_that_announces_its_departure_gets_no_requests_whatever_its_entry_says() {
    let (site, upstreams) = start_site("leaving");
    upstreams[6].set_behaviour(Behaviour::Leaves);
    let status = |n: usize| {
        site.ask("GET", "/status/1", &format!("l{n}"), 1500)
            .unwrap()
    };
    // The first request that the other upstream rejects reaches this one.
    upstreams[7].set_behaviour(Behaviour::Sheds);
    assert_eq!(status(0).status(), 200);
    assert_eq!(upstreams[6].arrivals().len(), 1);
    upstreams[7].set_behaviour(Behaviour::Replies(Duration::from_millis(2)));
    let before = desk_arrivals(&upstreams, [0, 0]);
    site.store.remove("servers", "desk-1");
    thread::sleep(Duration::from_millis(1_000));
    site.register(&upstreams[6], "ready");
    thread::sleep(Duration::from_millis(1_000));
    for n in 0..60 {
        assert_eq!(status(1_000 + n).status(), 200);
    }
    assert_eq!(desk_arrivals(&upstreams, before), [0, 60]);
    upstreams[7].set_behaviour(Behaviour::Leaves);
    assert_eq!(status(2_000).status(), 200);
    let asked = Instant::now();
    let refused = status(2_001);
    assert_eq!(refused.status(), 503);
    assert!(!header(&refused, "retry-after").is_empty());
    assert!(asked.elapsed() < Duration::from_millis(300));
}

#[test]
fn an_upstream_that_asks_for_a_pause_gets_no_requests_in_it() {
    let (site, upstreams) = start_site("pause");
    for upstream in &upstreams[6..] {
        upstream.set_behaviour(Behaviour::Pauses(Duration::from_millis(2_500)));
    }
    let asked = Instant::now();
    let mut refused = 0;
    while asked.elapsed() < Duration::from_millis(2_300) {
        let answer = site
            .ask("GET", "/status/1", &format!("p{refused}"), 15_000)
            .unwrap();
        assert_eq!(answer.status(), 503);
        let after: f64 = header(&answer, "retry-after").parse().unwrap();
        assert!(after <= 5.0, "{after}");
        refused += 1;
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(
        desk_arrivals(&upstreams, [0, 0]),
        [1, 1],
        "{refused} requests"
    );
    for upstream in &upstreams[6..] {
        upstream.set_behaviour(Behaviour::Replies(Duration::from_millis(2)));
    }
    thread::sleep(Duration::from_millis(1_200));
    assert_eq!(
        site.ask("GET", "/status/1", "again", 1500)
            .unwrap()
            .status(),
        200
    );
}
