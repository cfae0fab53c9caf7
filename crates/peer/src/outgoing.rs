//! The outgoing connection to one address.

use std::{
    cell::{Cell, RefCell},
    future::{Future, poll_fn},
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    task::{Poll, Waker},
    time::{Duration, Instant},
};

use bytes::BytesMut;
use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};
use futures_util::future::{Either, select};
use slog::debug;
use tokio_util::codec::Encoder;
use wire::{Body, Codec, Envelope, FrameError};

use crate::{Shared, queue::Queue};

/// Capacity that the write buffer keeps between writes, in bytes.
const KEPT_BUFFER_BYTES: usize = 1 << 20;
/// Bytes read from an outgoing connection; the peer sends none, so a read ends when it closes.
const CLOSE_PROBE_BYTES: usize = 16;

/// Messages for one address, and the task that waits for them.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    queue: RefCell<Queue>,
    waker: RefCell<Option<Waker>>,
    writing: Cell<bool>,
}

impl Outbox {
    /// Appends a message and wakes the task of the connection.
    pub(crate) fn push(&self, body: Body, shared: &Shared) {
        let limit = usize::try_from(shared.settings.max_queue_bytes.0).unwrap_or(usize::MAX);
        let dropped = self.queue.borrow_mut().push(body, Instant::now(), limit);
        shared.count.update(|c| c.dropped += dropped);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Returns whether every message was written or dropped.
    pub(crate) fn is_flushed(&self) -> bool {
        self.queue.borrow().is_empty() && !self.writing.get()
    }

    /// Waits until there is a message.
    async fn ready(&self) {
        poll_fn(|cx| {
            if !self.queue.borrow().is_empty() {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    fn expire(&self, shared: &Shared) {
        let age = shared.settings.max_frame_age;
        let dropped = self.queue.borrow_mut().expire(Instant::now(), age);
        shared.count.update(|c| c.dropped += dropped);
    }
}

/// Why a connection ended.
enum End {
    /// Nothing was sent for the idle time.
    Idle,
    /// The peer closed the connection, or a write failed.
    Broken,
}

/// Sends the messages of one outbox until nothing was sent for the idle time.
pub(crate) struct Sender {
    shared: Rc<Shared>,
    outbox: Rc<Outbox>,
    address: SocketAddr,
    codec: Codec,
    envelope: Envelope,
    buf: BytesMut,
    frames: u64,
}

impl Sender {
    pub(crate) fn new(shared: Rc<Shared>, outbox: Rc<Outbox>, address: SocketAddr) -> Self {
        let envelope = Envelope {
            from: shared.name.to_string(),
            incarnation: shared.incarnation.0,
            body: None,
        };
        Self {
            shared,
            outbox,
            address,
            codec: Codec::default(),
            envelope,
            buf: BytesMut::new(),
            frames: 0,
        }
    }

    pub(crate) async fn run(mut self) {
        let settings = self.shared.settings.clone();
        let mut pause = settings.initial_backoff;
        loop {
            if let Some(stream) = self.connect().await {
                let opened = Instant::now();
                if matches!(self.serve(stream).await, End::Idle) {
                    return;
                }
                if opened.elapsed() > settings.max_backoff {
                    pause = settings.initial_backoff;
                }
            }
            sleep(pause).await;
            pause = (pause * 2).min(settings.max_backoff);
            self.outbox.expire(&self.shared);
            if timeout(settings.idle_timeout, self.outbox.ready())
                .await
                .is_err()
            {
                return;
            }
        }
    }

    async fn connect(&self) -> Option<TcpStream> {
        let connecting = TcpStream::connect(self.address);
        let connected = timeout(self.shared.settings.connect_timeout, connecting).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return self.refused(&error),
            Err(error) => return self.refused(&error),
        };
        if let Err(error) = stream.set_nodelay(true) {
            debug!(self.shared.log, "cannot set TCP_NODELAY"; "error" => %error);
        }
        self.shared.count.update(|c| c.opened += 1);
        Some(stream)
    }

    fn refused(&self, error: &dyn std::error::Error) -> Option<TcpStream> {
        self.shared.count.update(|c| c.connect_failures += 1);
        debug!(self.shared.log, "cannot connect to peer";
            "address" => %self.address, "error" => %error);
        None
    }

    async fn serve(&mut self, stream: TcpStream) -> End {
        let mut closed = pin!(closed(stream.clone()));
        loop {
            match first(
                self.outbox.ready(),
                closed.as_mut(),
                self.shared.settings.idle_timeout,
            )
            .await
            {
                Some(true) => {}
                Some(false) => return End::Broken,
                None => return End::Idle,
            }
            self.outbox.expire(&self.shared);
            self.encode();
            if !self.write(&stream).await {
                return End::Broken;
            }
        }
    }

    /// Encodes the messages that wait, up to the size of one write.
    fn encode(&mut self) {
        let batch = usize::try_from(self.shared.settings.max_batch_bytes.0).unwrap_or(usize::MAX);
        while self.buf.len() < batch {
            let Some(body) = self.outbox.queue.borrow_mut().pop() else {
                return;
            };
            self.envelope.body = Some(body);
            match self.codec.encode(&self.envelope, &mut self.buf) {
                Ok(()) => self.frames += 1,
                Err(error) => self.cannot_encode(&error),
            }
            self.envelope.body = None;
        }
    }

    fn cannot_encode(&self, error: &FrameError) {
        self.shared.count.update(|c| c.dropped += 1);
        slog::warn!(self.shared.log, "cannot send message to peer";
            "address" => %self.address, "error" => %error);
    }

    /// Writes the encoded frames; frames of a write that fails are not sent again.
    async fn write(&mut self, mut stream: &TcpStream) -> bool {
        let (frames, bytes) = (std::mem::take(&mut self.frames), self.buf.len() as u64);
        let writing = stream.write_all(std::mem::take(&mut self.buf));
        self.outbox.writing.set(true);
        let written = timeout(self.shared.settings.write_timeout, writing).await;
        self.outbox.writing.set(false);
        let Ok(BufResult(Ok(()), mut buf)) = written else {
            self.shared.count.update(|c| c.dropped += frames);
            debug!(self.shared.log, "connection to peer broke"; "address" => %self.address);
            return false;
        };
        self.shared.count.update(|c| {
            c.frames_out += frames;
            c.bytes_out += bytes;
            c.writes += 1;
        });
        buf.clear();
        if buf.capacity() <= KEPT_BUFFER_BYTES {
            self.buf = buf;
        }
        true
    }
}

/// Ends when the peer closes the connection.
async fn closed(mut stream: TcpStream) {
    let probe = BytesMut::with_capacity(CLOSE_PROBE_BYTES);
    let BufResult(_, _) = stream.read(probe).await;
}

/// Returns whether `ready` ended before `closed`, or `None` when neither did in time.
async fn first(
    ready: impl Future<Output = ()>,
    closed: impl Future<Output = ()> + Unpin,
    longest: Duration,
) -> Option<bool> {
    let ready = pin!(ready);
    match timeout(longest, select(closed, ready)).await {
        Ok(Either::Left(_)) => Some(false),
        Ok(Either::Right(_)) => Some(true),
        Err(_) => None,
    }
}
