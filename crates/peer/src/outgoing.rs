//! Outgoing connection to one address.

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

/// Largest capacity at which the write buffer is reused for the next write, in bytes.
const MAX_REUSED_BUFFER_BYTES: usize = 1 << 20;
/// Size of the read that detects a close by the peer, in bytes; the peer sends no data itself.
const CLOSE_PROBE_BYTES: usize = 16;

/// Messages queued for one address, and the waker of the task that sends them.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    queue: RefCell<Queue>,
    waker: RefCell<Option<Waker>>,
    writing: Cell<bool>,
}

impl Outbox {
    /// Queues a message and wakes the sending task.
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

    /// Waits until a message is queued.
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
enum EndReason {
    /// Nothing was sent for the idle timeout.
    Idle,
    /// The peer closed the connection, or a write failed.
    Broken,
}

/// Sends the messages of one outbox until nothing was sent for the idle timeout.
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
        let mut backoff = settings.initial_backoff;
        loop {
            if let Some(stream) = self.connect().await {
                let opened = Instant::now();
                if matches!(self.serve(stream).await, EndReason::Idle) {
                    return;
                }
                if opened.elapsed() > settings.max_backoff {
                    backoff = settings.initial_backoff;
                }
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(settings.max_backoff);
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
            Ok(Err(error)) => return self.connect_failed(&error),
            Err(error) => return self.connect_failed(&error),
        };
        if let Err(error) = stream.set_nodelay(true) {
            debug!(self.shared.log, "failed to set TCP_NODELAY"; "error" => %error);
        }
        self.shared.count.update(|c| c.opened += 1);
        Some(stream)
    }

    fn connect_failed(&self, error: &dyn std::error::Error) -> Option<TcpStream> {
        self.shared.count.update(|c| c.connect_failures += 1);
        debug!(self.shared.log, "failed to connect to a peer";
            "address" => %self.address, "error" => %error);
        None
    }

    async fn serve(&mut self, stream: TcpStream) -> EndReason {
        let mut closed = pin!(closed(stream.clone()));
        loop {
            match wait_for_message(
                self.outbox.ready(),
                closed.as_mut(),
                self.shared.settings.idle_timeout,
            )
            .await
            {
                Some(true) => {}
                Some(false) => return EndReason::Broken,
                None => return EndReason::Idle,
            }
            self.outbox.expire(&self.shared);
            self.encode();
            if !self.write(&stream).await {
                return EndReason::Broken;
            }
        }
    }

    /// Encodes queued messages until the batch for one write is full.
    fn encode(&mut self) {
        let batch = usize::try_from(self.shared.settings.max_batch_bytes.0).unwrap_or(usize::MAX);
        while self.buf.len() < batch {
            let Some(body) = self.outbox.queue.borrow_mut().pop() else {
                return;
            };
            self.envelope.body = Some(body);
            match self.codec.encode(&self.envelope, &mut self.buf) {
                Ok(()) => self.frames += 1,
                Err(error) => self.encode_failed(&error),
            }
            self.envelope.body = None;
        }
    }

    fn encode_failed(&self, error: &FrameError) {
        self.shared.count.update(|c| c.dropped += 1);
        slog::warn!(self.shared.log, "failed to encode a message to a peer; dropping it";
            "address" => %self.address, "error" => %error);
    }

    /// Writes the encoded frames and returns whether that succeeded; lost frames are not resent.
    async fn write(&mut self, mut stream: &TcpStream) -> bool {
        let (frames, bytes) = (std::mem::take(&mut self.frames), self.buf.len() as u64);
        let writing = stream.write_all(std::mem::take(&mut self.buf));
        self.outbox.writing.set(true);
        let written = timeout(self.shared.settings.write_timeout, writing).await;
        self.outbox.writing.set(false);
        let Ok(BufResult(Ok(()), mut buf)) = written else {
            self.shared.count.update(|c| c.dropped += frames);
            debug!(self.shared.log, "failed to write to a peer"; "address" => %self.address);
            return false;
        };
        self.shared.count.update(|c| {
            c.frames_out += frames;
            c.bytes_out += bytes;
            c.writes += 1;
        });
        buf.clear();
        if buf.capacity() <= MAX_REUSED_BUFFER_BYTES {
            self.buf = buf;
        }
        true
    }
}

/// Waits until the peer closes the connection.
async fn closed(mut stream: TcpStream) {
    let probe = BytesMut::with_capacity(CLOSE_PROBE_BYTES);
    let BufResult(_, _) = stream.read(probe).await;
}

/// Returns whether `ready` completed before `closed`, or `None` when neither did in time.
async fn wait_for_message(
    ready: impl Future<Output = ()>,
    closed: impl Future<Output = ()> + Unpin,
    idle_timeout: Duration,
) -> Option<bool> {
    let ready = pin!(ready);
    match timeout(idle_timeout, select(closed, ready)).await {
        Ok(Either::Left(_)) => Some(false),
        Ok(Either::Right(_)) => Some(true),
        Err(_) => None,
    }
}
