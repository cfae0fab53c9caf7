//! Adapter from a non-blocking socket to hyper's I/O traits.

use std::{
    cell::{Cell, RefCell},
    io::{self, Read, Write},
    os::fd::AsFd,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use compio::runtime::fd::PollFd;
use hyper::rt::ReadBufCursor;

/// Size of the read buffer that all sockets share, in bytes.
const READ_BYTES: usize = 16 << 10;

/// A read buffer shared by several sockets; each borrows it for the duration of one read.
#[derive(Clone)]
pub struct ReadBuf(Rc<RefCell<Vec<u8>>>);

impl Default for ReadBuf {
    fn default() -> Self {
        Self(Rc::new(RefCell::new(vec![0; READ_BYTES])))
    }
}

/// A non-blocking socket that is polled for readiness only when a read or write would block.
///
/// Compared with completion-based I/O, this saves a submitted operation and an owned buffer per
/// write, and a copy per read. Requests are small, so writes are not vectored: hyper sends head
/// and body from one buffer.
pub struct Io<T: AsFd> {
    socket: PollFd<T>,
    buf: ReadBuf,
    drained: Drained,
}

/// Whether the last read emptied the socket; if so, the next read first waits for readiness.
#[derive(Clone, Default)]
pub struct Drained(Rc<Cell<bool>>);

impl Drained {
    /// Makes the next read try the socket immediately, which detects a close by the peer.
    pub fn clear(&self) {
        self.0.set(false);
    }
}

impl<T: AsFd> Io<T> {
    /// Wraps a non-blocking socket.
    pub fn new(socket: PollFd<T>, buf: ReadBuf, drained: Drained) -> Self {
        Self {
            socket,
            buf,
            drained,
        }
    }
}

impl<T> hyper::rt::Read for Io<T>
where
    T: AsFd + Unpin + 'static,
    for<'a> &'a T: Read,
{
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.drained.0.get() {
            ready!(this.socket.poll_read_ready(cx))?;
            this.drained.clear();
        }
        let mut buf = this.buf.0.borrow_mut();
        let max_len = cursor.remaining().min(buf.len());
        let buf = &mut buf[..max_len];
        // A short read has emptied the socket; a read of zero bytes is the end of the stream.
        let read = this.socket.poll_read(cx, buf);
        this.drained.0.set(match &read {
            Poll::Pending => true,
            Poll::Ready(Ok(read)) => *read > 0 && *read < max_len,
            Poll::Ready(Err(_)) => false,
        });
        let read = ready!(read)?;
        cursor.put_slice(&buf[..read]);
        Poll::Ready(Ok(()))
    }
}

impl<T> hyper::rt::Write for Io<T>
where
    T: AsFd + Unpin + 'static,
    for<'a> &'a T: Write,
{
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.socket.poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Writes are not buffered here.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        futures_util::AsyncWrite::poll_close(Pin::new(&mut self.get_mut().socket), cx)
    }
}
