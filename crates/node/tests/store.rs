//! Tests of the store and its synchronisation: the newest objects win whatever the order of pages,
//! and they are obtained from the platform or from peers.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use base::{InstanceName, OpId, Revision, Time, Version};
use bytes::Bytes;
use cat::Catalogue;
use node::{
    Effect, Kind, Object, PlatformOp,
    effect::Note,
    event::PlatformEvent,
    store::{Change, Context, Page, PeerStatus, Peers, Store, StoreSync, SyncConfig},
};
use quickcheck::{Arbitrary, Gen, quickcheck};
use wire::{Body, Pull};

/// Size of a page with one or two of the objects of these tests, in bytes.
const SMALL_PAGE_BYTES: usize = 120;

fn object(kind: Kind, name: &str, version: u64, value: &str) -> Object {
    let value = Bytes::copy_from_slice(value.as_bytes());
    Object {
        kind,
        name: name.into(),
        version: Version(version),
        value,
    }
}

fn head(version: u64, revision: u64, document: &str) -> Object {
    let value = format!(r#"{{"revision":{revision},"document":"{document}","change":{{}}}}"#);
    object(Kind::Catalogue, "head", version, &value)
}

fn document(version: u64, digest: &str) -> Object {
    let text = String::from_utf8(Catalogue::default().to_json()).unwrap();
    object(Kind::Document, digest, version, &text)
}

fn index(version: u64, snapshots: &[u64]) -> Object {
    let shard = r#"{"name":"s1","replicas":["u1"]}"#;
    let one = |id: &u64| format!(r#"{{"id":{id},"shards":[{shard}]}}"#);
    let all: Vec<_> = snapshots.iter().map(one).collect();
    let value = format!(r#"{{"service":"diary","snapshots":[{}]}}"#, all.join(","));
    object(Kind::Index, "diary", version, &value)
}

fn liveness(version: u64, service: &str) -> Object {
    let value = format!(r#"{{"live":["u{version}"],"leaving":[]}}"#);
    object(Kind::Liveness, service, version, &value)
}

/// One write to the platform: a number that selects the object, and whether the write is valid.
#[derive(Clone, Debug)]
struct Write(u8, bool);

impl Arbitrary for Write {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u8::arbitrary(g), u8::arbitrary(g) % 4 > 0)
    }
}

/// Returns the objects that the writes store, in the order of their versions.
fn history(writes: &[Write]) -> Vec<Object> {
    let mut revision = 0;
    let mut version = 0;
    let mut all = Vec::new();
    for Write(kind, valid) in writes {
        version += 1;
        let bad = |kind, name| object(kind, name, version, "{bad");
        let written = match (kind % 4, valid) {
            (0, true) => {
                revision += 1;
                all.push(document(version, &format!("d{revision}")));
                version += 1;
                head(version, revision, &format!("d{revision}"))
            }
            (0, false) => bad(Kind::Catalogue, "head"),
            (1, true) => index(version, &[version, version + 1]),
            (1, false) => index(version, &[version + 1, version]),
            (n, true) => liveness(version, ["diary", "store"][usize::from(n % 2)]),
            (n, false) => bad(Kind::Liveness, ["diary", "store"][usize::from(n % 2)]),
        };
        all.push(written);
    }
    all
}

/// Returns the page that a watcher that is complete up to `after` receives at version `seen`.
fn page(history: &[Object], after: u64, seen: u64) -> Page {
    let mut latest = BTreeMap::new();
    for o in history.iter().filter(|o| o.version.0 <= seen) {
        latest.insert((o.kind, o.name.clone()), o.clone());
    }
    let objects = latest.into_values().filter(|o| o.version.0 > after);
    Page {
        objects: objects.collect(),
        after: Version(after),
        seen: Version(seen),
    }
}

/// Formats what the rest of the reducer reads from a store.
fn view(store: &Store) -> String {
    let services = ["diary", "store"].map(|s| s.parse().unwrap());
    let head = store.head().map(|h| (h.revision, h.document.clone()));
    let indexes = services.each_ref().map(|s| store.index(s).cloned());
    let liveness = services.each_ref().map(|s| store.liveness(s).cloned());
    format!("{head:?} {indexes:?} {liveness:?}")
}

fn progress(store: &Store) -> (Version, Option<Revision>, Option<u64>) {
    let service = "diary".parse().unwrap();
    let snapshot = store
        .index(&service)
        .and_then(|i| i.snapshots.last().map(|s| s.id.0));
    (store.seen(), store.head().map(|h| h.revision), snapshot)
}

quickcheck! {
    fn a_store_never_reverts(writes: Vec<Write>, pages: Vec<(u8, u8)>) -> bool {
        let history = history(&writes);
        let newest = history.len() as u64;
        let mut store = Store::default();
        let mut effects = Vec::new();
        let mut grows = true;
        for (a, b) in pages {
            let (a, b) = (u64::from(a) % (newest + 1), u64::from(b) % (newest + 1));
            let before = progress(&store);
            store.apply(page(&history, a.min(b), a.max(b)), &mut effects);
            let after = progress(&store);
            grows &= before.0 <= after.0 && before.1 <= after.1 && before.2 <= after.2;
        }
        let before = progress(&store);
        store.apply(Page::of(history.clone()), &mut effects);
        store.apply(Page::of(history.iter().rev().cloned().collect()), &mut effects);
        let mut in_order = Store::default();
        history.iter().for_each(|o| {
            in_order.apply(Page::of(vec![o.clone()]), &mut effects);
        });
        let last = history.iter().filter(|o| o.kind == Kind::Document).count() as u64;
        let in_force = store.head().map_or(0, |h| h.revision.0);
        grows && store.seen() == before.0 && in_force == last && view(&store) == view(&in_order)
    }

    fn truncated_pages_give_equal_stores(writes: Vec<Write>, cuts: Vec<u8>) -> bool {
        let history = history(&writes);
        let newest = history.len() as u64;
        let mut effects = Vec::new();
        let mut source = Store::default();
        source.apply(page(&history, 0, newest), &mut effects);
        let mut copy = Store::default();
        let mut sizes = cuts.iter().map(|&c| usize::from(c))
            .chain(std::iter::repeat(SMALL_PAGE_BYTES));
        while copy.seen() < source.seen() {
            let before = copy.seen();
            let size = sizes.next().unwrap();
            let part = source.page_since(copy.seen(), size);
            copy.apply(Page::try_from(part).unwrap(), &mut effects);
            if copy.seen() <= before {
                return false;
            }
        }
        view(&copy) == view(&source) && copy.newest() == source.newest()
    }

    fn any_object_is_survived(kind: u8, name: String, value: String) -> bool {
        let kind = Kind::WATCHED[usize::from(kind) % Kind::WATCHED.len()];
        let mut store = Store::default();
        store.apply(Page::of(vec![object(kind, &name, 1, &value)]), &mut Vec::new());
        store.head().is_none()
    }
}

#[test]
fn a_page_after_a_gap_does_not_complete_the_store() {
    let mut store = Store::default();
    let late = Page {
        objects: Vec::new(),
        after: Version(5),
        seen: Version(9),
    };
    store.apply(late, &mut Vec::new());
    assert_eq!(store.seen(), Version(0));
}

#[test]
fn a_lower_revision_is_ignored_with_a_note() {
    let mut store = Store::default();
    let mut effects = Vec::new();
    let objects = vec![document(1, "a"), document(2, "b"), head(3, 7, "a")];
    let changes = store.apply(Page::of(objects), &mut effects);
    assert_eq!(changes, [Change::InForce(Revision(7))]);
    effects.clear();
    let changes = store.apply(Page::of(vec![head(9, 6, "b")]), &mut effects);
    assert!(changes.is_empty() && store.head().unwrap().revision == Revision(7));
    assert!(matches!(
        &effects[..],
        [Effect::Note(Note::BadObject { .. })]
    ));
}

/// Values that a parser does not bear, in each kind of object that is read.
#[test]
fn odd_objects_are_ignored_with_a_note() {
    let mut store = Store::default();
    let mut effects = Vec::new();
    let sound = vec![
        document(1, "a"),
        head(2, 7, "a"),
        index(3, &[4]),
        liveness(4, "diary"),
    ];
    store.apply(Page::of(sound), &mut effects);
    let nested = ["[".repeat(20_000), "]".repeat(20_000)].concat();
    let mut version = 10;
    for odd in [
        &*nested,
        "1e999",
        "\"\\ud800\"",
        "null",
        "{\"revision\":1e30}",
    ] {
        for kind in [Kind::Catalogue, Kind::Index, Kind::Liveness] {
            effects.clear();
            version += 1;
            let name = if kind == Kind::Catalogue {
                "head"
            } else {
                "diary"
            };
            let changes = store.apply(
                Page::of(vec![object(kind, name, version, odd)]),
                &mut effects,
            );
            assert!(changes.is_empty(), "{kind:?}: {changes:?}");
            let noted = matches!(&effects[..], [Effect::Note(Note::BadObject { .. })]);
            assert!(noted, "{kind:?}: {effects:?}");
        }
        effects.clear();
        version += 2;
        // A document counts once a head names it.
        let revision = 100 + version;
        let objects = vec![
            object(Kind::Document, &format!("odd-{version}"), version - 1, odd),
            head(version, revision, &format!("odd-{version}")),
        ];
        assert!(store.apply(Page::of(objects), &mut effects).is_empty());
        let noted = matches!(&effects[..], [Effect::Note(Note::BadObject { .. })]);
        assert!(noted, "{effects:?}");
    }
    assert_eq!(store.head().unwrap().revision, Revision(7));
    let diary: base::ServiceName = "diary".parse().unwrap();
    assert!(store.index(&diary).is_some() && store.liveness(&diary).is_some());
}

/// A fixed membership.
struct TestPeers {
    self_is_watcher: bool,
    peers: Vec<(InstanceName, u64, bool)>,
}

impl Peers for TestPeers {
    fn statuses(&self) -> impl Iterator<Item = PeerStatus<'_>> {
        self.peers
            .iter()
            .map(|(name, seen, is_watcher)| PeerStatus {
                name,
                address: SocketAddr::from(([127, 0, 0, 1], 7_100)),
                seen: Version(*seen),
                is_watcher: *is_watcher,
            })
    }

    fn is_watcher(&self) -> bool {
        self.self_is_watcher
    }
}

/// A synchronised store with its clock.
struct Fixture {
    now: Time,
    ops: OpId,
    sync: StoreSync,
    store: Store,
}

impl Fixture {
    fn new() -> Self {
        let now = Time::from_millis(1);
        let sync = StoreSync::new(SyncConfig::default(), "a".parse().unwrap(), now);
        Self {
            now,
            ops: OpId(0),
            sync,
            store: Store::default(),
        }
    }

    fn poll(&mut self, membership: &TestPeers) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut cx = Context {
            now: self.now,
            ops: &mut self.ops,
            effects: &mut effects,
        };
        self.sync.poll(&mut cx, membership, &self.store);
        effects
    }

    /// Advances the clock to the next wake and polls.
    fn wait(&mut self, membership: &TestPeers) -> Vec<Effect> {
        assert!(self.sync.next_wake() > self.now);
        self.now = self.sync.next_wake();
        self.poll(membership)
    }

    fn platform(&mut self, op: OpId, event: &PlatformEvent) -> bool {
        let mut effects = Vec::new();
        let mut cx = Context {
            now: self.now,
            ops: &mut self.ops,
            effects: &mut effects,
        };
        self.sync
            .on_platform(&mut cx, op, event, &mut self.store)
            .is_some()
    }

    fn objects(&mut self, from: &str, objects: wire::Objects) -> Vec<Change> {
        let mut effects = Vec::new();
        let mut cx = Context {
            now: self.now,
            ops: &mut self.ops,
            effects: &mut effects,
        };
        self.sync
            .on_objects(&mut cx, &from.parse().unwrap(), objects, &mut self.store)
    }

    fn is_ready(&self) -> bool {
        self.sync.is_ready(self.now, &self.store)
    }
}

