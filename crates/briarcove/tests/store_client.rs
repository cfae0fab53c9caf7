//! The client of the object store against stores that behave oddly.

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

use compio::{runtime::Runtime, time::timeout};
use pipe::ReadBuf;
use platform::{LatestEra, Store, store::Freshness};
use serde_json::json;

use crate::odd_entries::ODD_NAMES;

/// A name that is not escaped made a removal hit another object.
#[test]
fn calls_for_one_object_reach_it_whatever_its_name() {
    let store = rig::edge::Store::default();
    let server = store.serve().unwrap();
    store.set_page_size(1);
    store.put("servers", "d", json!(0));
    store.put("servers", "desk-1", json!(1));
    Runtime::new().unwrap().block_on(async {
        let address = server.addresses()[0];
        let mut client = Store::new(address, ReadBuf::default(), LatestEra::default());
        for name in ODD_NAMES {
            client.create("servers", name, json!(2)).await.unwrap();
            let listed = client.list("servers", Freshness::Latest).await.unwrap();
            let found = listed.objects.iter().find(|it| &*it.name == name);
            let revision = found.unwrap().revision;
            let replaced = client.replace("servers", name, revision, json!(3)).await;
            replaced.unwrap();
            let listed = client.list("servers", Freshness::Latest).await.unwrap();
            assert_eq!(listed.objects.len(), 3, "{name}");
            let found = listed.objects.iter().find(|it| &*it.name == name);
            let found = found.unwrap();
            assert_eq!(found.spec, json!(3), "{name}");
            let removed = client.remove("servers", name, found.revision).await;
            removed.unwrap();
            assert_eq!(store.names("servers"), ["d", "desk-1"], "{name}");
        }
    });
}

/// A store that repeats a page kept an instance listing, and its objects, without end.
#[test]
fn a_list_that_does_not_go_on_ends() {
    let page = r#"{"items":[{"meta":{"name":"a-b"}}],"hasMore":true,"asOf":1}"#;
    let length = page.len();
    let reply = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{page}");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        while stream.read(&mut [0; 4_096]).is_ok_and(|read| read > 0) {
            stream.write_all(reply.as_bytes()).unwrap();
        }
    });
    let listed = Runtime::new().unwrap().block_on(async {
        let mut client = Store::new(address, ReadBuf::default(), LatestEra::default());
        let listed = client.list("servers", Freshness::Latest);
        timeout(Duration::from_secs(2), listed).await
    });
    let error = listed.expect("the list ends").unwrap_err();
    assert!(error.to_string().contains("a-b"), "{error}");
}

/// Bytes without end in place of a reply ended neither the call nor the memory that it took.
#[test]
fn a_store_that_sends_without_end_is_given_up() {
    for (first, next) in [
        ("", "no reply"),
        ("HTTP/1.1 200 OK\r\nx-long: ", "a"),
        (
            "HTTP/1.1 200 OK\r\n\r\n{\"items\":[",
            "{\"meta\":{\"name\":\"a\"}},",
        ),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let block = next.repeat(1_024);
            let mut is_open = stream.write_all(first.as_bytes()).is_ok();
            while is_open {
                is_open = stream.write_all(block.as_bytes()).is_ok();
            }
        });
        let listed = Runtime::new().unwrap().block_on(async {
            let mut client = Store::new(address, ReadBuf::default(), LatestEra::default());
            let listed = client.list("servers", Freshness::Latest);
            timeout(Duration::from_secs(4), listed).await
        });
        assert!(listed.expect("the call ends").is_err(), "{first:?}");
    }
}
