//! HTTP/1.1 messages over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
};

/// A message: the words of its first line, its headers in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: [String; 3],
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.first[1].parse().unwrap_or(0)
    }
}

/// Reads one message; `None` at the end of the connection. A response without a length lasts until
/// that end.
pub fn read(input: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.trim_end().splitn(3, ' ').map(str::to_owned);
    let mut message = Message {
        first: std::array::from_fn(|_| words.next().unwrap_or_default()),
        ..Message::default()
    };
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        let header = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(header);
    }
    if message.header("transfer-encoding") == "chunked" {
        loop {
            line.clear();
            input.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            input.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Ok(length) = message.header("content-length").parse() {
        message.body = vec![0; length];
        input.read_exact(&mut message.body)?;
    } else if message.first[0].starts_with("HTTP/") && message.status() >= 200 {
        input.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn respond(
    mut output: &TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    output.write_all(&bytes)
}
