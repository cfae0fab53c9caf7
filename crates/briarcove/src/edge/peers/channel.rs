//! One connection that carries frames both ways.

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
    handover::{Frame, Payload},
};

/// Size of one read, in bytes.
const READ_BYTES: usize = 8 << 10;

/// What waits to be sent on a connection.
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
    /// Has an item sent.
    pub(super) fn push(&self, item: T) {
        self.queue.borrow_mut().push_back(item);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Takes back what was not sent yet.
    pub(super) fn retain(&self, is_kept: impl FnMut(&T) -> bool) {
        self.queue.borrow_mut().retain(is_kept);
    }

    /// Sends and receives until the connection ends.
    ///
    /// `encode` makes the frame of an item at the moment at which it is written, and `receive`
    /// takes the frames that came in one go, and whether the other side has closed after them.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks, or the other side sends what is no frame.
    pub(super) async fn run(
        &self,
        socket: PollFd<Socket>,
        mut encode: impl FnMut(T) -> Option<Frame>,
        mut receive: impl FnMut(Vec<Payload>, bool),
    ) -> io::Result<()> {
        let mut sides = Sides {
            socket,
            codec: Codec::default(),
            out: BytesMut::new(),
            input: BytesMut::new(),
            is_drained: false,
        };
        poll_fn(|cx| {
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            loop {
                let is_closed = sides.read(cx)?;
                let frames = sides.decode()?;
                let any = !frames.is_empty();
                if any {
                    receive(frames, is_closed);
                }
                if is_closed {
                    return Poll::Ready(Ok(()));
                }
                if !any {
                    break;
                }
            }
            while sides.write(cx)? {
                let Some(item) = self.queue.borrow_mut().pop_front() else {
                    break;
                };
                if let Some(frame) = encode(item) {
                    sides.encode(&frame)?;
                }
                // What else waits goes out in the same write.
                let mut rest = std::mem::take(&mut *self.queue.borrow_mut());
                for item in rest.drain(..) {
                    if let Some(frame) = encode(item) {
                        sides.encode(&frame)?;
                    }
                }
            }
            Poll::Pending
        })
        .await
    }
}

/// A socket with what was read and what is to be written.
struct Sides {
    socket: PollFd<Socket>,
    codec: Codec<Frame>,
    out: BytesMut,
    input: BytesMut,
    is_drained: bool,
}

impl Sides {
    /// Reads what there is; returns whether the other side has closed.
    fn read(&mut self, cx: &mut Context<'_>) -> io::Result<bool> {
        let mut buf = [0; READ_BYTES];
        loop {
            if self.is_drained {
                match self.socket.poll_read_ready(cx) {
                    Poll::Ready(ready) => ready?,
                    Poll::Pending => return Ok(false),
                }
                self.is_drained = false;
            }
            match self.socket.poll_read(cx, &mut buf) {
                Poll::Ready(Ok(0)) => return Ok(true),
                // A short read may be followed by the end, which says that nobody waits any more for
                // what was asked; so the socket is read until it is empty.
                Poll::Ready(Ok(read)) => self.input.extend_from_slice(&buf[..read]),
                Poll::Ready(Err(e)) => return Err(e),
                Poll::Pending => {
                    self.is_drained = true;
                    return Ok(false);
                }
            }
        }
    }

    fn decode(&mut self) -> io::Result<Vec<Payload>> {
        let mut frames = Vec::new();
        while let Some(frame) = self
            .codec
            .decode(&mut self.input)
            .map_err(io::Error::other)?
        {
            // A kind that is not known comes from a newer version.
            frames.extend(frame.payload);
        }
        Ok(frames)
    }

    fn encode(&mut self, frame: &Frame) -> io::Result<()> {
        self.codec
            .encode(frame, &mut self.out)
            .map_err(io::Error::other)
    }

    /// Writes what is encoded; returns whether all of it went out.
    fn write(&mut self, cx: &mut Context<'_>) -> io::Result<bool> {
        while !self.out.is_empty() {
            match self.socket.poll_write(cx, &self.out) {
                Poll::Ready(written) => self.out.advance(written?),
                Poll::Pending => return Ok(false),
            }
        }
        Ok(true)
    }
}
