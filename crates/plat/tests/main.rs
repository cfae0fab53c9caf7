//! Tests of the client against a scripted server on the loopback interface.

#![expect(clippy::unwrap_used, reason = "a step that fails has to fail its test")]

mod script;

use std::{future::Future, time::Duration};

use base::Version;
use bytes::Bytes;
use node::{Kind, PlatformEvent, PlatformOp};
use plat::{Client, Error, Settings};
use script::{Answer, Script};

const TIMEOUT: Duration = Duration::from_millis(300);

fn run<T>(call: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().unwrap().block_on(call)
}

fn client(script: &Script) -> Client {
    let settings = Settings {
        timeout: TIMEOUT,
        ..Settings::new(script.address())
    };
    Client::new(settings).unwrap()
}

async fn put(client: &Client) -> Result<Version, Error> {
    let value = Bytes::from_static(b"{}");
    client
        .write(Kind::Claims, "b1", Some(Version(4)), value)
        .await
}

const FOUND: &str = "HTTP/1.1 200 OK\r\netag: \"4\"\r\ncontent-length: 2\r\n\r\n{}";

#[test]
fn a_write_names_the_version_that_it_replaces() {
    let reply = "HTTP/1.1 200 OK\r\netag: \"9\"\r\ncontent-length: 0\r\n\r\n";
    let script = Script::start(vec![Answer::Reply(reply)]);
    assert_eq!(run(async { put(&client(&script)).await }), Ok(Version(9)));
    let request = script.requests().remove(0);
    assert!(
        request.starts_with("PUT /v1/objects/claims/b1 HTTP/1.1\r\n"),
        "{request}"
    );
    assert!(request.contains("if-match: \"4\"\r\n"), "{request}");
    assert!(request.contains("content-length: 2\r\n"), "{request}");
    assert!(request.ends_with("\r\n\r\n{}"), "{request}");
}

#[test]
fn a_write_is_not_resent_when_a_reused_connection_breaks() {
    let script = Script::start(vec![
        Answer::Reply(FOUND),
        Answer::Close,
        Answer::Reply(FOUND),
    ]);
    run(async {
        let client = client(&script);
        assert!(client.read(Kind::Claims, "b1").await.unwrap().is_some());
        assert!(matches!(put(&client).await, Err(Error::Unknown { .. })));
    });
    assert_eq!(script.requests().len(), 2);
    assert_eq!(script.connections(), 1);
}

#[test]
fn a_write_without_a_reply_in_time_is_unknown() {
    let script = Script::start(vec![Answer::Hang]);
    let outcome = run(async { put(&client(&script)).await });
    assert!(matches!(outcome, Err(Error::Unknown { .. })), "{outcome:?}");
}

#[test]
fn a_write_to_a_closed_port_is_known_not_to_have_been_taken() {
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let outcome = run(async { put(&Client::new(Settings::new(address)).unwrap()).await });
    assert!(
        matches!(outcome, Err(Error::Unavailable { .. })),
        "{outcome:?}"
    );
}

#[test]
fn statuses_decide_the_outcome_of_a_write() {
    let outcome = |reply| {
        let script = Script::start(vec![Answer::Reply(reply)]);
        run(async { put(&client(&script)).await }).unwrap_err()
    };
    let conflict = outcome("HTTP/1.1 412 Precondition Failed\r\ncontent-length: 0\r\n\r\n");
    assert_eq!(conflict, Error::Conflict);
    let large = outcome("HTTP/1.1 413 Payload Too Large\r\ncontent-length: 0\r\n\r\n");
    assert_eq!(large, Error::TooLarge);
    let down = outcome("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n");
    assert!(matches!(down, Error::Unavailable { .. }));
    for unclear in [
        "HTTP/1.1 502 Bad Gateway\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 307 Temporary Redirect\r\nlocation: /v1/objects/claims/b2\r\ncontent-length: 0\r\n\r\n",
    ] {
        assert!(
            matches!(outcome(unclear), Error::Unknown { .. }),
            "{unclear}"
        );
    }
}

#[test]
fn a_reply_without_a_length_is_bounded() {
    let script = Script::start(vec![Answer::Endless]);
    let outcome = run(async { client(&script).read(Kind::Index, "diary").await });
    assert!(
        matches!(outcome, Err(Error::Malformed { .. })),
        "{outcome:?}"
    );
}

#[test]
fn a_watch_keeps_the_bytes_of_each_value() {
    let body =
        r#"{"seen":7,"objects":[{"kind":"index","name":"d","version":6,"value":{"b": 1e2}}]}"#;
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    let script = Script::start(vec![Answer::Reply(format!("{head}{body}").leak())]);
    let op = PlatformOp::Watch {
        after: Version(5),
        wait: Duration::from_millis(20),
    };
    let event = run(async { client(&script).execute(op).await });
    let PlatformEvent::Changed { objects, seen } = event else {
        panic!("{event:?}");
    };
    assert_eq!((seen, objects[0].version), (Version(7), Version(6)));
    assert_eq!(objects[0].value, Bytes::from_static(br#"{"b": 1e2}"#));
    let request = script.requests().remove(0);
    let target = "GET /v1/watch?after=5&kinds=catalogue,index,liveness&wait_ms=20 ";
    assert!(request.starts_with(target), "{request}");
}

#[test]
fn a_name_that_a_url_would_rewrite_is_refused() {
    let script = Script::start(vec![]);
    for name in ["", "..", "a/b", "a?b", "a%2fb"] {
        let outcome = run(async { client(&script).read(Kind::Index, name).await });
        assert!(matches!(outcome, Err(Error::Malformed { .. })), "{name}");
    }
    assert_eq!(script.connections(), 0);
}

/// The store of an instance ignores a value that is not valid, which it could not if the watch failed.
#[test]
fn a_watch_with_an_odd_value_brings_the_other_objects() {
    let nested = ["[".repeat(20_000), "]".repeat(20_000)].concat();
    for odd in [&nested, "1e999", &"9".repeat(400), r#""\ud800""#, "null"] {
        let object = |name: &str, value: &str| {
            format!(r#"{{"kind":"index","name":"{name}","version":6,"value":{value}}}"#)
        };
        let objects = [object("a&+#% ", odd), object("b", "{}")].join(",");
        let body = format!(r#"{{"seen":7,"objects":[{objects}]}}"#);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let script = Script::start(vec![Answer::Reply(format!("{head}{body}").leak())]);
        let watch = async {
            let client = client(&script);
            client
                .watch(Version(5), &Kind::WATCHED, Duration::from_millis(20))
                .await
        };
        let objects = run(watch).unwrap().objects;
        let names: Vec<&str> = objects.iter().map(|object| &*object.name).collect();
        assert_eq!(names, ["a&+#% ", "b"]);
    }
}
