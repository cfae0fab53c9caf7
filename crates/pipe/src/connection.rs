//! HTTP/1.1 client connection that carries one request at a time.

use std::{
    future::{Future, poll_fn},
    io,
    net::SocketAddr,
    pin::{Pin, pin},
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use compio::{net::TcpStream, runtime::fd::PollFd, time::timeout};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body, Incoming},
    client::conn::http1::{self, Connection, SendRequest},
};
use socket2::{SockRef, Socket, TcpKeepalive};

use crate::io::{ByteBudget, Inflow, Io, ReadBuf, Reserved};

/// Idle time before the first keep-alive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Longest time that sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Largest head of a response, and most bytes besides its body, such as those of interim responses
/// and of the framing.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Why an exchange produced no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// No byte of the request was written to the socket.
    Unsent,
    /// The connection failed or closed before the response was complete.
    Broken,
    /// The response was not valid HTTP or exceeded the size limit.
    Malformed,
}

/// Whether the kernel probes an idle connection to detect an unreachable peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Keepalive {
    /// No probes, for exchanges that the caller bounds with a timeout.
    Disabled,
    /// TCP keep-alive probes, for exchanges that may wait long for a response.
    Enabled,
}

/// An open client connection; dropping it closes the socket.
pub struct ClientConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: Option<Connection<Io<Socket>, Full<Bytes>>>,
    inflow: Inflow,
    budget: ByteBudget,
}

impl ClientConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when the peer refuses the connection or does not accept it within `connect_timeout`.
    pub async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
        keepalive: Keepalive,
        buf: ReadBuf,
    ) -> io::Result<Self> {
        let stream = timeout(connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let socket: PollFd<Socket> = stream.into_poll_fd()?;
        set_tcp_timeouts(&socket, keepalive)?;
        let (inflow, budget) = (Inflow::default(), buf.budget().clone());
        let stream = Io::new(socket, buf, inflow.clone());
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let (sender, driver) = builder.handshake(stream).await.map_err(io::Error::other)?;
        Ok(Self {
            sender,
            driver: Some(driver),
            inflow,
            budget,
        })
    }

    /// Returns whether an idle connection can carry another request.
    ///
    /// Reads from the socket first, which detects a close or unexpected bytes from the peer.
    pub async fn is_usable(&mut self) -> bool {
        self.inflow.clear_drained();
        poll_fn(|cx| {
            self.poll_driver(cx);
            let ready = matches!(self.sender.poll_ready(cx), Poll::Ready(Ok(())));
            Poll::Ready(ready && self.driver.is_some())
        })
        .await
    }

    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.driver.is_none() || self.sender.is_closed()
    }

    /// Sends a request and reads the whole response, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails when there is no valid response. The connection must not be used again after that.
    pub async fn exchange(
        &mut self,
        req: Request<Full<Bytes>>,
        limit: usize,
    ) -> Result<Response<Bytes>, ExchangeError> {
        self.inflow
            .start_exchange(limit.saturating_add(MAX_HEAD_BYTES));
        let response = self.sender.try_send_request(req);
        let response = match self.drive(response).await {
            Ok(response) => response,
            Err(mut error) => {
                return Err(match error.take_message() {
                    Some(_) => ExchangeError::Unsent,
                    None if error.error().is_parse() => ExchangeError::Malformed,
                    None => self.failure(),
                });
            }
        };
        let (head, body) = response.into_parts();
        let reserved = Reserved::new(self.budget.clone());
        let body = self.drive(read_body_within(body, limit, reserved)).await;
        let body = body.map_err(|e| match e {
            ExchangeError::Broken => self.failure(),
            other => other,
        })?;
        Ok(Response::from_parts(head, body))
    }

    /// Returns why the connection failed in the middle of a response.
    fn failure(&self) -> ExchangeError {
        match self.inflow.is_exceeded() {
            true => ExchangeError::Malformed,
            false => ExchangeError::Broken,
        }
    }

    async fn drive<F: Future>(&mut self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| {
            if let Poll::Ready(output) = future.as_mut().poll(cx) {
                return Poll::Ready(output);
            }
            self.poll_driver(cx);
            // Polls again because the driver may have read the response or closed the connection.
            future.as_mut().poll(cx)
        })
        .await
    }

    fn poll_driver(&mut self, cx: &mut Context<'_>) {
        self.inflow.start_turn();
        if let Some(driver) = &mut self.driver
            && Pin::new(driver).poll(cx).is_ready()
        {
            self.driver = None;
        }
    }
}

/// Sets `TCP_USER_TIMEOUT` and, if enabled, keep-alive probes, which detect an unreachable peer.
///
/// # Errors
///
/// Fails when the kernel rejects an option.
pub fn set_tcp_timeouts(socket: &Socket, keepalive: Keepalive) -> io::Result<()> {
    let socket = SockRef::from(socket);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    if keepalive == Keepalive::Disabled {
        return Ok(());
    }
    let params = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&params)
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// [`ExchangeError::Broken`] when it ends early, [`ExchangeError::Malformed`] when it is too large.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, ExchangeError> {
    read_body_within(body, limit, Reserved::new(ByteBudget::default())).await
}

/// Distinguishes a body that breaks off from one that is not valid.
fn body_error(e: &hyper::Error) -> ExchangeError {
    let source = std::error::Error::source(e).and_then(|source| source.downcast_ref::<io::Error>());
    match source.map(io::Error::kind) {
        Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput) => ExchangeError::Malformed,
        _ => ExchangeError::Broken,
    }
}

/// Reads a body of at most `limit` bytes, which count towards a budget until it is complete.
async fn read_body_within(
    mut body: Incoming,
    limit: usize,
    mut reserved: Reserved,
) -> Result<Bytes, ExchangeError> {
    if body.size_hint().lower() > limit as u64 {
        return Err(ExchangeError::Malformed);
    }
    let mut first = Bytes::new();
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| body_error(&e))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if first.len() + all.len() + data.len() > limit || !reserved.grow(data.len()) {
            return Err(ExchangeError::Malformed);
        }
        if first.is_empty() && all.is_empty() {
            // A body that arrives in a single frame is not copied.
            first = data;
        } else {
            all.extend_from_slice(&std::mem::take(&mut first));
            all.extend_from_slice(&data);
        }
    }
    Ok(if all.is_empty() { first } else { all.freeze() })
}
