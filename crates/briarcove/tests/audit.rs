//! The `audit` command.

use node::Kind;

use crate::{bench::Bench, proxy};

#[test]
fn the_audit_trail_is_listed_oldest_first() {
    let bench = Bench::start();
    bench
        .audit(&[])
        .expect(0)
        .prints("no change has been accepted");
    for rate in 1..=4 {
        bench.apply(&format!(r#""rate": "{rate}00/s""#)).expect(0);
    }
    let run = bench.audit(&["--json"]).expect(0);
    let changes: Vec<serde_json::Value> = run
        .out
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let revisions: Vec<_> = changes.iter().map(|c| c["revision"].as_u64()).collect();
    assert_eq!(revisions, [1, 2, 3, 4].map(Some));
    assert_eq!(changes[1]["to"], changes[2]["from"]);
    let run = bench.audit(&["--from", "3"]).expect(0);
    let heads = run.out.lines().filter(|l| l.starts_with("revision "));
    assert_eq!(heads.count(), 2, "{run:#?}");
}

#[test]
fn a_missing_record_is_reported() {
    let bench = Bench::start();
    for rate in 1..=3 {
        bench.apply(&format!(r#""rate": "{rate}00/s""#)).expect(0);
    }
    assert!(bench.object(Kind::Trail, "2").is_some());
    let gap = proxy::start(bench.address(), |line, forward| {
        match line.starts_with("GET /v1/objects/trail/2 ") {
            true => Some(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n".to_vec()),
            false => Some(forward()),
        }
    });
    let words = ["audit", "--platform", &gap.to_string()];
    crate::command::briarcove(&words)
        .expect(1)
        .prints("revision 1 at ")
        .prints("revision 2: missing")
        .prints("revision 3 at ");
}