fn watch(effects: &[Effect]) -> Option<(OpId, Version)> {
    effects.iter().find_map(|e| match e {
        Effect::Platform(op, PlatformOp::Watch { after, .. }) => Some((*op, *after)),
        _ => None,
    })
}

fn pulls(effects: &[Effect]) -> Vec<(InstanceName, Pull)> {
    let pull = |e: &Effect| match e {
        Effect::Peer(to, Body::Pull(pull)) => Some((to.name.clone().unwrap(), pull.clone())),
        _ => None,
    };
    effects.iter().filter_map(pull).collect()
}

/// Returns a store with a catalogue in force, complete up to version 3.
fn full() -> Store {
    let mut store = Store::default();
    let objects = vec![document(1, "a"), head(2, 1, "a"), liveness(3, "diary")];
    let page = Page {
        objects,
        after: Version(0),
        seen: Version(3),
    };
    store.apply(page, &mut Vec::new());
    store
}

#[test]
fn a_new_instance_queries_platform_and_peers_and_waits_for_one() {
    let membership = TestPeers {
        self_is_watcher: false,
        peers: vec![("w".parse().unwrap(), 3, true)],
    };
    let mut fixture = Fixture::new();
    let effects = fixture.poll(&membership);
    assert_eq!(watch(&effects).unwrap().1, Version(0));
    assert!(!pulls(&effects).is_empty() && !fixture.is_ready());
    fixture.objects("w", full().page_since(Version(0), usize::MAX));
    assert!(fixture.is_ready());
    let effects = fixture.poll(&membership);
    assert!(watch(&effects).is_none());
    let waiting = pulls(&effects);
    assert_eq!((waiting.len(), waiting[0].1.after), (1, 3));
    assert!(
        waiting[0].1.wait_ms > 0,
        "the next pull waits at the watcher"
    );
}

