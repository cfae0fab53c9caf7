//! Links over loopback: delivery, batching, invalid frames, restart of a peer, queue limits.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::Incarnation;
use compio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    runtime::{JoinHandle, spawn},
    time::{sleep, timeout},
};
use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use futures_util::StreamExt;
use node::{Event, effect::PeerAddress};
use peer::{Links, Settings};
use slog::{Discard, Logger, o};
use wire::{Body, Cancel, Claim, Heartbeat};

const TIMEOUT: Duration = Duration::from_secs(10);

struct Endpoint {
    links: Links,
    address: SocketAddr,
    events: UnboundedReceiver<Event>,
    listening: JoinHandle<()>,
}

impl Endpoint {
    async fn start(name: &str, address: SocketAddr, settings: Settings) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (tx, rx) = unbounded();
        let log = Logger::root(Discard, o!());
        let links = Links::new(name.parse().unwrap(), Incarnation(1), tx, settings, log);
        let listening = spawn({
            let links = links.clone();
            async move { links.listen(listener).await }
        });
        Self {
            links,
            address,
            events: rx,
            listening,
        }
    }

    fn to(&self) -> PeerAddress {
        PeerAddress {
            name: None,
            address: self.address,
        }
    }

    async fn next(&mut self) -> wire::Envelope {
        match timeout(TIMEOUT, self.events.next()).await.unwrap() {
            Some(Event::Peer(envelope)) => envelope,
            other => panic!("unexpected {other:?}"),
        }
    }
}

fn local() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn cancel(n: u64) -> Body {
    Body::Cancel(Cancel { attempts: vec![n] })
}

fn run(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().unwrap().block_on(test);
}

async fn pair(settings: Settings) -> (Endpoint, Endpoint) {
    let a = Endpoint::start("a", local(), settings.clone()).await;
    (a, Endpoint::start("b", local(), settings).await)
}

#[test]
fn messages_arrive_in_order_in_few_writes() {
    const FRAMES: u64 = 2_000;
    run(async {
        let (mut a, mut b) = pair(Settings::default()).await;
        for n in 0..FRAMES {
            a.links.send(b.to(), cancel(n));
        }
        for n in 0..FRAMES {
            let envelope = b.next().await;
            assert_eq!(envelope.from, "a");
            assert_eq!(envelope.body, Some(cancel(n)));
        }
        b.links.send(a.to(), cancel(7));
        assert_eq!(a.next().await.body, Some(cancel(7)));
        let (sent, received) = (a.links.counters(), b.links.counters());
        assert_eq!((sent.frames_out, received.frames_in), (FRAMES, FRAMES));
        assert_eq!(sent.bytes_out, received.bytes_in);
        assert_eq!((sent.opened, sent.dropped), (1, 0));
        assert!(sent.writes <= 2, "{} writes", sent.writes);
    });
}

#[test]
fn a_bad_frame_closes_only_its_connection() {
    run(async {
        let (a, mut b) = pair(Settings::default()).await;
        let oversize = (wire::MAX_FRAME_BYTES as u32 + 1).to_be_bytes().to_vec();
        let garbage = vec![0, 0, 0, 3, 0xff, 0xff, 0xff];
        for (bad, count) in [(oversize, 1), (garbage, 2)] {
            let mut stream = TcpStream::connect(b.address).await.unwrap();
            stream.write_all(bad).await.0.unwrap();
            let probe = Vec::with_capacity(1);
            let read = timeout(TIMEOUT, compio::io::AsyncRead::read(&mut stream, probe)).await;
            // Closing with unread bytes in the receive buffer may send a reset instead of FIN.
            assert!(read.unwrap().0.unwrap_or(0) == 0);
            assert_eq!(b.links.counters().malformed, count);
        }
        a.links.send(b.to(), cancel(1));
        assert_eq!(b.next().await.body, Some(cancel(1)));
    });
}

#[test]
fn a_restarted_peer_is_reached_again() {
    run(async {
        let (a, mut b) = pair(Settings::default()).await;
        a.links.send(b.to(), cancel(1));
        b.next().await;
        let address = b.address;
        drop(b.listening);
        sleep(Duration::from_millis(100)).await;
        a.links.send(
            PeerAddress {
                name: None,
                address,
            },
            cancel(2),
        );
        sleep(Duration::from_millis(100)).await;
        assert!(a.links.counters().connect_failures > 0);
        let mut b = Endpoint::start("b", address, Settings::default()).await;
        let started = Instant::now();
        a.links.send(b.to(), cancel(3));
        while b.next().await.body != Some(cancel(3)) {}
        assert!(started.elapsed() <= Settings::default().max_backoff * 2);
    });
}

#[test]
fn a_full_queue_drops_heartbeats_first() {
    run(async {
        let settings = Settings {
            max_queue_bytes: base::ByteSize(1_000),
            max_frame_age: TIMEOUT,
            ..Settings::default()
        };
        let (a, mut b) = pair(settings).await;
        let heartbeat = |sequence| {
            Body::Heartbeat(Heartbeat {
                sequence,
                address: "h".repeat(100),
                ..Heartbeat::default()
            })
        };
        let claim = |ticket| {
            Body::Claim(Claim {
                ticket,
                bucket: "c".repeat(300),
                ..Claim::default()
            })
        };
        // The queue has room for the three claims only, so all heartbeats must be dropped.
        for body in [
            heartbeat(1),
            claim(1),
            heartbeat(2),
            claim(2),
            heartbeat(3),
            claim(3),
        ] {
            a.links.send(b.to(), body);
        }
        for expected in [claim(1), claim(2), claim(3)] {
            assert_eq!(b.next().await.body, Some(expected));
        }
        assert_eq!(a.links.counters().dropped, 3);
    });
}

#[test]
fn idle_connections_close_and_open_again() {
    run(async {
        let idle = Duration::from_millis(50);
        let (a, mut b) = pair(Settings {
            idle_timeout: idle,
            ..Settings::default()
        })
        .await;
        for n in 1..=2 {
            a.links.send(b.to(), cancel(n));
            assert_eq!(b.next().await.body, Some(cancel(n)));
            sleep(idle * 4).await;
            assert_eq!(a.links.counters().opened, n);
        }
        a.links.flush(TIMEOUT).await;
        assert_eq!(a.links.counters().dropped, 0);
    });
}
