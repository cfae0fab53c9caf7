//! Canonical documents of catalogues.

use cat::{Catalogue, Class};

use crate::samples::catalogues;

#[test]
fn canonical_document_round_trips() {
    for catalogue in catalogues() {
        let bytes = catalogue.to_json();
        let read = Catalogue::from_json(&bytes).unwrap();
        assert_eq!(read, catalogue);
        assert_eq!(read.to_json(), bytes);
        assert_eq!(read.digest(), catalogue.digest());
    }
}

#[test]
fn digest_ignores_order_and_sees_values() {
    let [telyn, daugava] = catalogues();
    let mut reversed = telyn.clone();
    reversed.services.reverse();
    reversed.entries.reverse();
    assert_eq!(reversed.digest(), telyn.digest());
    assert_ne!(daugava.digest(), telyn.digest());
    assert_eq!(telyn.digest().len(), 64);
}

#[test]
fn stored_document_gets_all_checks() {
    let [telyn, _] = catalogues();
    let hedged = telyn.entry(&"find-free-act".parse().unwrap());
    let mut entry = hedged.unwrap().clone();
    entry.class = Class::Once;
    entry.service = "nowhere".parse().unwrap();
    let bad = Catalogue {
        entries: vec![entry],
        ..telyn
    };
    let findings = Catalogue::from_json(&bad.to_json())
        .unwrap_err()
        .to_string();
    assert!(
        findings.contains("there is no service \"nowhere\""),
        "{findings}"
    );
    assert!(
        findings.contains("class once can't be hedged"),
        "{findings}"
    );
    assert!(
        Catalogue::from_json(&[0xFF, 0xFE])
            .unwrap_err()
            .has_errors()
    );
}

#[test]
fn document_beyond_the_platforms_limit_is_rejected() {
    let [mut telyn, _] = catalogues();
    let mut service = telyn.services[0].clone();
    let template = service.upstreams[0].clone();
    for i in 0..16_000_u32 {
        let mut upstream = template.clone();
        upstream.name = format!("more-{i}").parse().unwrap();
        upstream.address = (std::net::Ipv4Addr::from(0x0A80_0000 + i), 8080).into();
        service.upstreams.push(upstream);
    }
    telyn.services[0] = service;
    let findings = Catalogue::from_json(&telyn.to_json()).unwrap_err();
    assert_eq!(findings.len(), 1);
    assert!(
        findings
            .to_string()
            .contains("the platform holds 1048576 bytes")
    );
}