#[test]
fn a_watcher_backs_off_while_the_platform_is_down() {
    let membership = TestPeers {
        self_is_watcher: true,
        peers: Vec::new(),
    };
    let mut fixture = Fixture::new();
    let (mut op, _) = watch(&fixture.poll(&membership)).unwrap();
    let started = fixture.now;
    let mut calls = 1;
    while fixture.now.since(started) < Duration::from_secs(60) {
        assert!(fixture.platform(op, &PlatformEvent::Unavailable));
        fixture.poll(&membership);
        op = loop {
            if let Some((op, _)) = watch(&fixture.wait(&membership)) {
                break op;
            }
        };
        calls += 1;
    }
    assert!((8..=25).contains(&calls), "{calls} calls in a minute");
    let objects = vec![document(1, "a"), head(2, 1, "a")];
    fixture.platform(
        op,
        &PlatformEvent::Changed {
            objects,
            seen: Version(2),
        },
    );
    assert!(fixture.is_ready());
    fixture.poll(&membership);
    assert_eq!(watch(&fixture.wait(&membership)).unwrap().1, Version(2));
}

#[test]
fn a_silent_peer_is_ejected() {
    let (b, c) = ("b".parse().unwrap(), "c".parse().unwrap());
    let membership = TestPeers {
        self_is_watcher: true,
        peers: vec![(b, 3, false), (c, 2, false)],
    };
    let mut fixture = Fixture::new();
    assert_eq!(pulls(&fixture.poll(&membership))[0].0.as_str(), "b");
    let next = loop {
        if let Some((name, _)) = pulls(&fixture.wait(&membership)).pop() {
            break name;
        }
    };
    assert_eq!(next.as_str(), "c");
    fixture.objects("c", full().page_since(Version(0), usize::MAX));
    assert_eq!(fixture.store.head().unwrap().revision, Revision(1));
}

