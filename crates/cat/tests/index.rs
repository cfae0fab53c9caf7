//! Validation of index objects.

use cat::Index;

fn error(snapshots: &str) -> String {
    let text = format!(r#"{{"service":"diary","snapshots":[{snapshots}]}}"#);
    match Index::from_json(text.as_bytes()) {
        Ok(_) => String::new(),
        Err(err) => err.to_string(),
    }
}

#[test]
fn faulty_indexes_are_rejected() {
    let one = r#"{"id":1,"shards":[{"name":"a","replicas":["u","v"]}]}"#;
    let two = r#"{"id":2,"shards":[{"name":"a","replicas":[]}]}"#;
    assert_eq!(error(&format!("{one},{two}")), "");
    let unordered = "the snapshots are not in growing order of their ids";
    assert_eq!(error(&format!("{two},{one}")), unordered);
    assert_eq!(error(&format!("{one},{one}")), unordered);
    assert_eq!(error(r#"{"id":3,"shards":[]}"#), "snapshot 3 has no shards");
    let twice = r#"{"id":3,"shards":[{"name":"a","replicas":[]},{"name":"a","replicas":[]}]}"#;
    assert_eq!(error(twice), "snapshot 3 lists the shard a twice");
    let replica = r#"{"id":3,"shards":[{"name":"a","replicas":["u","u"]}]}"#;
    assert_eq!(
        error(replica),
        "snapshot 3 lists a replica of the shard a twice"
    );
    assert!(error(r#"{"id":"3"}"#).starts_with("not a valid index"));
}
