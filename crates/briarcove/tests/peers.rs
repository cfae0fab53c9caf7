//! Several instances on the stand-in of the users' platform.

use std::{
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rig::edge::{Behaviour, Site, Upstream, route_gather, route_one};

use crate::edge::{PROGRAM, folder, header, started};

/// Returns how many searches another instance has answered for this one.
fn answered_elsewhere(site: &Site) -> u64 {
    let metrics = site.metrics().unwrap();
    let name = "briarcove_handed_over_total{end=\"answered\"} ";
    let count = metrics.lines().find_map(|line| line.strip_prefix(name));
    count.map_or(0, |count| count.parse().unwrap())
}

/// Asks until another instance answers, or `within` is over.
fn hands_over(site: &Site, within: Duration) -> bool {
    let end = Instant::now() + within;
    for round in 0.. {
        let id = format!("wait{round}");
        let answer = site.ask("GET", "/search/2f", &id, 1200).unwrap();
        assert_eq!(answer.status(), 200);
        if answered_elsewhere(site) > 0 {
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
fn a_search_is_run_by_an_instance_with_more_of_a_processor() {
    let (mut large, _upstreams) = started("handed_large");
    let folder = folder("handed_small");
    let mut small = large.sharing_store(&folder, "edge-here-2", 0.01).unwrap();
    small.start(PROGRAM.as_ref()).unwrap();
    assert!(hands_over(&small, Duration::from_secs(10)));
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

/// Four shards have their only upstreams beside another instance, which asks them and returns the
/// records of all of them as one reply; once it is gone they are asked from here.
#[test]
fn shards_elsewhere_are_asked_by_an_instance_beside_them() {
    let shards: Vec<String> = (0..8).map(|shard| format!("shard-{shard}")).collect();
    let mut site = Site::new(&folder("branch_here")).unwrap();
    let mut upstreams = Vec::new();
    for (at, shard) in shards.iter().enumerate() {
        let quick = Behaviour::Replies(Duration::from_millis(2));
        let mut upstream = Upstream::start(&format!("up-{at}"), shard, quick).unwrap();
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
    assert!(hands_over(&site, Duration::from_secs(10)));
    let is_whole = |id: &str| {
        let answer = site.ask("GET", "/search/2f", id, 1200).unwrap();
        let signatures = header(&answer, "x-part-stamps").split(", ").count();
        let records: Vec<&[u8]> = answer.body().chunks(16).collect();
        answer.status() == 200
            && header(&answer, "x-missing-parts") == "0"
            && (signatures, records.len()) == (8, 8)
            && records.is_sorted_by(|a, b| a >= b)
    };
    assert!(is_whole("b1"));
    there.signal(Signal::SIGKILL).unwrap();
    there.wait().unwrap();
    for round in 0..5 {
        assert!(
            is_whole(&format!("c{round}")),
            "search {round} after the kill"
        );
    }
    for upstream in &upstreams {
        let mut ids: Vec<String> = upstream.arrivals().into_iter().map(|it| it.id).collect();
        let all = ids.len();
        ids.sort();
        ids.dedup();
        assert_eq!(ids.len(), all, "a shard with one upstream was asked twice");
    }
}

/// Returns how many replies to watches an instance has had from the store.
fn watched(site: &Site) -> u64 {
    let metrics = site.metrics().unwrap();
    let name = "briarcove_store_calls_total{call=\"watch\",result=\"ok\"} ";
    let count = metrics.lines().find_map(|line| line.strip_prefix(name));
    count.map_or(0, |count| count.parse().unwrap())
}

/// Waits until an instance knows a route.
fn knows(site: &Site, path: &str, within: Duration) -> bool {
    let end = Instant::now() + within;
    while Instant::now() < end {
        if site.ask("GET", path, "n1", 1500).unwrap().status() == 200 {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Of many instances only a few watch the store; the others hear of changes from those, and watch
/// by themselves once they do not.
#[test]
fn one_of_many_instances_follows_another_until_that_stands_still() {
    let mut site = Site::new(&folder("followed")).unwrap();
    // Records of instances that are gone, so that there seem to be many.
    for other in 0..45 {
        let spec = serde_json::json!({"dataCentre": "there", "power": 0.01,
            "address": format!("127.0.0.1:{}", 100 + other)});
        site.store
            .put("briarcove-instances", &format!("gone-{other}"), spec);
    }
    let spec = serde_json::json!({"dataCentre": "here", "power": 0.4, "address": "127.0.0.1:99"});
    site.store.put("briarcove-instances", "gone-here", spec);
    let quick = Behaviour::Replies(Duration::from_millis(2));
    let desk = Upstream::start("desk-1", "desk", quick).unwrap();
    site.register(&desk, "ready");
    site.configure(1, &[route_one("/status/", "desk", true)], &["desk"]);
    site.start(PROGRAM.as_ref()).unwrap();
    let mut follower = site
        .sharing_store(&folder("follower"), "edge-here-2", 0.1)
        .unwrap();
    follower.start(PROGRAM.as_ref()).unwrap();
    let end = Instant::now() + Duration::from_secs(12);
    while !follower.log().unwrap().contains("following an instance") {
        assert!(Instant::now() < end, "nobody is followed");
        thread::sleep(Duration::from_millis(50));
    }
    let before = watched(&follower);
    site.configure(2, &[route_one("/second/", "desk", true)], &["desk"]);
    assert!(knows(&follower, "/second/1", Duration::from_millis(2_500)));
    assert_eq!(watched(&follower), before);
    site.signal(Signal::SIGSTOP).unwrap();
    thread::sleep(Duration::from_millis(200));
    site.configure(3, &[route_one("/third/", "desk", true)], &["desk"]);
    assert!(knows(&follower, "/third/1", Duration::from_millis(3_000)));
    assert!(follower.log().unwrap().contains("watching the store"));
    site.signal(Signal::SIGCONT).unwrap();
}

/// The shares of instances follow from their records, so those of instances that are gone go.
#[test]
fn the_record_of_an_instance_that_is_gone_is_removed() {
    let (site, _upstreams) = started("gone");
    let record = |address: &str| serde_json::json!({"dataCentre": "here", "power": 0.5, "removals": 0, "address": address});
    site.store
        .put("briarcove-instances", "gone-1", record("127.0.0.1:99"));
    let other = folder("stays");
    let mut stays = site.sharing_store(&other, "edge-here-2", 0.5).unwrap();
    stays.start(PROGRAM.as_ref()).unwrap();
    let names = || site.store.names("briarcove-instances");
    let end = Instant::now() + Duration::from_secs(40);
    while names().contains(&"gone-1".to_owned()) {
        assert!(Instant::now() < end, "the record stays");
        thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(names(), ["edge-here-1", "edge-here-2"]);
}
