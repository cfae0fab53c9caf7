//! A connection that carries frames in both directions.

use std::{
    cell::RefCell,
    collections::VecDeque,
    future::poll_fn,
    io,
    task::{Context, Poll, Waker},
};

use bytes::{Buf, BytesMut};
use compio::runtime::fd::PollFd;
use socket2::Socket;
use tokio_util::codec::{Decoder, Encoder};
use wire::{
    Codec,
    handover::{Frame, MAX_FRAME_BYTES, Payload},
};

/// Size of one read, in bytes.
const READ_BYTES: usize = 8 << 10;

/// Bytes that are read before their frames are handled.
const MAX_READ_AHEAD: usize = 256 << 10;

/// Why reading stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadEnd {
    /// The socket is empty.
    Drained,
    /// [`MAX_READ_AHEAD`] bytes were read, and there may be more.
    Limited,
    /// The other side has closed the connection.
    Closed,
}

/// The send queue of a connection.
pub(super) struct Channel<T> {
    queue: RefCell<VecDeque<T>>,
    waker: RefCell<Option<Waker>>,
}

impl<T> Default for Channel<T> {
    fn default() -> Self {
        Self {
            queue: RefCell::default(),
            waker: RefCell::default(),
        }
    }
}

impl<T> Channel<T> {
    /// Queues an item to be sent.
    pub(super) fn push(&self, item: T) {
        self.queue.borrow_mut().push_back(item);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Removes and returns the unsent items.
    pub(super) fn take_unsent(&self) -> VecDeque<T> {
        self.queue.take()
    }

    /// Keeps only those unsent items for which `is_kept` returns true.
    pub(super) fn retain(&self, is_kept: impl FnMut(&T) -> bool) {
        self.queue.borrow_mut().retain(is_kept);
    }

    /// Sends and receives until the connection ends.
    ///
    /// `encode` creates the frame of an item right before it is written; `None` skips the item.
    /// `receive` gets the frames that arrived together, and whether the other side has closed the
    /// connection after them.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks, or the other side sends an invalid frame.
    pub(super) async fn run(
        &self,
        socket: PollFd<Socket>,
        mut encode: impl FnMut(T) -> Option<Frame>,
        mut receive: impl FnMut(Vec<Payload>, bool),
    ) -> io::Result<()> {
        let mut connection = Connection {
            socket,
            codec: Codec::with_max_frame(MAX_FRAME_BYTES),
            output: BytesMut::new(),
            input: BytesMut::new(),
            is_drained: false,
        };
        poll_fn(|cx| {
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            loop {
                let end = connection.read(cx)?;
                let is_closed = end == ReadEnd::Closed;
                let frames = connection.decode()?;
                let has_frames = !frames.is_empty();
                if has_frames {
                    receive(frames, is_closed);
                }
                if is_closed {
                    return Poll::Ready(Ok(()));
                }
                if end == ReadEnd::Limited {
                    // Lets other tasks run in between.
                    cx.waker().wake_by_ref();
                    break;
                }
                if !has_frames {
                    break;
                }
            }
            while connection.write(cx)? {
                let Some(item) = self.queue.borrow_mut().pop_front() else {
                    break;
                };
                if let Some(frame) = encode(item) {
                    connection.encode(&frame)?;
                }
                // All other queued items go out in the same write.
                let mut queued = std::mem::take(&mut *self.queue.borrow_mut());
                for item in queued.drain(..) {
                    if let Some(frame) = encode(item) {
                        connection.encode(&frame)?;
                    }
                }
            }
            Poll::Pending
        })
        .await
    }
}

/// A socket with its read and write buffers.
struct Connection {
    socket: PollFd<Socket>,
    codec: Codec<Frame>,
    output: BytesMut,
    input: BytesMut,
    /// Whether the last read found the socket empty, so that it has to become readable first.
    is_drained: bool,
}

impl Connection {
    /// Reads the available data, up to a limit.
    fn read(&mut self, cx: &mut Context<'_>) -> io::Result<ReadEnd> {
        let mut buf = [0; READ_BYTES];
        let mut left = MAX_READ_AHEAD;
        while left > 0 {
            if self.is_drained {
                match self.socket.poll_read_ready(cx) {
                    Poll::Ready(ready) => ready?,
                    Poll::Pending => return Ok(ReadEnd::Drained),
                }
                self.is_drained = false;
            }
            match self.socket.poll_read(cx, &mut buf) {
                Poll::Ready(Ok(0)) => return Ok(ReadEnd::Closed),
                // Reads until the socket is empty even after a short read, as the end of the stream
                // may follow, after which nobody waits for the requests received with it.
                Poll::Ready(Ok(read)) => {
                    self.input.extend_from_slice(&buf[..read]);
                    left = left.saturating_sub(read);
                }
                Poll::Ready(Err(e)) => return Err(e),
                Poll::Pending => {
                    self.is_drained = true;
                    return Ok(ReadEnd::Drained);
                }
            }
        }
        Ok(ReadEnd::Limited)
    }

    fn decode(&mut self) -> io::Result<Vec<Payload>> {
        let mut frames = Vec::new();
        while let Some(frame) = self
            .codec
            .decode(&mut self.input)
            .map_err(io::Error::other)?
        {
            // A payload of an unknown type is from a newer version and is skipped.
            frames.extend(frame.payload);
        }
        Ok(frames)
    }

    fn encode(&mut self, frame: &Frame) -> io::Result<()> {
        self.codec
            .encode(frame, &mut self.output)
            .map_err(io::Error::other)
    }

    /// Writes the encoded frames; returns whether all of them were written.
    fn write(&mut self, cx: &mut Context<'_>) -> io::Result<bool> {
        while !self.output.is_empty() {
            match self.socket.poll_write(cx, &self.output) {
                Poll::Ready(written) => self.output.advance(written?),
                Poll::Pending => return Ok(false),
            }
        }
        Ok(true)
    }
}
