//! HTTP/1.1 client connection.

use std::{io, net::SocketAddr};

use bytes::Bytes;
use compio::net::TcpStream;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use snafu::{ResultExt, Snafu};

use crate::stream::Stream;

/// Why there is no complete reply to a request.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Connecting to the server failed.
    #[snafu(display("failed to connect to {address}: {source}"))]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Sending the request or reading the reply failed.
    #[snafu(display("the HTTP exchange failed: {source}"))]
    Exchange {
        /// Error of the HTTP library.
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
    /// Fails when the server cannot be reached or the connection cannot be set up.
    pub async fn connect(address: SocketAddr) -> Result<Self, Error> {
        let stream = TcpStream::connect(address)
            .await
            .context(ConnectSnafu { address })?;
        // Without TCP_NODELAY requests are only slower.
        let _ = stream.set_nodelay(true);
        let stream = stream.into_poll_fd().context(ConnectSnafu { address })?;
        let (sender, connection) = http1::handshake(Stream::new(stream))
            .await
            .context(ExchangeSnafu)?;
        compio::runtime::spawn(async move {
            // The sender reports the same error to the request that waits for a reply.
            let _ = connection.await;
        })
        .detach();
        Ok(Self { sender })
    }

    /// Sends a request and reads the whole reply.
    ///
    /// # Errors
    ///
    /// Fails when the connection closes before the end of the reply or the reply is not valid HTTP.
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
