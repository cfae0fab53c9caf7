//! The `status` command.

use crate::{command::briarcove, proxy};

const STATUS: &str = r#"{"instance":"e1","stats":{"revision":3,"ready":true}}"#;

#[test]
fn reachable_instances_are_shown_beside_one_that_is_not() {
    let nowhere = "127.0.0.1:9".parse().unwrap();
    let address = proxy::start(nowhere, |_, _| {
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
            STATUS.len()
        );
        Some((head + STATUS).into_bytes())
    });
    let address = address.to_string();
    let run = briarcove(&["status", "--instance", &address]).expect(0);
    let rows: Vec<Vec<&str>> = run
        .out
        .lines()
        .map(|l| l.split_whitespace().collect())
        .collect();
    let expected = [
        ["instance", address.as_str()],
        ["instance", "e1"],
        ["stats.ready", "true"],
        ["stats.revision", "3"],
    ];
    assert_eq!(rows, expected);
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = free.local_addr().unwrap().to_string();
    drop(free);
    briarcove(&["status", "--instance", &address, &closed])
        .expect(4)
        .prints("stats.revision")
        .prints(&format!("{closed}: unavailable"));
}
