//! The `apply` command without concurrent changes.

use base::Revision;
use node::Kind;

use crate::{
    bench::{self, Bench},
    check,
    command::briarcove,
};

#[test]
fn a_second_apply_has_nothing_to_do() {
    let bench = Bench::start();
    bench
        .apply(r#""rate": "500/s""#)
        .expect(0)
        .prints("added entries/find-act");
    let head = bench.head();
    assert_eq!(head.revision, Revision(1));
    assert!(bench.object(Kind::Document, &head.document).is_some());
    bench
        .apply(r#""rate": "500/s""#)
        .expect(0)
        .prints("nothing to do");
    assert_eq!(bench.head(), head);
}

#[test]
fn a_change_prints_its_differences_and_warnings() {
    let bench = Bench::start();
    bench.apply(r#""rate": "500/s""#).expect(0);
    bench
        .apply(r#""rate": "600/s""#)
        .expect(0)
        .prints("revision 1 -> 2")
        .prints("changed entries/find-act/limits/rate: 500/s -> 600/s")
        .prints("allowed before: service diary")
        .prints("accepted: revision 2 is in force");
    let (address, file) = (
        bench.address().to_string(),
        check::fixture("valid/warnings"),
    );
    briarcove(&["apply", "--platform", &address, &file])
        .expect(0)
        .prints("warning: no entry names the service \"spare\"")
        .prints("removed entries/find-act")
        .prints("accepted: revision 3 is in force");
}

#[test]
fn a_catalogue_with_findings_is_rejected() {
    let bench = Bench::start();
    bench
        .apply(r#""rate": "fast""#)
        .expect(1)
        .prints(": error: ");
    assert_eq!(bench.object(Kind::Catalogue, "head"), None);
}

#[test]
fn a_dry_run_and_an_unexpected_revision_change_nothing() {
    let bench = Bench::start();
    bench.apply("").expect(0);
    let (address, head) = (bench.address().to_string(), bench.head());
    let file = bench::catalogue(r#""rate": "500/s""#);
    let apply = ["apply", "--platform", &address, file.to_str().unwrap()];
    briarcove(&[&apply[..], &["--dry-run"]].concat())
        .expect(0)
        .prints("limits/rate")
        .prints("nothing was changed");
    briarcove(&[&apply[..], &["--expect", "7"]].concat())
        .expect(3)
        .prints("revision 1 is in force, not 7");
    assert_eq!(bench.head(), head);
    briarcove(&[&apply[..], &["--expect", "1"]].concat()).expect(0);
}

#[test]
fn an_unreadable_document_in_force_can_be_replaced() {
    let bench = Bench::start();
    bench.apply("").expect(0);
    let hidden = crate::proxy::start(bench.address(), |line, forward| {
        match line.starts_with("GET /v1/objects/document/") {
            true => Some(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n".to_vec()),
            false => Some(forward()),
        }
    });
    bench::apply(hidden, r#""rate": "500/s""#)
        .expect(0)
        .prints("can't be read");
    assert_eq!(bench.head().revision, Revision(2));
}

#[test]
fn a_platform_that_is_down_is_unreachable() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    bench::apply(address, "").expect(4);
    let bench = Bench::start();
    let down = crate::proxy::start(bench.address(), |_, _| {
        Some(b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n".to_vec())
    });
    bench::apply(down, "").expect(4).prints("unavailable");
    briarcove(&["audit", "--platform", &down.to_string()]).expect(4);
}
