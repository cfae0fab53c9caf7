//! The `edge` command: several instances on a stand-in for the users' platform.

use std::{
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rig::edge::{Behaviour, Site, Upstream, route_gather, route_one};

use crate::edge::{PROGRAM, folder, header, start_site};

/// Returns the number of this instance's searches that another instance has answered.
fn searches_answered_by_others(site: &Site) -> u64 {
    let metrics = site.metrics().unwrap();
    let name = "briarcove_handed_over_total{end=\"answered\"} ";
    let count = metrics.lines().find_map(|line| line.strip_prefix(name));
    count.map_or(0, |count| count.parse().unwrap())
}

/// Sends searches until another instance answers one; returns false if none does within the time.
fn is_handed_over(site: &Site, within: Duration) -> bool {
    let end = Instant::now() + within;
    for round in 0.. {
        let id = format!("wait{round}");
        let answer = site.ask("GET", "/search/2f", &id, 1200).unwrap();
        assert_eq!(answer.status(), 200);
        if searches_answered_by_others(site) > 0 {
            return true;
        }
        if Instant::now() > end {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

#[test]
fn a_search_is_run_by_an_instance_with_a_larger_cpu_share() {
    let (mut large, _upstreams) = start_site("handed_large");
    let folder = folder("handed_small");
    let mut small = large.sharing_store(&folder, "edge-here-2", 0.01).unwrap();
    small.start(PROGRAM.as_ref()).unwrap();
    assert!(is_handed_over(&small, Duration::from_secs(10)));
    let answer = small.ask("GET", "/search/2f", "l1", 1200).unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(header(&answer, "x-part-stamps").split(", ").count(), 3);
    assert_eq!(answer.body().len(), 3 * 16);
    large.signal(Signal::SIGKILL).unwrap();
    large.wait().unwrap();
    for round in 0..5 {
        let id = format!("m{round}");
        let answer = small.ask("GET", "/search/2f", &id, 1200).unwrap();
        assert_eq!(answer.status(), 200, "search {round} after the kill");
    }
}

/// The only upstreams of four shards are in the data centre of another instance. That instance
/// sends them the requests and returns the merged records in one reply. Once it is killed, the
/// first instance sends the requests itself.
#[test]
fn remote_shards_are_queried_by_an_instance_in_their_data_centre() {
    let shards: Vec<String> = (0..8).map(|shard| format!("shard-{shard}")).collect();
    let mut site = Site::new(&folder("branch_here")).unwrap();
    let mut upstreams = Vec::new();
    for (at, shard) in shards.iter().enumerate() {
        let fast = Behaviour::Replies(Duration::from_millis(2));
        let mut upstream = Upstream::start(&format!("up-{at}"), shard, fast).unwrap();
        upstream.data_centre = if at < 4 { "here" } else { "there" };
        site.register(&upstream, "ready");
        upstreams.push(upstream);
    }
    let names: Vec<&str> = shards.iter().map(String::as_str).collect();
    site.configure(1, &[route_gather("/search/", &names, 0.6, 500)], &names);
    site.start(PROGRAM.as_ref()).unwrap();
    let mut there = site
        .sharing_store(&folder("branch_there"), "edge-there-1", 0.5)
        .unwrap();
    there.data_centre = "there";
    there.start(PROGRAM.as_ref()).unwrap();
    assert!(is_handed_over(&site, Duration::from_secs(10)));
    let is_complete = |id: &str| {
        let answer = site.ask("GET", "/search/2f", id, 1200).unwrap();
        let signatures = header(&answer, "x-part-stamps").split(", ").count();
        let records: Vec<&[u8]> = answer.body().chunks(16).collect();
        answer.status() == 200
            && header(&answer, "x-missing-parts") == "0"
            && (signatures, records.len()) == (8, 8)
            && records.is_sorted_by(|a, b| a >= b)
    };
    assert!(is_complete("b1"));
    there.signal(Signal::SIGKILL).unwrap();
    there.wait().unwrap();
    for round in 0..5 {
        assert!(
            is_complete(&format!("c{round}")),
            "search {round} after the kill"
        );
    }
    for upstream in &upstreams {
        let mut ids: Vec<String> = upstream.arrivals().into_iter().map(|it| it.id).collect();
        let all = ids.len();
        ids.sort();
        ids.dedup();
        assert_eq!(
            ids.len(),
            all,
            "a shard with one upstream was queried twice"
        );
    }
}

/// Returns the number of successful watch calls of an instance to the store.
fn watch_calls(site: &Site) -> u64 {
    let metrics = site.metrics().unwrap();
    let name = "briarcove_store_calls_total{call=\"watch\",result=\"ok\"} ";
    let count = metrics.lines().find_map(|line| line.strip_prefix(name));
    count.map_or(0, |count| count.parse().unwrap())
}

/// Waits until an instance serves a route; returns false if it does not within the time.
fn serves_route(site: &Site, path: &str, within: Duration) -> bool {
    let end = Instant::now() + within;
    while Instant::now() < end {
        if site.ask("GET", path, "n1", 1500).unwrap().status() == 200 {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// In a large fleet only a few instances watch the store, and the others receive updates from them.
/// A follower must switch to its own watch when the instance that it follows is paused.
#[test]
fn an_instance_of_a_large_fleet_follows_another_until_that_is_paused() {
    let mut site = Site::new(&folder("followed")).unwrap();
    // Records of instances that do not exist make the fleet look large.
    for other in 0..45 {
        let spec = serde_json::json!({"dataCentre": "there", "power": 0.01,
            "address": format!("127.0.0.1:{}", 100 + other)});
        site.store
            .put("briarcove-instances", &format!("gone-{other}"), spec);
    }
    let spec = serde_json::json!({"dataCentre": "here", "power": 0.4, "address": "127.0.0.1:99"});
    site.store.put("briarcove-instances", "gone-here", spec);
    let fast = Behaviour::Replies(Duration::from_millis(2));
    let desk = Upstream::start("desk-1", "desk", fast).unwrap();
    site.register(&desk, "ready");
    site.configure(1, &[route_one("/status/", "desk", true)], &["desk"]);
    site.start(PROGRAM.as_ref()).unwrap();
    let mut follower = site
        .sharing_store(&folder("follower"), "edge-here-2", 0.1)
        .unwrap();
    follower.start(PROGRAM.as_ref()).unwrap();
    let end = Instant::now() + Duration::from_secs(12);
    while !follower.log().unwrap().contains("following an instance") {
        assert!(Instant::now() < end, "the instance follows no other one");
        thread::sleep(Duration::from_millis(50));
    }
    let before = watch_calls(&follower);
    site.configure(2, &[route_one("/second/", "desk", true)], &["desk"]);
    assert!(serves_route(
        &follower,
        "/second/1",
        Duration::from_millis(2_500)
    ));
    assert_eq!(watch_calls(&follower), before);
    site.signal(Signal::SIGSTOP).unwrap();
    thread::sleep(Duration::from_millis(200));
    site.configure(3, &[route_one("/third/", "desk", true)], &["desk"]);
    assert!(serves_route(
        &follower,
        "/third/1",
        Duration::from_millis(3_000)
    ));
    assert!(follower.log().unwrap().contains("watching the store"));
    site.signal(Signal::SIGCONT).unwrap();
}

/// Each instance computes its share of the work from all records, so records of instances that are
/// gone have to be removed.
#[test]
fn the_record_of_an_instance_that_is_gone_is_removed() {
    let (site, _upstreams) = start_site("gone");
    let record = |address: &str| serde_json::json!({"dataCentre": "here", "power": 0.5, "removals": 0, "address": address});
    site.store
        .put("briarcove-instances", "gone-1", record("127.0.0.1:99"));
    let other = folder("stays");
    let mut remaining = site.sharing_store(&other, "edge-here-2", 0.5).unwrap();
    remaining.start(PROGRAM.as_ref()).unwrap();
    let names = || site.store.names("briarcove-instances");
    let end = Instant::now() + Duration::from_secs(40);
    while names().contains(&"gone-1".to_owned()) {
        assert!(Instant::now() < end, "the record is not removed");
        thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(names(), ["edge-here-1", "edge-here-2"]);
}
