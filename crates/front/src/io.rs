//! A connection whose writes don't wait for ever.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use cyper_core::CompioTimer;
use hyper::rt::{Read, ReadBufCursor, Sleep, Timer, Write};

/// A stream that fails when the other side takes no byte for some time.
///
/// Without this a caller that doesn't read its answer would hold its connection, and a shutdown,
/// for as long as it likes.
pub(crate) struct WriteTimeout<S> {
    stream: S,
    time: Duration,
    /// Runs while a write waits.
    stalled: Option<Pin<Box<dyn Sleep>>>,
}

impl<S> WriteTimeout<S> {
    /// Bounds the time for which writes of `stream` wait.
    pub(crate) fn new(stream: S, time: Duration) -> Self {
        Self {
            stream,
            time,
            stalled: None,
        }
    }

    /// Passes a result on, or fails when writes have waited too long.
    fn bound<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.stalled = None;
            return result;
        }
        let time = self.time;
        let timer = self.stalled.get_or_insert_with(|| CompioTimer.sleep(time));
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
        self.bound(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.bound(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        self.bound(cx, result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.bound(cx, result)
    }
}
