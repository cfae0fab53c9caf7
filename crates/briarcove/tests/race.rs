//! Concurrent changes by several operators, and lost replies to updates of the head.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, AtomicU32, Ordering},
};

use base::Revision;
use node::Kind;

use crate::{
    bench::{self, Bench},
    proxy::{self, PUT_HEAD},
};

const BASE: &str = r#""rate": "500/s""#;
const OURS: &str = r#""rate": "600/s""#;
const OTHER: &str = r#""rate": "700/s""#;
const THIRD: &str = r#""rate": "700/s", "results": 9"#;

/// Starts a platform with revision 1 in force.
fn bench() -> Bench {
    let bench = Bench::start();
    bench.apply(BASE).expect(0);
    bench
}

/// Returns whether this is the first update of the head.
fn first_update(line: &str, seen: &AtomicBool) -> bool {
    line == PUT_HEAD && !seen.swap(true, Ordering::SeqCst)
}

/// Starts a proxy that loses the first update of the head and applies the changes `others` at that
/// moment.
///
/// If `arrives` is set, the update reaches the platform before them, and only its reply is lost.
fn interfere(platform: SocketAddr, others: &'static [&str], arrives: bool) -> SocketAddr {
    let seen = AtomicBool::new(false);
    proxy::start(platform, move |line, forward| {
        if !first_update(line, &seen) {
            return Some(forward());
        }
        if arrives {
            forward();
        }
        for limits in others {
            bench::apply(platform, limits).expect(0);
        }
        None
    })
}

#[test]
fn the_second_of_two_operators_sees_the_change_of_the_first() {
    let bench = bench();
    let (platform, seen) = (bench.address(), AtomicBool::new(false));
    let raced = proxy::start(platform, move |line, forward| {
        if first_update(line, &seen) {
            bench::apply(platform, OTHER).expect(0);
        }
        Some(forward())
    });
    bench::apply(raced, OURS)
        .expect(3)
        .prints("revision 2 of another change")
        .prints("changed entries/find-act/limits/rate: 500/s -> 700/s")
        .prints("both changes touch entries/find-act")
        .prints("limits/rate: 700/s -> 600/s");
    let head = bench.head();
    assert_eq!(head.revision, Revision(2));
    assert_eq!(head.change.items[0].after.as_deref(), Some("700/s"));
    bench.audit(&[]).expect(0).prints("500/s -> 700/s");
}

#[test]
fn a_change_whose_replies_are_lost_is_found_accepted_once() {
    let bench = bench();
    let writes = AtomicU32::new(0);
    let lossy = proxy::start(bench.address(), move |line, forward| {
        let reply = forward();
        let lost =
            line.starts_with("PUT ") && writes.fetch_add(1, Ordering::SeqCst).is_multiple_of(2);
        (!lost).then_some(reply)
    });
    bench::apply(lossy, OURS)
        .expect(0)
        .prints("accepted: revision 2");
    assert_eq!(bench.head().revision, Revision(2));

    let lost_head = interfere(bench.address(), &[], true);
    bench::apply(lost_head, OTHER)
        .expect(0)
        .prints("accepted: revision 3");
    assert_eq!(bench.head().revision, Revision(3));
}

#[test]
fn an_update_that_did_not_arrive_is_sent_again() {
    let bench = bench();
    let lost = interfere(bench.address(), &[], false);
    bench::apply(lost, OURS)
        .expect(0)
        .prints("accepted: revision 2");
    assert_eq!(bench.head().revision, Revision(2));
    bench.apply(OURS).expect(0).prints("nothing to do");
}

#[test]
fn the_audit_trail_shows_whether_a_change_was_accepted_before_others() {
    let bench = bench();
    let moved_on = interfere(bench.address(), &[OTHER, THIRD], true);
    bench::apply(moved_on, OURS)
        .expect(0)
        .prints("accepted: revision 2");
    assert_eq!(bench.head().revision, Revision(4));
    let audit = bench.audit(&[]).expect(0);
    for (line, change) in [
        (1, "added"),
        (2, "600/s"),
        (3, "600/s -> 700/s"),
        (4, "results"),
    ] {
        assert!(
            audit.out.contains(&format!("revision {line} at ")),
            "{audit:#?}"
        );
        assert!(audit.out.contains(change), "{audit:#?}");
    }
}

#[test]
fn a_lost_update_behind_others_is_a_conflict() {
    let bench = bench();
    let superseded = interfere(bench.address(), &[OTHER, THIRD], false);
    bench::apply(superseded, OURS)
        .expect(3)
        .prints("revision 2 of another change")
        .prints("revision 3 of another change");
    assert_eq!(bench.head().revision, Revision(3));
    assert!(bench.object(Kind::Trail, "2").is_some());
}

#[test]
fn an_update_whose_outcome_can_not_be_determined_is_reported_as_unknown() {
    let bench = bench();
    let cut = AtomicBool::new(false);
    let unreachable = proxy::start(bench.address(), move |line, forward| {
        if first_update(line, &cut) {
            forward();
        }
        match cut.load(Ordering::SeqCst) {
            true => None,
            false => Some(forward()),
        }
    });
    bench::apply(unreachable, OURS)
        .expect(5)
        .prints("may be in force");
    bench.apply(OURS).expect(0).prints("nothing to do");
}
