//! A connection that carries one request at a time.

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

use crate::io::{Drained, Io, ReadBuf};

/// Time after which a silent connection is probed, and between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without a reply after which a connection is broken.
const KEEPALIVE_PROBES: u32 = 2;

/// Time for which sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Why an exchange has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// No byte of the request was handed to the socket.
    Unsent,
    /// The connection broke.
    Broken,
    /// The response was not valid HTTP, or larger than allowed.
    Malformed,
}

/// How the silence of the other side is noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Keepalive {
    /// By a bound on each exchange.
    Disabled,
    /// By probes of the kernel, for exchanges that wait for long.
    Enabled,
}

/// An open connection; dropping it closes it.
pub struct ClientConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: Option<Connection<Io<Socket>, Full<Bytes>>>,
    drained: Drained,
}

impl ClientConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when the other side refuses, or is silent for longer than `wait`.
    pub async fn open(
        address: SocketAddr,
        wait: Duration,
        keepalive: Keepalive,
        buf: ReadBuf,
    ) -> io::Result<Self> {
        let stream = timeout(wait, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let socket: PollFd<Socket> = stream.into_poll_fd()?;
        set_tcp_timeouts(&socket, keepalive)?;
        let drained = Drained::default();
        let stream = Io::new(socket, buf, drained.clone());
        let (sender, driver) = http1::handshake(stream).await.map_err(io::Error::other)?;
        Ok(Self {
            sender,
            driver: Some(driver),
            drained,
        })
    }

    /// Returns whether a kept connection still takes a request.
    ///
    /// Looks at the socket, so that a close or stray bytes that came meanwhile are seen.
    pub async fn is_usable(&mut self) -> bool {
        self.drained.clear();
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
    /// After any problem the connection must not be used again.
    pub async fn exchange(
        &mut self,
        req: Request<Full<Bytes>>,
        limit: usize,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let reply = self.sender.try_send_request(req);
        let reply = match self.drive(reply).await {
            Ok(reply) => reply,
            Err(mut error) => {
                return Err(match error.take_message() {
                    Some(_) => ExchangeError::Unsent,
                    None if error.error().is_parse() => ExchangeError::Malformed,
                    None => ExchangeError::Broken,
                });
            }
        };
        let (head, body) = reply.into_parts();
        let body = self.drive(read_body(body, limit)).await?;
        Ok(Response::from_parts(head, body))
    }

    async fn drive<F: Future>(&mut self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| {
            if let Poll::Ready(output) = future.as_mut().poll(cx) {
                return Poll::Ready(output);
            }
            self.poll_driver(cx);
            // What the connection read, or its end, is seen at once.
            future.as_mut().poll(cx)
        })
        .await
    }

    fn poll_driver(&mut self, cx: &mut Context<'_>) {
        if let Some(driver) = &mut self.driver
            && Pin::new(driver).poll(cx).is_ready()
        {
            self.driver = None;
        }
    }
}

/// Has the kernel notice a connection that has fallen silent for good.
///
/// # Errors
///
/// Fails when the socket does not take the options.
pub fn set_tcp_timeouts(socket: &Socket, keepalive: Keepalive) -> io::Result<()> {
    let socket = SockRef::from(socket);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    if keepalive == Keepalive::Disabled {
        return Ok(());
    }
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// [`ExchangeError::Broken`] when it ends early, [`ExchangeError::Malformed`] when it is too large.
pub async fn read_body(mut body: Incoming, limit: usize) -> Result<Bytes, ExchangeError> {
    if body.size_hint().lower() > limit as u64 {
        return Err(ExchangeError::Malformed);
    }
    let mut first = Bytes::new();
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ExchangeError::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if first.len() + all.len() + data.len() > limit {
            return Err(ExchangeError::Malformed);
        }
        if first.is_empty() && all.is_empty() {
            // A body in one piece is not copied.
            first = data;
        } else {
            all.extend_from_slice(&std::mem::take(&mut first));
            all.extend_from_slice(&data);
        }
    }
    Ok(if all.is_empty() { first } else { all.freeze() })
}
