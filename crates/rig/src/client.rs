//! One HTTP/1.1 client connection.

use std::{io, net::SocketAddr};

use bytes::Bytes;
use compio::net::TcpStream;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use snafu::{ResultExt, Snafu};

use crate::stream::Stream;

/// Why a request got no reply.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection could not be made.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Cause given by the system.
        source: io::Error,
    },
    /// The exchange failed.
    #[snafu(display("the exchange failed: {source}"))]
    Exchange {
        /// Cause given by the HTTP library.
        source: hyper::Error,
    },
}

/// A keep-alive connection that carries one request at a time.
pub struct Client {
    sender: http1::SendRequest<Full<Bytes>>,
}

impl Client {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Fails when the connection is refused.
    pub async fn connect(address: SocketAddr) -> Result<Self, Error> {
        let stream = TcpStream::connect(address)
            .await
            .context(ConnectSnafu { address })?;
        // Without the option requests are only slower.
        let _ = stream.set_nodelay(true);
        let stream = stream.into_poll_fd().context(ConnectSnafu { address })?;
        let (sender, connection) = http1::handshake(Stream::new(stream))
            .await
            .context(ExchangeSnafu)?;
        compio::runtime::spawn(async move {
            // The sender reports the same failure to whoever waits for a reply.
            let _ = connection.await;
        })
        .detach();
        Ok(Self { sender })
    }

    /// Sends a request and reads the whole reply.
    ///
    /// # Errors
    ///
    /// Fails when the connection closes before the end of the reply.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Bytes>, Error> {
        self.sender.ready().await.context(ExchangeSnafu)?;
        let reply = self.sender.send_request(req).await.context(ExchangeSnafu)?;
        let (parts, body) = reply.into_parts();
        let body = body.collect().await.context(ExchangeSnafu)?.to_bytes();
        Ok(Response::from_parts(parts, body))
    }

    /// Returns whether the server has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}
