//! Entries that another writer left among those of the upstreams, and that name none.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use bytes::Bytes;
use nix::sys::signal::Signal;
use rig::edge::{Behaviour, Site, Upstream, route_one};
use serde_json::json;

use crate::{
    edge::{PROGRAM, folder, start_site},
    peers::{make_fleet_look_large, wait_until_following},
};

/// Levels of nesting of an odd value, more than a recursive parser bears.
pub(crate) const LEVELS: usize = 20_000;

/// Names that have a meaning of their own in the path or query of a URL.
pub(crate) const ODD_NAMES: [&str; 7] = [
    "desk-1&after=",
    "desk-1+x",
    "desk-1#x",
    "d%7E",
    "desk-1 x",
    "desk-1?watch=1",
    "desk-1/status",
];

/// A listener at which an odd entry claims an upstream, and the connections that it gets.
struct Decoy {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

impl Decoy {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&connections);
        thread::spawn(move || {
            for _ in listener.incoming() {
                count.fetch_add(1, Ordering::Relaxed);
            }
        });
        Self {
            address,
            connections,
        }
    }

    /// Returns an entry with one field replaced by text that need not be JSON.
    fn entry_with(&self, field: &str, text: &[u8]) -> Bytes {
        let mut entry = json!({"service": "desk", "addr": self.address.to_string(), "zone": "here",
            "version": "v1", "slots": 2, "state": "ready", "coldLeftMs": 0, "seq": 1,
            "born": 1_700_000_000_000_u64});
        entry[field] = json!("<odd>");
        let entry = entry.to_string();
        let (before, after) = entry.split_once("\"<odd>\"").unwrap();
        [before.as_bytes(), text, after.as_bytes()].concat().into()
    }

    /// Returns entries that name no upstream, each with a word on what is odd.
    fn odd_entries(&self) -> Vec<(&'static str, Bytes)> {
        let lists = [vec![b'['; LEVELS], vec![b']'; LEVELS]].concat();
        let objects = [r#"{"a":"#.repeat(LEVELS), "0".into(), "}".repeat(LEVELS)].concat();
        let digits = "9".repeat(400);
        let (host, port) = (self.address.ip(), self.address.port());
        let address = |text: String| self.entry_with("addr", format!("\"{text}\"").as_bytes());
        vec![
            ("nested lists", self.entry_with("version", &lists)),
            (
                "nested objects",
                self.entry_with("note", objects.as_bytes()),
            ),
            ("lists alone", lists.into()),
            ("too large an exponent", self.entry_with("slots", b"1e999")),
            ("too many digits", self.entry_with("seq", digits.as_bytes())),
            (
                "beyond 64 bits",
                self.entry_with("seq", b"18446744073709551616"),
            ),
            ("a negative number", self.entry_with("born", b"-1")),
            ("text for a number", self.entry_with("slots", b"\"2\"")),
            (
                "half a character",
                self.entry_with("version", b"\"\\ud800\""),
            ),
            (
                "bytes that are no text",
                self.entry_with("version", b"\"\xff\xfe\""),
            ),
            ("no number", self.entry_with("coldLeftMs", b"NaN")),
            ("a port out of range", address(format!("{host}:65536"))),
            ("port zero", address(format!("{host}:0"))),
            (
                "no address in particular",
                address(format!("0.0.0.0:{port}")),
            ),
        ]
    }
}

/// Kills an instance and starts it again.
pub(crate) fn restart(site: &mut Site) -> std::io::Result<()> {
    site.signal(Signal::SIGKILL).unwrap();
    site.wait_for_signal().unwrap();
    site.start(PROGRAM.as_ref())
}

/// Returns how many of some requests are served.
pub(crate) fn served(site: &Site, mark: &str) -> usize {
    let status = |n| site.ask("GET", "/status/1", &format!("{mark}-{n}"), 1_500);
    let served = (0..12).filter(|n| status(*n).is_ok_and(|answer| answer.status() == 200));
    served.count()
}

/// Almost no request was served after a restart of all instances (RECOVER).
#[test]
fn an_instance_starts_while_an_entry_cannot_be_read() {
    let (mut site, _upstreams) = start_site("odd_at_start");
    let decoy = Decoy::start();
    let mut failed = Vec::new();
    for (what, entry) in decoy.odd_entries() {
        site.store.put_bytes("servers", "another-writer", entry);
        let started = restart(&mut site);
        if started.is_err() || served(&site, what.split(' ').next().unwrap()) < 12 {
            failed.push(what);
        }
    }
    assert!(failed.is_empty(), "does not serve with {failed:?}");
    assert_eq!(decoy.connections.load(Ordering::Relaxed), 0);
}

