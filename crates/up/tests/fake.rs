//! A small threaded upstream whose replies are computed by a closure.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// A received request.
pub(crate) struct Request {
    /// Request line and headers.
    pub(crate) head: String,
    /// Body.
    pub(crate) body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header, or an empty string.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.head
            .lines()
            .filter_map(|line| line.split_once(": "))
            .find(|(n, _)| *n == name)
            .map_or("", |(_, value)| value)
    }

    /// Returns a valid reply to this search.
    pub(crate) fn search_reply(&self, hits: &str) -> Vec<u8> {
        let headers = ["request-id", "snapshot", "shard"]
            .map(|name| format!("{name}: {}\r\n", self.header(name)))
            .concat();
        reply(200, &headers, hits)
    }

    /// Returns a valid reply to a run, or to a search without hits.
    pub(crate) fn valid_reply(&self) -> Vec<u8> {
        if self.head.starts_with("POST /v1/run") {
            let id = format!("request-id: {}\r\n", self.header("request-id"));
            return reply(200, &id, "{}");
        }
        self.search_reply("[]")
    }
}

/// Returns a reply; `headers` are complete lines.
pub(crate) fn reply(status: u16, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\n{headers}content-length: {length}\r\n\r\n{body}").into_bytes()
}

/// Counters of one upstream.
#[derive(Default)]
pub(crate) struct Counts {
    /// Connections accepted.
    pub(crate) accepted: AtomicUsize,
    /// Connections currently open.
    pub(crate) open: AtomicUsize,
    /// Highest number of connections open at once.
    pub(crate) most_open: AtomicUsize,
    /// Requests read.
    pub(crate) requests: AtomicUsize,
}

/// A running upstream.
#[derive(Clone)]
pub(crate) struct FakeUpstream {
    /// Address on which it listens.
    pub(crate) address: SocketAddr,
    /// Connections and requests seen.
    pub(crate) counts: Arc<Counts>,
}

impl FakeUpstream {
    /// Starts an upstream; `handle` returns the reply, or `None` to close the connection.
    pub(crate) fn start(
        handle: impl Fn(&Request) -> Option<Vec<u8>> + Send + Sync + 'static,
    ) -> Self {
        Self::start_with(handle, None)
    }

    fn start_with(
        handle: impl Fn(&Request) -> Option<Vec<u8>> + Send + Sync + 'static,
        close: Option<Duration>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let counts = Arc::new(Counts::default());
        let (seen, handle) = (Arc::clone(&counts), Arc::new(handle));
        thread::spawn(move || {
            for stream in listener.incoming() {
                seen.accepted.fetch_add(1, Ordering::SeqCst);
                let open = seen.open.fetch_add(1, Ordering::SeqCst) + 1;
                seen.most_open.fetch_max(open, Ordering::SeqCst);
                let (seen, handle) = (Arc::clone(&seen), Arc::clone(&handle));
                thread::spawn(move || {
                    if let Ok(stream) = stream {
                        serve(stream, &seen, &*handle, close);
                    }
                    seen.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Self { address, counts }
    }

    /// Starts an upstream that closes each connection `delay` after its first reply.
    ///
    /// A request that arrives during the delay is read and counted, but not answered.
    pub(crate) fn start_closing(delay: Duration) -> Self {
        Self::start_with(|request| Some(request.valid_reply()), Some(delay))
    }

    /// Returns the number of connections accepted.
    pub(crate) fn accepted(&self) -> usize {
        self.counts.accepted.load(Ordering::SeqCst)
    }

    /// Returns the number of requests read.
    pub(crate) fn requests(&self) -> usize {
        self.counts.requests.load(Ordering::SeqCst)
    }

    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.counts.open.load(Ordering::SeqCst)
    }
}

fn serve(
    mut stream: TcpStream,
    counts: &Counts,
    handle: &dyn Fn(&Request) -> Option<Vec<u8>>,
    close: Option<Duration>,
) {
    let _ = stream.set_nodelay(true);
    let mut buf = Vec::new();
    while let Some(request) = read(&mut stream, &mut buf) {
        counts.requests.fetch_add(1, Ordering::SeqCst);
        match handle(&request) {
            Some(reply) if stream.write_all(&reply).is_ok() => {}
            _ => return,
        }
        if let Some(delay) = close {
            thread::sleep(delay);
            let late =
                stream.set_nonblocking(true).is_ok() && read(&mut stream, &mut buf).is_some();
            counts.requests.fetch_add(late.into(), Ordering::SeqCst);
            return;
        }
    }
}

fn read(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Request> {
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let mut request = Request {
                head: String::from_utf8_lossy(&buf[..end]).into_owned(),
                body: Vec::new(),
            };
            let length = request.header("content-length").parse().unwrap_or(0);
            if buf.len() >= end + 4 + length {
                request.body = buf[end + 4..end + 4 + length].to_vec();
                buf.drain(..end + 4 + length);
                return Some(request);
            }
        }
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
            _ => return None,
        }
    }
}
