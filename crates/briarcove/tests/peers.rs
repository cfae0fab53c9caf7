//! The `edge` command: several instances on a stand-in for the users' platform.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
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

/// Writes records of instances that do not exist.
pub(crate) fn make_fleet_look_large(site: &Site) {
    for other in 0..45 {
        let spec = serde_json::json!({"dataCentre": "there", "power": 0.01,
            "address": format!("127.0.0.1:{}", 100 + other)});
        site.store
            .put("briarcove-instances", &format!("gone-{other}"), spec);
    }
    let spec = serde_json::json!({"dataCentre": "here", "power": 0.4, "address": "127.0.0.1:99"});
    site.store.put("briarcove-instances", "gone-here", spec);
}

/// Waits until an instance receives updates from another one.
#[track_caller]
pub(crate) fn wait_until_following(follower: &Site) {
    let end = Instant::now() + Duration::from_secs(12);
    while !follower.log().unwrap().contains("following an instance") {
        assert!(Instant::now() < end, "the instance follows no other one");
        thread::sleep(Duration::from_millis(50));
    }
}

/// In a large fleet only a few instances watch the store, and the others receive updates from them.
/// A follower must switch to its own watch when the instance that it follows is paused.
#[test]
fn an_instance_of_a_large_fleet_follows_another_until_that_is_paused() {
    let mut site = Site::new(&folder("followed")).unwrap();
    make_fleet_look_large(&site);
    let fast = Behaviour::Replies(Duration::from_millis(2));
    let desk = Upstream::start("desk-1", "desk", fast).unwrap();
    site.register(&desk, "ready");
    site.configure(1, &[route_one("/status/", "desk", true)], &["desk"]);
    site.start(PROGRAM.as_ref()).unwrap();
    let mut follower = site
        .sharing_store(&folder("follower"), "edge-here-2", 0.1)
        .unwrap();
    follower.start(PROGRAM.as_ref()).unwrap();
    wait_until_following(&follower);
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

/// A way to the store on which answers on new connections can be held back.
struct SlowWay {
    address: SocketAddr,
    /// Whether connections are closed.
    is_down: Arc<AtomicBool>,
    is_slow: Arc<AtomicBool>,
    /// Number of connections since it is slow.
    slowed: Arc<AtomicUsize>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl SlowWay {
    /// Ends all connections, and closes new ones.
    fn cut(&self) {
        self.is_down.store(true, Ordering::Relaxed);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Time for which an answer is held back; shorter than the time limit of a probe.
const ANSWER_DELAY: Duration = Duration::from_millis(1_000);

/// Time after the return of the store in which removals are held.
const REMOVAL_HOLD: Duration = Duration::from_millis(2_200);

fn start_slow_way(store: SocketAddr) -> SlowWay {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (is_slow, slowed) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let is_down = Arc::new(AtomicBool::new(false));
    let down = Arc::clone(&is_down);
    let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let (slow, count): (Arc<AtomicBool>, Arc<AtomicUsize>) =
        (Arc::clone(&is_slow), Arc::clone(&slowed));
    let streams = Arc::clone(&open);
    thread::spawn(move || {
        for client in listener.incoming() {
            let client = client.unwrap();
            if down.load(Ordering::Relaxed) {
                continue;
            }
            let Ok(server) = TcpStream::connect(store) else {
                continue;
            };
            let delay = match slow.load(Ordering::Relaxed) {
                true => ANSWER_DELAY,
                false => Duration::ZERO,
            };
            count.fetch_add(usize::from(!delay.is_zero()), Ordering::Relaxed);
            streams.lock().unwrap().push(client.try_clone().unwrap());
            let (there, back) = (client.try_clone().unwrap(), server.try_clone().unwrap());
            thread::spawn(move || forward(there, server, Duration::ZERO));
            thread::spawn(move || forward(back, client, delay));
        }
    });
    SlowWay {
        address,
        is_down,
        is_slow,
        slowed,
        open,
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let mut buf = [0; 65_536];
    while let Ok(read @ 1..) = from.read(&mut buf) {
        thread::sleep(delay);
        if to.write_all(&buf[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}

/// Guards against a list that arrives later than an update which is newer: it brought back upstreams
/// that had been removed, for good (bench, pcr-briarcove-grown, trouble-3).
#[test]
fn a_follower_ignores_a_list_that_is_older_than_what_it_knows() {
    let mut site = Site::new(&folder("late_list")).unwrap();
    make_fleet_look_large(&site);
    let fast = Behaviour::Replies(Duration::from_millis(2));
    let leaving = Upstream::start("desk-1", "desk", fast).unwrap();
    let shedding = Upstream::start("desk-2", "desk", Behaviour::Sheds).unwrap();
    site.register(&leaving, "ready");
    site.register(&shedding, "ready");
    site.configure(1, &[route_one("/status/", "desk", true)], &["desk"]);
    site.start(PROGRAM.as_ref()).unwrap();
    let mut follower = site
        .sharing_store(&folder("late_list_follower"), "edge-here-2", 0.1)
        .unwrap();
    let way = start_slow_way(site.store_address());
    follower.set_store_address(way.address);
    follower.start(PROGRAM.as_ref()).unwrap();
    wait_until_following(&follower);
    thread::sleep(Duration::from_millis(1_000));
    // The follower takes the store for lost, and lists everything again on its return: after the
    // connection of its probe, it opens two more.
    way.cut();
    let end = Instant::now() + Duration::from_secs(15);
    while !follower.log().unwrap().contains("store unavailable") {
        assert!(Instant::now() < end, "the follower misses no store");
        thread::sleep(Duration::from_millis(20));
    }
    way.is_slow.store(true, Ordering::Relaxed);
    way.is_down.store(false, Ordering::Relaxed);
    while way.slowed.load(Ordering::Relaxed) < 3 {
        assert!(Instant::now() < end, "the follower does not list again");
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(100));
    site.store.remove("servers", "desk-1");
    thread::sleep(ANSWER_DELAY + REMOVAL_HOLD + Duration::from_millis(800));
    let before = leaving.arrivals().len();
    for round in 0..10 {
        let id = format!("late-{round}");
        follower.ask("GET", "/status/1", &id, 500).unwrap();
    }
    assert_eq!(leaving.arrivals().len(), before);
}
