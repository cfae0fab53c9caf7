//! Differences between catalogues, entries of the audit trail, and heads.

use std::time::Duration;

use base::{Rate, Revision};
use cat::{
    Catalogue, Change, Head, Upstream, catalogue::MAX_DOCUMENT_BYTES, change::MAX_ITEMS, diff,
};
use quickcheck::quickcheck;

use crate::samples::catalogues;

fn lines(before: &Catalogue, after: &Catalogue) -> Vec<String> {
    diff(before, after)
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[test]
fn a_changed_limit_says_what_the_entry_allowed() {
    let [before, _] = catalogues();
    let mut after = before.clone();
    let entry = after
        .entries
        .iter_mut()
        .find(|e| e.name.as_str() == "find-free-act");
    entry.unwrap().limits.deadline = Duration::from_millis(200);
    let allowed = |deadline| {
        format!(
            "service diary, owner bookings-desk, class latency, deadline {deadline}, 500/s, \
             256 concurrent, hedge 5%, retry 5%, 10 results, body 64KiB"
        )
    };
    let expected = format!(
        "changed entries/find-free-act/limits/deadline: 180ms -> 200ms; \
         allowed before: {}; allowed after: {}",
        allowed("180ms"),
        allowed("200ms"),
    );
    assert_eq!(lines(&before, &after), [expected]);
}

#[test]
fn parts_and_wholes_are_added_and_removed() {
    let [before, _] = catalogues();
    let mut after = before.clone();
    let diary = after
        .services
        .iter_mut()
        .find(|s| s.name.as_str() == "diary")
        .unwrap();
    let gone = diary.upstreams.remove(0);
    diary.upstreams.push(Upstream {
        name: "diary-7".parse().unwrap(),
        ..gone
    });
    after.entries.retain(|e| e.name.as_str() != "book-act");
    let found = lines(&before, &after);
    let sizes = "allowed before: 3 slots, 230 connections, 6 upstreams; \
                 allowed after: 3 slots, 230 connections, 6 upstreams";
    assert_eq!(found.len(), 3);
    assert!(found[0].starts_with("removed entries/book-act; allowed before: service contract"));
    let upstream = "10.11.2.1:8080 in bridgend";
    let removed = format!("removed services/diary/upstreams/diary-1: {upstream}; {sizes}");
    let added = format!("added services/diary/upstreams/diary-7: {upstream}; {sizes}");
    assert_eq!(found[1..], [removed, added]);
}

#[test]
fn the_first_change_adds_everything() {
    let [telyn, _] = catalogues();
    let change = Change::between(Revision(1), None, &telyn, 1_700_000_000);
    assert_eq!(change.from, None);
    assert_eq!(
        change.items.len(),
        telyn.entries.len() + telyn.services.len()
    );
    let head = Head::new(change);
    let bytes = serde_json::to_vec(&head).unwrap();
    assert_eq!(Head::from_json(&bytes).unwrap(), head);
}

#[test]
fn the_largest_head_fits_one_object() {
    let [mut before, _] = catalogues();
    let template = before.entries[0].clone();
    let name = |i: usize| format!("{i:0>96}");
    before.entries = (0..2 * MAX_ITEMS)
        .map(|i| cat::Entry {
            name: name(i).parse().unwrap(),
            service: name(i).parse().unwrap(),
            owner: "\"".repeat(96).into(),
            ..template.clone()
        })
        .collect();
    let mut after = before.clone();
    for entry in &mut after.entries {
        entry.owner = "\\".repeat(96).into();
    }
    let change = Change::between(Revision(2), Some(&before), &after, 1_700_000_000);
    assert_eq!(change.items.len() + change.omitted as usize, 2 * MAX_ITEMS);
    let bytes = serde_json::to_vec(&Head::new(change)).unwrap();
    assert!(bytes.len() < MAX_DOCUMENT_BYTES, "{} bytes", bytes.len());
    Head::from_json(&bytes).unwrap();
}

#[test]
fn a_forged_head_is_rejected() {
    let [telyn, daugava] = catalogues();
    let good = Head::new(Change::between(Revision(4), Some(&telyn), &daugava, 0));
    let rejected = |forge: fn(&mut Head)| {
        let mut head = good.clone();
        forge(&mut head);
        Head::from_json(&serde_json::to_vec(&head).unwrap())
            .unwrap_err()
            .to_string()
    };
    let other = "the head names another revision or document than its change";
    assert_eq!(rejected(|head| head.revision = Revision(5)), other);
    assert_eq!(
        rejected(|head| head.document = "0".repeat(64).into()),
        other
    );
    assert!(rejected(|head| head.change.to = "no digest".into()).contains("hexadecimal"));
    assert!(rejected(|head| head.change.items[0].path = "a\u{1b}[2J".into()).contains("control"));
}

quickcheck! {
    fn equal_catalogues_have_no_differences(rate: u32) -> bool {
        let [mut telyn, _] = catalogues();
        telyn.entries[0].limits.rate = Rate(rate.into());
        diff(&telyn, &telyn.clone()).is_empty()
    }
}
