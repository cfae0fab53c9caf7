//! Clients.

use std::{
    io::{self, BufReader, Write},
    net::SocketAddr,
};

use crate::{edge::connect, http};

/// Sends one GET request on a connection of its own.
pub fn get(to: SocketAddr, path: &str, headers: &[(&str, &str)]) -> io::Result<http::Message> {
    send(to, "GET", path, headers, b"")
}

/// Sends one request on a connection of its own.
pub fn send(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<http::Message> {
    let mut stream = connect(to)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text.push_str("Host: pupu76.example\r\n");
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    http::read(&mut BufReader::new(stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
