//! Minimal HTTP/1.1 over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as a server has read it.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name).unwrap_or("")
    }

    /// Returns a field of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let items = query.split('&').filter_map(|item| item.split_once('='));
        let mut found = items.filter(|(key, _)| *key == name);
        found.next().map(|(_, value)| value)
    }
}

/// A complete response.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers
        .iter()
        .filter(|(key, _)| key.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.as_str())
}

fn bad(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.to_owned())
}

fn read_line(input: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    input.read_until(b'\n', &mut line)?;
    if line.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Ok(String::from_utf8_lossy(&line).into_owned())
}

fn read_headers(input: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(input)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("header"))?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_body(input: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if find(headers, "transfer-encoding").is_some_and(|it| it.contains("chunked")) {
        loop {
            let size = read_line(input)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| bad("chunk"))?;
            let at = body.len();
            body.resize(at + size, 0);
            input.read_exact(&mut body[at..])?;
            read_line(input)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let size = find(headers, "content-length").unwrap_or("0");
    body.resize(size.parse().map_err(|_| bad("length"))?, 0);
    input.read_exact(&mut body)?;
    Ok(body)
}

/// Reads a request; fails at the end of the connection.
pub fn read_request(input: &mut impl BufRead) -> io::Result<Request> {
    let line = read_line(input)?;
    let mut words = line.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().ok_or_else(|| bad("request line"))?.to_owned();
    let headers = read_headers(input)?;
    let body = read_body(input, &headers)?;
    Ok(Request {
        method,
        target,
        headers,
        body,
    })
}

/// Reads a response.
pub fn read_response(input: &mut impl BufRead) -> io::Result<Response> {
    let line = read_line(input)?;
    let status = line.split(' ').nth(1).and_then(|it| it.parse().ok());
    let status = status.ok_or_else(|| bad("status line"))?;
    let headers = read_headers(input)?;
    let body = read_body(input, &headers)?;
    Ok(Response {
        status,
        headers,
        body,
    })
}

/// Encodes a response with a length.
pub fn encode(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Serves connections in threads; the handler returns whether the connection is kept.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(input) = stream.try_clone() else {
                    return;
                };
                let mut input = BufReader::new(input);
                while let Ok(req) = read_request(&mut input) {
                    if !handler(&req, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
}

/// A client connection.
pub struct Connection {
    input: BufReader<TcpStream>,
    pub output: TcpStream,
}

impl Connection {
    pub fn open(address: SocketAddr, read_timeout: Duration) -> io::Result<Self> {
        let output = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        output.set_nodelay(true)?;
        output.set_read_timeout(Some(read_timeout))?;
        let input = BufReader::new(output.try_clone()?);
        Ok(Self { input, output })
    }

    /// Sends a request without a body and reads its response.
    pub fn get(&mut self, target: &str, headers: &[(&str, &str)]) -> io::Result<Response> {
        let mut head = format!("GET {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        self.output.write_all(head.as_bytes())?;
        self.response()
    }

    pub fn response(&mut self) -> io::Result<Response> {
        read_response(&mut self.input)
    }

    /// Returns whether the peer has closed the connection or sent bytes unasked.
    pub fn is_over(&mut self) -> bool {
        let _ = self.output.set_nonblocking(true);
        let mut byte = [0];
        let over = match self.output.peek(&mut byte) {
            Ok(_) => true,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        };
        let _ = self.output.set_nonblocking(false);
        over || !self.input.buffer().is_empty()
    }
}
