//! Responses that break off.

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

use compio::runtime::Runtime;
use http::Request;
use http_body_util::Full;
use pipe::{ClientConnection, Keepalive, ReadBuf};

const RESPONSES: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nx-server-stamp: s\r\ncontent-length: 12\r\n\r\nthe whole it",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nthe w\r\n7;x=y\r\nhole it\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nC\r\nthe whole it\r\n0\r\nx-last: 1\r\n\r\n",
];

/// A response that ends at any byte before its last one is not complete.
#[test]
fn a_response_that_breaks_off_at_any_byte_is_no_response() {
    for response in RESPONSES {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            for length in 0..=response.len() {
                let (mut stream, _) = listener.accept().unwrap();
                let _ = stream.read(&mut [0; 1_024]);
                let _ = stream.write_all(&response.as_bytes()[..length]);
            }
        });
        Runtime::new().unwrap().block_on(async {
            let buf = ReadBuf::default();
            for length in 0..=response.len() {
                let opened = ClientConnection::open(
                    address,
                    Duration::from_secs(2),
                    Keepalive::Disabled,
                    buf.clone(),
                );
                let mut conn = opened.await.unwrap();
                let mut req = Request::new(Full::default());
                req.headers_mut().insert("host", "a".parse().unwrap());
                let reply = conn.exchange(req, 1 << 20).await;
                match length == response.len() {
                    true => assert_eq!(&reply.unwrap().body()[..], b"the whole it"),
                    false => assert!(reply.is_err(), "{length} bytes of {response:?}"),
                }
            }
        });
    }
}
