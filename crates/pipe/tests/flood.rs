//! Peers that send bytes without end in place of a response.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::{runtime::Runtime, time::timeout};
use http::Request;
use http_body_util::Full;
use pipe::{ClientConnection, ExchangeError, Keepalive, ReadBuf, io::ByteBudget};

/// Largest accepted response, in bytes.
const LIMIT: usize = 1 << 20;

/// Time in which a flood must end.
const END_TIMEOUT: Duration = Duration::from_secs(10);

/// Time in which another connection must be served meanwhile.
const SERVE_TIMEOUT: Duration = Duration::from_secs(2);

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// What a peer sends: some bytes once, and then others again and again.
const FLOODS: [(&str, &str); 9] = [
    ("", "x"),
    ("HTTP/1.1 200 OK\r\nx-long: ", "a"),
    ("HTTP/1.1 200 OK\r\n", "x-more: 1\r\n"),
    ("", "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"),
    ("HTTP/1.1 200 OK\r\n\r\n", "body"),
    (
        "HTTP/1.1 200 OK\r\ncontent-length: 9000000000\r\n\r\n",
        "body",
    ),
    (CHUNKED, "4\r\nbody\r\n"),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;",
        "extension;",
    ),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        "x-trailer: 1\r\n",
    ),
];

/// Starts a server that sends `first` to each connection after it has received a request, and then
/// `next` until the peer closes.
fn serve(first: &'static str, next: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            thread::spawn(move || {
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request);
                let block = next.repeat(16_384 / next.len().max(1));
                let mut is_open = stream.write_all(first.as_bytes()).is_ok();
                while is_open && !block.is_empty() {
                    is_open = stream.write_all(block.as_bytes()).is_ok();
                }
            });
        }
    });
    address
}

async fn exchange(
    address: SocketAddr,
    buf: &ReadBuf,
    limit: usize,
) -> Result<Bytes, ExchangeError> {
    let opened = ClientConnection::open(address, END_TIMEOUT, Keepalive::Disabled, buf.clone());
    let mut conn = opened.await.unwrap();
    let mut req = Request::new(Full::default());
    req.headers_mut().insert("host", "a".parse().unwrap());
    let reply = conn.exchange(req, limit).await?;
    Ok(reply.into_body())
}

#[test]
fn a_flood_ends_at_the_limit_without_a_response() {
    for (first, next) in FLOODS {
        let address = serve(first, next);
        let started = Instant::now();
        let result = Runtime::new().unwrap().block_on(async {
            let buf = ReadBuf::default();
            timeout(END_TIMEOUT, exchange(address, &buf, LIMIT)).await
        });
        let result = result.unwrap_or_else(|_| panic!("{first:?} {next:?} does not end"));
        assert_eq!(
            result.unwrap_err(),
            ExchangeError::Malformed,
            "{first:?} {next:?} after {:?}",
            started.elapsed()
        );
    }
}

/// A flood that is read faster than it is sent must not keep the thread from other connections.
#[test]
fn other_connections_are_served_during_a_flood() {
    for (first, next) in FLOODS {
        let flood = serve(first, next);
        let good = serve("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", "");
        let served = Runtime::new().unwrap().block_on(async {
            let buf = ReadBuf::default();
            let shared = buf.clone();
            let floods = compio::runtime::spawn(async move {
                loop {
                    let _ = exchange(flood, &shared, usize::MAX / 2).await;
                }
            });
            let served = timeout(SERVE_TIMEOUT, exchange(good, &buf, LIMIT)).await;
            drop(floods);
            served
        });
        assert_eq!(served.unwrap().unwrap(), "ok", "{first:?} {next:?}");
    }
}

/// Many floods at a time share one budget, so that together they take no more memory than it.
#[test]
fn floods_share_a_budget() {
    let address = serve("HTTP/1.1 200 OK\r\n\r\n", "body");
    let budget = ByteBudget::new(4 * LIMIT);
    let buf = ReadBuf::with_budget(budget.clone());
    let results = Runtime::new().unwrap().block_on(async {
        let exchanges: Vec<_> = (0..8)
            .map(|_| {
                let buf = buf.clone();
                compio::runtime::spawn(async move { exchange(address, &buf, 3 * LIMIT).await })
            })
            .collect();
        let mut results = Vec::new();
        for exchange in exchanges {
            results.push(timeout(END_TIMEOUT, exchange).await.unwrap().unwrap());
        }
        results
    });
    assert!(
        results
            .iter()
            .all(|it| *it == Err(ExchangeError::Malformed))
    );
    assert!(budget.peak() <= 4 * LIMIT, "{}", budget.peak());
    assert_eq!(budget.used(), 0, "the budget is given back");
}
