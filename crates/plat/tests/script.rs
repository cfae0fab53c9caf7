//! A server that answers requests from a script, one after another.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

/// What the server does with one request.
#[derive(Clone, Copy)]
pub(crate) enum Answer {
    /// Sends this text.
    Reply(&'static str),
    /// Sends chunks until the client closes the connection.
    Endless,
    /// Closes the connection.
    Close,
    /// Sends nothing and keeps the connection.
    Hang,
}

#[derive(Default)]
struct Seen {
    connections: usize,
    requests: Vec<String>,
}

/// A running server; its threads end with the test process.
pub(crate) struct Script {
    address: SocketAddr,
    seen: Arc<Mutex<Seen>>,
}

impl Script {
    pub(crate) fn start(answers: Vec<Answer>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Seen::default()));
        let shared = Arc::clone(&seen);
        thread::spawn(move || {
            let mut answers = answers.into_iter();
            for stream in listener.incoming() {
                shared.lock().unwrap().connections += 1;
                serve(stream.unwrap(), &mut answers, &shared);
            }
        });
        Self { address, seen }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn requests(&self) -> Vec<String> {
        self.seen.lock().unwrap().requests.clone()
    }

    pub(crate) fn connections(&self) -> usize {
        self.seen.lock().unwrap().connections
    }
}

fn serve(mut stream: TcpStream, answers: &mut impl Iterator<Item = Answer>, seen: &Mutex<Seen>) {
    while let Some(request) = read_request(&mut stream) {
        seen.lock().unwrap().requests.push(request);
        match answers.next() {
            Some(Answer::Reply(text)) => stream.write_all(text.as_bytes()).unwrap(),
            Some(Answer::Endless) => return write_endless(&mut stream),
            Some(Answer::Hang) => thread::park(),
            Some(Answer::Close) | None => return,
        }
    }
}

fn write_endless(stream: &mut TcpStream) {
    let head = "HTTP/1.1 200 OK\r\netag: \"1\"\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = format!("{:x}\r\n{}\r\n", 65_536, "x".repeat(65_536));
    let mut sent = stream.write_all(head.as_bytes());
    while sent.is_ok() {
        sent = stream.write_all(chunk.as_bytes());
    }
}

/// Reads a head and as much body as it announces.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut byte = [0];
    while !text.ends_with("\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        text.push(char::from(byte[0]));
    }
    let length = text
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |l| l.parse().unwrap())];
    stream.read_exact(&mut body).ok()?;
    text.push_str(std::str::from_utf8(&body).unwrap());
    Some(text)
}