#[test]
fn a_waiting_pull_is_answered_at_the_next_update() {
    let membership = TestPeers {
        self_is_watcher: true,
        peers: Vec::new(),
    };
    let mut fixture = Fixture::new();
    fixture.store = full();
    let from = node::effect::PeerAddress {
        name: None,
        address: ([127, 0, 0, 1], 1).into(),
    };
    let pull = Pull {
        after: 3,
        wait_ms: 5_000,
        documents: Vec::new(),
    };
    fixture.sync.on_pull(fixture.now, from, pull);
    let answer = |effects: &[Effect]| {
        effects.iter().find_map(|e| match e {
            Effect::Peer(_, Body::Objects(objects)) => Some(objects.clone()),
            _ => None,
        })
    };
    assert_eq!(answer(&fixture.poll(&membership)), None);
    let objects = vec![liveness(8, "store")];
    let update = Page {
        objects,
        after: Version(3),
        seen: Version(8),
    };
    fixture.store.apply(update, &mut Vec::new());
    let objects = answer(&fixture.poll(&membership)).unwrap();
    assert_eq!(
        (objects.objects.len(), objects.after, objects.seen),
        (1, 3, 8)
    );
    assert_eq!(answer(&fixture.poll(&membership)), None);
}

#[test]
fn a_missing_document_is_requested_by_name() {
    let membership = TestPeers {
        self_is_watcher: true,
        peers: vec![("b".parse().unwrap(), 2, false)],
    };
    let mut fixture = Fixture::new();
    fixture
        .store
        .apply(Page::of(vec![head(2, 4, "old")]), &mut Vec::new());
    let effects = fixture.poll(&membership);
    assert_eq!(pulls(&effects)[0].1.documents, ["old"]);
    let read = effects.iter().find_map(|e| match e {
        Effect::Platform(op, PlatformOp::Read { name, .. }) if **name == *"old" => Some(*op),
        _ => None,
    });
    assert!(fixture.platform(
        read.unwrap(),
        &PlatformEvent::Read(Some(document(1, "old")))
    ));
    assert_eq!(fixture.store.head().unwrap().revision, Revision(4));
}