/// Running instances learned of no change any more.
#[test]
fn an_entry_that_cannot_be_read_hides_no_change() {
    let (site, upstreams) = start_site("odd_in_watch");
    let decoy = Decoy::start();
    let mut failed = Vec::new();
    let mut desks = [&upstreams[6], &upstreams[7]];
    for (at, (what, entry)) in decoy.odd_entries().into_iter().enumerate() {
        // One upstream leaves, and the next incarnation of the other one comes.
        let [leaving, coming] = desks;
        site.store.put_bytes("servers", "another-writer", entry);
        site.store.remove("servers", &leaving.name());
        coming.restart(None);
        site.register(coming, "ready");
        thread::sleep(Duration::from_millis(1_500));
        let before = coming.arrivals().len();
        let served = served(&site, &format!("w{at}"));
        if [served, coming.arrivals().len() - before] != [12, 12] {
            failed.push(what);
        }
        desks.reverse();
    }
    assert!(failed.is_empty(), "a change is missed with {failed:?}");
    assert_eq!(decoy.connections.load(Ordering::Relaxed), 0);
}

/// An upstream is used no longer once its own entry cannot be read.
#[test]
fn an_entry_that_turns_unreadable_names_no_upstream() {
    let (site, upstreams) = start_site("turned_odd");
    let [first, second] = [&upstreams[6], &upstreams[7]];
    let text = first.entry("ready").to_string();
    let odd = text.replace("\"v1\"", "\"\\ud800\"");
    assert_ne!(text, odd);
    site.store.put_bytes("servers", "desk-1", odd.into());
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(served(&site, "t"), 12);
    assert_eq!([first, second].map(|it| it.arrivals().len()), [0, 12]);
}

/// Numbers of the right type that no upstream names end no instance, and make none of the others wait.
#[test]
fn an_entry_with_the_largest_numbers_does_no_harm() {
    let (mut site, _upstreams) = start_site("largest");
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr();
    let mut entry = json!({"service": "desk", "addr": closed.unwrap().to_string(), "zone": "here",
        "version": "v1", "state": "ready", "slots": u32::MAX});
    for field in ["coldLeftMs", "seq", "born"] {
        entry[field] = json!(u64::MAX);
    }
    site.store.put("servers", "another-writer", entry);
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(served(&site, "l1"), 12);
    restart(&mut site).unwrap();
    assert_eq!(served(&site, "l2"), 12);
    site.store.remove("servers", "another-writer");
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(served(&site, "l3"), 12);
    assert!(!site.has_ended(), "{}", site.end());
}

/// An instance that does not watch the store learns of it from another one.
#[test]
fn a_follower_drops_an_upstream_whose_entry_turns_unreadable() {
    let mut site = Site::new(&folder("odd_followed")).unwrap();
    make_fleet_look_large(&site);
    let fast = Behaviour::Replies(Duration::from_millis(2));
    let desks = ["desk-1", "desk-2"].map(|name| Upstream::start(name, "desk", fast).unwrap());
    for desk in &desks {
        site.register(desk, "ready");
    }
    site.configure(1, &[route_one("/status/", "desk", true)], &["desk"]);
    site.start(PROGRAM.as_ref()).unwrap();
    let mut follower = site
        .sharing_store(&folder("odd_follower"), "edge-here-2", 0.1)
        .unwrap();
    follower.start(PROGRAM.as_ref()).unwrap();
    wait_until_following(&follower);
    let odd = Decoy::start().odd_entries();
    for (at, (what, entry)) in odd.into_iter().enumerate().take(3) {
        site.store.put_bytes("servers", &desks[0].name(), entry);
        thread::sleep(Duration::from_millis(2_000));
        let before = desks[0].arrivals().len();
        assert_eq!(served(&follower, &format!("f{at}")), 12, "{what}");
        assert_eq!(desks[0].arrivals().len(), before, "{what}");
        desks[0].restart(None);
        site.register(&desks[0], "ready");
        thread::sleep(Duration::from_millis(2_000));
    }
}

/// Names that are not escaped ended a list, or made it begin again without end.
#[test]
fn a_list_of_several_pages_goes_on_after_any_name() {
    let (mut site, _upstreams) = start_site("odd_names");
    site.store.set_page_size(1);
    let decoy = Decoy::start();
    let mut failed = Vec::new();
    for name in ODD_NAMES {
        let entry = decoy.entry_with("version", b"\"v1\"");
        site.store.put_bytes("servers", name, entry);
        let started = restart(&mut site);
        if started.is_err() || served(&site, "n") < 12 {
            failed.push(name);
        }
        site.store.remove("servers", name);
    }
    assert!(failed.is_empty(), "does not serve with {failed:?}");
    assert_eq!(decoy.connections.load(Ordering::Relaxed), 0);
}
