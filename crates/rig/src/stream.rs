//! An unbuffered TCP stream for hyper.
//!
//! `cyper_core::HyperStream` copies all data through a buffer and allocates a future for each read
//! and write. That overhead would distort measurements against the stand-ins.

use std::{
    cell::RefCell,
    io,
    os::fd::AsFd,
    pin::Pin,
    task::{Context, Poll, ready},
};

use compio::runtime::fd::PollFd;
use futures_util::AsyncWrite;
use hyper::rt::{Read, ReadBufCursor, Write};

/// Maximum size of one read, in bytes.
const READ_BYTES: usize = 16 << 10;

thread_local! {
    /// Read buffer shared by all connections of the thread.
    static READ_BUF: RefCell<Box<[u8]>> = RefCell::new(vec![0; READ_BYTES].into());
}

/// A stream over a file descriptor that the runtime polls for readiness.
pub(crate) struct Stream<T: AsFd> {
    fd: PollFd<T>,
    /// Whether the last read returned all available data, so that the next one waits for
    /// readiness first.
    drained: bool,
}

impl<T: AsFd> Stream<T> {
    /// Wraps a non-blocking file descriptor.
    pub(crate) fn new(fd: PollFd<T>) -> Self {
        Self { fd, drained: false }
    }
}

impl<T: AsFd + Unpin + 'static> Read for Stream<T>
where
    for<'a> &'a T: io::Read,
{
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.drained {
            ready!(this.fd.poll_read_ready(cx))?;
            this.drained = false;
        }
        READ_BUF.with_borrow_mut(|buf| {
            let wanted = cursor.remaining().min(buf.len());
            let count = ready!(this.fd.poll_read(cx, &mut buf[..wanted]))?;
            this.drained = count < wanted;
            cursor.put_slice(&buf[..count]);
            Poll::Ready(Ok(()))
        })
    }
}

impl<T: AsFd + Unpin + 'static> Write for Stream<T>
where
    for<'a> &'a T: io::Write,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.fd).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.fd).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.fd).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.fd).poll_close(cx)
    }
}
