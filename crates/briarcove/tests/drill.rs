//! Instances whose store comes back from an older copy, and gives out revisions again.

use std::{
    thread,
    time::{Duration, Instant},
};

use rig::edge::{Availability, Behaviour, Site, Upstream, route_one};
use serde_json::json;

use crate::edge::{PROGRAM, folder, start_site};

/// Time in which a change has to be in force everywhere, as the platform requires.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of configurations that the store loses.
const LOST_VERSIONS: u64 = 4;

/// Kind of objects that no instance uses.
const OTHER_KIND: &str = "other";

/// Writes a configuration with a route of its own.
fn configure(site: &Site, version: u64) {
    let own = route_one(&format!("/version-{version}/"), "desk", true);
    let routes = [route_one("/status/", "desk", true), own];
    site.configure(version, &routes, &["desk"]);
}

/// Returns whether an instance serves the route of a configuration before the time is over.
fn serves(site: &Site, version: u64, within: Duration) -> bool {
    let end = Instant::now() + within;
    let path = format!("/version-{version}/1");
    while Instant::now() < end {
        if site.ask("GET", &path, "v", 1500).unwrap().status() == 200 {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Writes configurations, waits until an instance has the last one, and returns the time before.
fn configure_and_wait(site: &Site, asked: &Site) -> Instant {
    let before = Instant::now();
    thread::sleep(Duration::from_millis(50));
    for version in 2..2 + LOST_VERSIONS {
        configure(site, version);
    }
    assert!(serves(asked, 1 + LOST_VERSIONS, CHANGE_TIMEOUT));
    before
}

/// A watch that waits through the drill is not told of a change whose revision it already knows.
#[test]
fn a_change_at_a_revision_that_is_given_out_again_comes_into_force() {
    let (site, _upstreams) = start_site("drill_watch");
    thread::sleep(Duration::from_millis(2_500));
    let before = configure_and_wait(&site, &site);
    thread::sleep(Duration::from_millis(800));
    site.store.set_availability(Availability::Silent);
    site.store.restore(before.elapsed());
    configure(&site, 9);
    for filler in 1..LOST_VERSIONS {
        site.store.put(OTHER_KIND, &filler.to_string(), json!({}));
    }
    site.store.set_availability(Availability::Sound);
    assert!(serves(&site, 9, CHANGE_TIMEOUT));
}

/// A follower does not take the revisions of the new history for old ones.
#[test]
fn a_follower_gets_the_changes_after_a_drill() {
    let mut site = Site::new(&folder("drill_followed")).unwrap();
    for other in 0..45 {
        let spec = json!({"dataCentre": "there", "power": 0.01,
            "address": format!("127.0.0.1:{}", 100 + other)});
        let name = format!("gone-{other}");
        site.store.put("briarcove-instances", &name, spec);
    }
    let spec = json!({"dataCentre": "here", "power": 0.4, "address": "127.0.0.1:99"});
    site.store.put("briarcove-instances", "gone-here", spec);
    let fast = Behaviour::Replies(Duration::from_millis(2));
    let desk = Upstream::start("desk-1", "desk", fast).unwrap();
    site.register(&desk, "ready");
    configure(&site, 1);
    site.start(PROGRAM.as_ref()).unwrap();
    let folder = folder("drill_follower");
    let mut follower = site.sharing_store(&folder, "edge-here-2", 0.1).unwrap();
    follower.start(PROGRAM.as_ref()).unwrap();
    let end = Instant::now() + Duration::from_secs(12);
    while !follower.log().unwrap().contains("following an instance") {
        assert!(Instant::now() < end, "the instance follows no other one");
        thread::sleep(Duration::from_millis(50));
    }
    let before = configure_and_wait(&site, &follower);
    site.store.restore(before.elapsed());
    configure(&site, 9);
    assert!(serves(&follower, 9, CHANGE_TIMEOUT));
}

/// The copy lists an upstream that has left as ready, until the platform misses its heartbeats.
#[test]
fn an_upstream_that_left_before_a_drill_gets_no_requests_after_it() {
    let (site, upstreams) = start_site("drill_left");
    thread::sleep(Duration::from_millis(1_000));
    let before = Instant::now();
    thread::sleep(Duration::from_millis(50));
    site.store.remove("servers", "desk-1");
    thread::sleep(Duration::from_millis(1_500));
    let arrivals = upstreams[6].arrivals().len();
    // Requests go to any other upstream that is known.
    upstreams[7].set_behaviour(Behaviour::Sheds);
    site.store.restore(before.elapsed());
    let restored = Instant::now();
    while restored.elapsed() < Duration::from_millis(3_600) {
        site.ask("GET", "/status/1", "s", 300).unwrap();
        thread::sleep(Duration::from_millis(20));
    }
    site.store.remove("servers", "desk-1");
    while restored.elapsed() < Duration::from_millis(7_500) {
        site.ask("GET", "/status/1", "s", 300).unwrap();
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(upstreams[6].arrivals().len(), arrivals);
    // One that has started again is used at once.
    upstreams[6].restart(None);
    site.register(&upstreams[6], "ready");
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(
        site.ask("GET", "/status/1", "t", 1500).unwrap().status(),
        200
    );
}

/// The copy is older than the configuration, the upstreams and the instance's record.
#[test]
fn what_a_drill_has_lost_stays_in_use_and_is_written_again() {
    let created = Instant::now();
    let (site, _upstreams) = start_site("drill_lost");
    let is_registered = || {
        let names = site.store.names("briarcove-instances");
        names.contains(&"edge-here-1".to_owned())
    };
    let end = Instant::now() + Duration::from_secs(5);
    while !is_registered() {
        assert!(Instant::now() < end, "the instance writes no record");
        thread::sleep(Duration::from_millis(20));
    }
    site.store.restore(created.elapsed());
    assert!(!is_registered());
    let restored = Instant::now();
    let mut is_written = false;
    while restored.elapsed() < Duration::from_secs(4) {
        let answer = site.ask("GET", "/status/1", "u", 1500).unwrap();
        assert_eq!(answer.status(), 200, "after {:?}", restored.elapsed());
        assert!(site.is_ready());
        if !is_written && restored.elapsed() > Duration::from_millis(2_000) {
            site.store.rewrite_external();
            is_written = true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    assert!(is_registered(), "the record is lost");
    let metrics = site.metrics().unwrap();
    assert!(metrics.contains("briarcove_store_era 2"), "{metrics}");
}

/// A refusal without an era is not taken for an answer from before the drill.
#[test]
fn a_store_that_refuses_calls_counts_as_lost_whatever_the_era() {
    let (site, _upstreams) = start_site("drill_down");
    site.store.restore(Duration::ZERO);
    thread::sleep(Duration::from_millis(2_000));
    site.store.set_availability(Availability::Down);
    let end = Instant::now() + Duration::from_secs(4);
    while !site.log().unwrap().contains("store unavailable") {
        assert!(Instant::now() < end, "the instance does not notice");
        thread::sleep(Duration::from_millis(50));
    }
    site.store.set_availability(Availability::Sound);
}
