//! HTTP/1.1 over blocking sockets: one thread for a connection, bodies with a length or in chunks.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter();
        found
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut words = self.line.split(' ');
        words.nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("/")
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }
}

/// Reads messages from a connection; bytes beyond one message are kept for the next.
pub struct Conn {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, wait: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, wait).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buf = [0; 16 << 10];
        let read = self.stream.read(&mut buf)?;
        self.rest.extend_from_slice(&buf[..read]);
        Ok(read)
    }

    /// Reads one message; `None` at the end of the stream before its first byte.
    pub fn read(&mut self, has_no_body: bool) -> io::Result<Option<Message>> {
        let end = || io::Error::from(io::ErrorKind::UnexpectedEof);
        let head_end = loop {
            if let Some(at) = self.rest.windows(4).position(|it| it == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return match self.rest.is_empty() {
                    true => Ok(None),
                    false => Err(end()),
                };
            }
        };
        let head: Vec<u8> = self.rest.drain(..head_end + 4).collect();
        let head = String::from_utf8_lossy(&head[..head_end]).into_owned();
        let mut lines = head.split("\r\n");
        let mut message = Message {
            line: lines.next().unwrap_or("").to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().into(), value.trim().into()));
            }
        }
        if has_no_body {
            return Ok(Some(message));
        }
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|it| it.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            loop {
                let line_end = loop {
                    if let Some(at) = self.rest.windows(2).position(|it| it == b"\r\n") {
                        break at;
                    }
                    if self.fill()? == 0 {
                        return Err(end());
                    }
                };
                let line: Vec<u8> = self.rest.drain(..line_end + 2).collect();
                let size = String::from_utf8_lossy(&line[..line_end]).into_owned();
                let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
                while self.rest.len() < size + 2 {
                    if self.fill()? == 0 {
                        return Err(end());
                    }
                }
                message.body.extend(self.rest.drain(..size));
                self.rest.drain(..2);
                if size == 0 {
                    return Ok(Some(message));
                }
            }
        }
        let length = message.header("content-length").and_then(|it| it.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.rest.len() < length {
            if self.fill()? == 0 {
                return Err(end());
            }
        }
        message.body = self.rest.drain(..length).collect();
        Ok(Some(message))
    }

    pub fn write(&mut self, line: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("{line}\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Returns whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let mut byte = [0];
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(0) => true,
            Ok(_) => false,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Serves each connection on a thread of its own.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(Conn) + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(Conn::new(stream)));
        }
    });
}
