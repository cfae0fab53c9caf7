//! A socket as hyper reads and writes it.

use std::{
    cell::RefCell,
    io::{self, Read, Write},
    os::fd::AsFd,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use compio::runtime::fd::PollFd;
use hyper::rt::ReadBufCursor;

/// Size of the buffer that all sockets share for reading, in bytes.
const READ_BYTES: usize = 16 << 10;

/// A buffer that sockets borrow for the time of one read.
#[derive(Clone)]
pub(crate) struct ReadBuf(Rc<RefCell<Vec<u8>>>);

impl ReadBuf {
    /// Makes the buffer.
    pub(crate) fn new() -> Self {
        Self(Rc::new(RefCell::new(vec![0; READ_BYTES])))
    }
}

/// A socket that is read and written at once, and waited for only when that would block.
///
/// Compared with the completion style of I/O this saves an operation with its buffer for each
/// write, and a copy for each read.
pub(crate) struct Io<T: AsFd> {
    socket: PollFd<T>,
    buf: ReadBuf,
    /// Whether the last read emptied the socket, so that the next one would block.
    drained: bool,
}

impl<T: AsFd> Io<T> {
    /// Wraps a socket that does not block.
    pub(crate) fn new(socket: PollFd<T>, buf: ReadBuf) -> Self {
        Self {
            socket,
            buf,
            drained: false,
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
        if this.drained {
            ready!(this.socket.poll_read_ready(cx))?;
            this.drained = false;
        }
        let mut buf = this.buf.0.borrow_mut();
        let room = cursor.remaining().min(buf.len());
        let buf = &mut buf[..room];
        let read = ready!(this.socket.poll_read(cx, buf))?;
        // A short read has emptied the socket, unless it is the end of the stream.
        this.drained = read > 0 && read < room;
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

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.socket.poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Nothing is held back.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        futures_util::AsyncWrite::poll_close(Pin::new(&mut self.get_mut().socket), cx)
    }
}
