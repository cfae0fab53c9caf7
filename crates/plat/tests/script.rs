//! A server that replies to successive requests according to a script.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

/// Reaction of the server to one request.
#[derive(Clone, Copy)]
pub(crate) enum Answer {
    /// Sends this text as the reply.
    Reply(&'static str),
    /// Sends chunks of a body until the client closes the connection.
    Endless,
    /// Closes the connection.
    Close,
    /// Sends nothing and keeps the connection open.
    Hang,
}

/// What the server has received.
#[derive(Default)]
struct Received {
    connections: usize,
    requests: Vec<String>,
}

/// A running server; its threads end with the test process.
pub(crate) struct Script {
    address: SocketAddr,
    received: Arc<Mutex<Received>>,
}

impl Script {
    pub(crate) fn start(answers: Vec<Answer>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Received::default()));
        let shared = Arc::clone(&received);
        thread::spawn(move || {
            let mut answers = answers.into_iter();
            for stream in listener.incoming() {
                shared.lock().unwrap().connections += 1;
                serve(stream.unwrap(), &mut answers, &shared);
            }
        });
        Self { address, received }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn requests(&self) -> Vec<String> {
        self.received.lock().unwrap().requests.clone()
    }

    pub(crate) fn connections(&self) -> usize {
        self.received.lock().unwrap().connections
    }
}

fn serve(
    mut stream: TcpStream,
    answers: &mut impl Iterator<Item = Answer>,
    received: &Mutex<Received>,
) {
    while let Some(request) = read_request(&mut stream) {
        received.lock().unwrap().requests.push(request);
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

/// Reads a head and a body of the length that it declares.
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
