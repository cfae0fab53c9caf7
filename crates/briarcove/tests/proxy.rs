//! A proxy in front of the platform that can interfere with individual requests.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
};

/// Forwards a request to the platform and returns the reply.
pub(crate) type Forward<'a> = &'a dyn Fn() -> Vec<u8>;

/// Handles a request, given its request line, and returns the reply; `None` closes the connection.
pub(crate) type Hook = dyn Fn(&str, Forward<'_>) -> Option<Vec<u8>> + Send + Sync;

/// Request line of an update of the head.
pub(crate) const PUT_HEAD: &str = "PUT /v1/objects/catalogue/head HTTP/1.1";

/// Starts a proxy in front of `platform` and returns its address; it runs until the process ends.
pub(crate) fn start(
    platform: SocketAddr,
    hook: impl Fn(&str, Forward<'_>) -> Option<Vec<u8>> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let hook: Arc<Hook> = Arc::new(hook);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let hook = Arc::clone(&hook);
            thread::spawn(move || serve(stream.unwrap(), platform, &*hook));
        }
    });
    address
}

fn serve(mut client: TcpStream, platform: SocketAddr, hook: &Hook) {
    while let Some(request) = read_message(&mut client) {
        let text = String::from_utf8_lossy(&request);
        let line = text.lines().next().unwrap_or_default().to_owned();
        let forward = || {
            let mut server = TcpStream::connect(platform).unwrap();
            server.write_all(&request).unwrap();
            read_message(&mut server).unwrap_or_default()
        };
        match hook(&line, &forward) {
            Some(reply) if !reply.is_empty() => client.write_all(&reply).unwrap(),
            _ => return,
        }
    }
}

/// Reads an HTTP message: the head, and the body by its `Content-Length`.
fn read_message(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut message = Vec::new();
    let mut byte = [0];
    while !message.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        message.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&message).to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |l| l.parse().unwrap())];
    stream.read_exact(&mut body).ok()?;
    message.extend(body);
    Some(message)
}
