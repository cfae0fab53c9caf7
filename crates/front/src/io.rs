//! I/O stream with a write timeout.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use cyper_core::CompioTimer;
use hyper::rt::{Read, ReadBufCursor, Sleep, Timer, Write};

/// A stream whose writes fail when the peer accepts no data for some time.
///
/// Without the timeout, a caller that does not read its response would keep its connection open
/// indefinitely and block a shutdown.
pub(crate) struct WriteTimeout<S> {
    stream: S,
    time_limit: Duration,
    /// Timer that runs while a write is blocked.
    stall_timer: Option<Pin<Box<dyn Sleep>>>,
}

impl<S> WriteTimeout<S> {
    /// Wraps `stream` with a limit on how long a write may block.
    pub(crate) fn new(stream: S, time_limit: Duration) -> Self {
        Self {
            stream,
            time_limit,
            stall_timer: None,
        }
    }

    /// Passes the result through, or fails when writes have been blocked for too long.
    fn apply_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.stall_timer = None;
            return result;
        }
        let time_limit = self.time_limit;
        let timer = self
            .stall_timer
            .get_or_insert_with(|| CompioTimer.sleep(time_limit));
        timer
            .as_mut()
            .poll(cx)
            .map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: Read + Unpin> Read for WriteTimeout<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: Write + Unpin> Write for WriteTimeout<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.apply_timeout(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.apply_timeout(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        self.apply_timeout(cx, result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.apply_timeout(cx, result)
    }
}
