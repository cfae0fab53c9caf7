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

/// Bytes that a connection may read before other tasks run.
const TURN_BYTES: usize = 128 << 10;

/// A read buffer shared by several sockets; each borrows it for the duration of one read. The sockets
/// also share a budget for the bodies that they receive.
#[derive(Clone)]
pub struct ReadBuf {
    bytes: Rc<RefCell<Vec<u8>>>,
    budget: ByteBudget,
}

impl Default for ReadBuf {
    fn default() -> Self {
        Self::with_budget(ByteBudget::default())
    }
}

impl ReadBuf {
    /// Creates a buffer whose sockets share a budget.
    pub fn with_budget(budget: ByteBudget) -> Self {
        Self {
            bytes: Rc::new(RefCell::new(vec![0; READ_BYTES])),
            budget,
        }
    }

    /// Returns the budget for bodies that are being received.
    pub fn budget(&self) -> &ByteBudget {
        &self.budget
    }
}

/// A limit on the bytes that are held at a time, over all connections that share it.
#[derive(Clone, Debug)]
pub struct ByteBudget(Rc<BudgetState>);

#[derive(Debug)]
struct BudgetState {
    limit: usize,
    used: Cell<usize>,
    peak: Cell<usize>,
}

impl Default for ByteBudget {
    /// Returns a budget without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl ByteBudget {
    /// Creates a budget of this many bytes.
    pub fn new(limit: usize) -> Self {
        Self(Rc::new(BudgetState {
            limit,
            used: Cell::new(0),
            peak: Cell::new(0),
        }))
    }

    /// Returns the bytes that are held now.
    pub fn used(&self) -> usize {
        self.0.used.get()
    }

    /// Returns the most bytes that were held at a time.
    pub fn peak(&self) -> usize {
        self.0.peak.get()
    }
}

/// Bytes taken from a budget; dropping it gives them back.
#[derive(Debug)]
pub struct Reserved {
    budget: ByteBudget,
    bytes: usize,
}

impl Reserved {
    /// Creates a reservation of no bytes.
    pub fn new(budget: ByteBudget) -> Self {
        Self { budget, bytes: 0 }
    }

    /// Takes more bytes; returns false if the budget is exhausted.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let state = &self.budget.0;
        let used = state.used.get().saturating_add(bytes);
        if used > state.limit {
            return false;
        }
        state.used.set(used);
        state.peak.set(state.peak.get().max(used));
        self.bytes += bytes;
        true
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        let state = &self.budget.0;
        state.used.set(state.used.get().saturating_sub(self.bytes));
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
    inflow: Inflow,
}

/// State and limits of the bytes that a connection receives; clones share them.
#[derive(Clone, Default)]
pub struct Inflow(Rc<InflowState>);

struct InflowState {
    /// Whether the last read emptied the socket; if so, the next read first waits for readiness.
    is_drained: Cell<bool>,
    /// Bytes that may still be read before other tasks run.
    turn_left: Cell<usize>,
    /// Bytes that may still be read in the current exchange.
    exchange_left: Cell<usize>,
}

impl Default for InflowState {
    fn default() -> Self {
        Self {
            is_drained: Cell::new(false),
            turn_left: Cell::new(usize::MAX),
            exchange_left: Cell::new(usize::MAX),
        }
    }
}

impl Inflow {
    /// Makes the next read try the socket immediately, which detects a close by the peer.
    pub fn clear_drained(&self) {
        self.0.is_drained.set(false);
    }

    /// Starts a turn: after some reads, the connection wakes itself and lets other tasks run.
    pub fn start_turn(&self) {
        self.0.turn_left.set(TURN_BYTES);
    }

    /// Starts an exchange in which at most this many bytes may be received, whatever they are.
    pub fn start_exchange(&self, max_bytes: usize) {
        self.0.exchange_left.set(max_bytes);
    }

    /// Returns whether the peer has sent more than that.
    pub fn is_exceeded(&self) -> bool {
        self.0.exchange_left.get() == 0
    }
}

impl<T: AsFd> Io<T> {
    /// Wraps a non-blocking socket.
    pub fn new(socket: PollFd<T>, buf: ReadBuf, inflow: Inflow) -> Self {
        Self {
            socket,
            buf,
            inflow,
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
        let inflow = &this.inflow.0;
        if inflow.is_drained.get() {
            ready!(this.socket.poll_read_ready(cx))?;
            inflow.is_drained.set(false);
        }
        if inflow.turn_left.get() == 0 {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if inflow.exchange_left.get() == 0 {
            let problem = "the peer has sent more bytes than the limit";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, problem)));
        }
        let mut buf = this.buf.bytes.borrow_mut();
        let max_len = cursor.remaining().min(buf.len());
        let buf = &mut buf[..max_len];
        // A short read has emptied the socket; a read of zero bytes is the end of the stream.
        let read = this.socket.poll_read(cx, buf);
        inflow.is_drained.set(match &read {
            Poll::Pending => true,
            Poll::Ready(Ok(read)) => *read > 0 && *read < max_len,
            Poll::Ready(Err(_)) => false,
        });
        let read = ready!(read)?;
        for left in [&inflow.turn_left, &inflow.exchange_left] {
            left.set(left.get().saturating_sub(read));
        }
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
