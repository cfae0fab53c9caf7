//! Endpoints on their own thread, and a blocking HTTP client.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    sync::mpsc::{self, Receiver},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use base::CallId;
use compio::{net::TcpListener, runtime::Runtime};
use front::{Front, Settings, Status};
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::StreamExt;
use node::{Answer, Call, Event};
use slog::{Discard, Logger, o};

/// Longest wait for an expected event or response.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Command to the endpoints' thread.
enum Command {
    Answer(CallId, Answer),
    Publish(Box<Status>),
    Stop,
}

/// Endpoints under test; the test takes the place of the reducer.
pub(crate) struct Harness {
    /// Address on which the endpoints listen.
    pub(crate) address: SocketAddr,
    events: Receiver<Event>,
    commands: UnboundedSender<Command>,
    thread: JoinHandle<()>,
}

impl Harness {
    /// Starts endpoints with the given settings.
    pub(crate) fn start(settings: Settings) -> Self {
        let (commands, commands_rx) = unbounded();
        let (event_tx, events) = mpsc::channel();
        let (ready, address) = mpsc::channel();
        let thread = thread::spawn(move || {
            let (tx, rx) = unbounded();
            Runtime::new().unwrap().block_on(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                ready.send(listener.local_addr().unwrap()).unwrap();
                let front = Front::new(settings, tx, Logger::root(Discard, o!()));
                let forward = compio::runtime::spawn(rx.for_each(move |event| {
                    let _ = event_tx.send(event);
                    std::future::ready(())
                }));
                let serve = compio::runtime::spawn(Rc::clone(&front).serve(listener));
                run_commands(&front, commands_rx).await;
                serve.await.unwrap();
                front.drained().await;
                drop(forward);
            });
        });
        Self {
            address: address.recv().unwrap(),
            events,
            commands,
            thread,
        }
    }

    /// Waits for the next event.
    pub(crate) fn event(&self) -> Event {
        self.events.recv_timeout(EVENT_TIMEOUT).unwrap()
    }

    /// Waits for the next call.
    pub(crate) fn call(&self) -> (CallId, Call) {
        match self.event() {
            Event::Call(id, call) => (id, call),
            other => panic!("unexpected {other:?}"),
        }
    }

    /// Asserts that no event is sent for a while.
    pub(crate) fn assert_no_event(&self) {
        let event = self.events.recv_timeout(Duration::from_millis(30));
        assert!(event.is_err(), "unexpected {event:?}");
    }

    /// Answers a call.
    pub(crate) fn answer(&self, call: CallId, answer: Answer) {
        self.command(Command::Answer(call, answer));
    }

    /// Publishes a status.
    pub(crate) fn publish(&self, status: Status) {
        self.command(Command::Publish(Box::new(status)));
    }

    /// Makes the endpoints stop accepting.
    pub(crate) fn stop(&self) {
        self.command(Command::Stop);
    }

    /// Returns whether the endpoints have been drained.
    pub(crate) fn is_drained(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits until the endpoints have been drained.
    pub(crate) fn wait_drained(self) {
        let start = Instant::now();
        while !self.is_drained() {
            assert!(start.elapsed() < EVENT_TIMEOUT, "not drained");
            thread::sleep(Duration::from_millis(1));
        }
        self.thread.join().unwrap();
    }

    /// Opens a connection.
    pub(crate) fn connect(&self) -> Client {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        Client {
            stream,
            buf: Vec::new(),
        }
    }

    fn command(&self, command: Command) {
        self.commands.unbounded_send(command).unwrap();
    }
}

async fn run_commands(front: &Front, mut commands: UnboundedReceiver<Command>) {
    while let Some(command) = commands.next().await {
        match command {
            Command::Answer(call, answer) => front.answer(call, answer),
            Command::Publish(status) => front.publish(*status),
            Command::Stop => front.stop_accepting(),
        }
        // Pending requests are still answered while the endpoints drain.
        if front.pending_requests() == 0 && front.is_stopping() {
            return;
        }
    }
}

/// A received response.
#[derive(Debug)]
pub(crate) struct Response {
    /// HTTP status.
    pub(crate) status: u16,
    /// Status line and headers.
    pub(crate) head: String,
    /// Body.
    pub(crate) body: String,
}

impl Response {
    /// Returns the value of a header, or an empty string.
    pub(crate) fn header(&self, name: &str) -> &str {
        header(&self.head, name)
    }

    /// Returns a field of the JSON body.
    pub(crate) fn field(&self, name: &str) -> serde_json::Value {
        serde_json::from_str::<serde_json::Value>(&self.body).unwrap()[name].clone()
    }
}

fn header<'a>(head: &'a str, name: &str) -> &'a str {
    head.lines()
        .filter_map(|line| line.split_once(": "))
        .find(|(n, _)| *n == name)
        .map_or("", |(_, value)| value)
}

/// Connection of a caller.
pub(crate) struct Client {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Client {
    /// Sends raw bytes.
    pub(crate) fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).unwrap();
    }

    /// Sends a request; `headers` are complete lines.
    pub(crate) fn post(&mut self, path: &str, headers: &str, body: &str) {
        let length = body.len();
        self.send(format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\n{headers}content-length: {length}\r\n\r\n{body}"
        ));
    }

    /// Sends a search.
    pub(crate) fn search(&mut self) {
        self.post("/v1/entries/harps/search", "", "{}");
    }

    /// Sends a request without a body and waits for its response.
    pub(crate) fn get(&mut self, path: &str) -> Response {
        self.send(format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n"));
        self.response()
    }

    /// Waits for the next response.
    pub(crate) fn response(&mut self) -> Response {
        self.try_response().expect("the connection has closed")
    }

    /// Waits for the next response; `None` when the connection closes.
    pub(crate) fn try_response(&mut self) -> Option<Response> {
        let mut chunk = [0; 4096];
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8(self.buf[..end].to_vec()).unwrap();
                let length: usize = header(&head, "content-length").parse().unwrap_or(0);
                let end = end + 4;
                if self.buf.len() >= end + length {
                    let body = String::from_utf8(self.buf[end..end + length].to_vec()).unwrap();
                    self.buf.drain(..end + length);
                    return Some(Response {
                        status: head[9..12].parse().unwrap(),
                        head,
                        body,
                    });
                }
            }
            match self.stream.read(&mut chunk) {
                Ok(n) if n > 0 => self.buf.extend_from_slice(&chunk[..n]),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                    panic!("no response in time")
                }
                _ => return None,
            }
        }
    }

    /// Asserts that the connection closes without another response.
    pub(crate) fn assert_closed(&mut self) {
        assert!(self.try_response().is_none());
    }
}
