//! Reads and conditional writes of objects.

use std::{future::Future, net::SocketAddr, time::Duration};

use ::http::{
    StatusCode,
    header::{CONTENT_LENGTH, CONTENT_TYPE, ETAG, IF_MATCH, IF_NONE_MATCH},
};
use base::Version;
use bytes::Bytes;
use compio::time::timeout;
use cyper::Response;
use node::{Kind, Object};

use crate::{
    body::{SendStarted, read_bounded},
    error::Error,
    http, url,
};

/// Maximum size of a platform object, in bytes.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;

/// Maximum size of the reply to a write, whose content is not used, in bytes.
const MAX_WRITE_REPLY_BYTES: usize = 4 << 10;

/// Settings of a [`Client`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Address of the object API.
    pub address: SocketAddr,
    /// Timeout of a read or write; the timeout of a watch is longer by the time that it waits for
    /// a change.
    pub timeout: Duration,
}

impl Settings {
    /// Default of [`Settings::timeout`].
    pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

    /// Creates settings with the default timeout.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            timeout: Self::DEFAULT_TIMEOUT,
        }
    }
}

/// A client of the object API; clones share its connections.
///
/// It must be used on the thread that created it, which needs a compio runtime.
///
/// # Resending
///
/// A write is sent at most once. The connection pool of the HTTP library sends a request on another
/// connection only if the first one closed before it took the request from its queue, that is,
/// before any byte was sent. Once a connection has taken the body, it cannot be sent again.
/// Redirects are not followed.
#[derive(Clone, Debug)]
pub struct Client {
    pub(crate) http: cyper::Client,
    pub(crate) settings: Settings,
}

impl Client {
    /// Creates a client without TLS, proxies and redirects.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP library cannot be set up.
    pub fn new(settings: Settings) -> Result<Self, Error> {
        let http = http::client()?;
        Ok(Self { http, settings })
    }

    /// Returns the address of the platform.
    pub fn address(&self) -> SocketAddr {
        self.settings.address
    }

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if there is no reply in time, [`Error::Malformed`] if the name
    /// or the reply is not valid.
    pub async fn read(&self, kind: Kind, name: &str) -> Result<Option<Object>, Error> {
        let url = url::object(self.settings.address, kind, name)?;
        self.with_timeout(Duration::ZERO, self.read_url(&url, kind, name))
            .await
    }

    async fn read_url(&self, url: &str, kind: Kind, name: &str) -> Result<Option<Object>, Error> {
        let mut reply = self.get(url).await?;
        match reply.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => {
                read_bounded(&mut reply, MAX_OBJECT_BYTES).await?;
                return Ok(None);
            }
            status => return Err(unexpected_status(status)),
        }
        let version = etag(&reply)?;
        let value = read_bounded(&mut reply, MAX_OBJECT_BYTES).await?;
        Ok(Some(Object {
            kind,
            name: name.into(),
            version,
            value,
        }))
    }

    /// Writes one object if it still has the version `expect`; `None` creates the object.
    ///
    /// # Errors
    ///
    /// After [`Error::Unknown`] the write may have taken effect or may still take effect; after any
    /// other error nothing was written.
    pub async fn write(
        &self,
        kind: Kind,
        name: &str,
        expect: Option<Version>,
        value: Bytes,
    ) -> Result<Version, Error> {
        let url = url::object(self.settings.address, kind, name)?;
        if value.len() > MAX_OBJECT_BYTES {
            return Err(Error::TooLarge);
        }
        let started = SendStarted::default();
        let put = self.put(&url, expect, value, &started);
        let reply = match timeout(self.settings.timeout, put).await {
            Ok(reply) => reply.map_err(|e| e.to_string()),
            Err(_) => Err("no reply in time".to_owned()),
        };
        match reply {
            Ok(reply) => self.write_outcome(reply).await,
            Err(problem) if started.is_set() => Err(Error::unknown(problem)),
            Err(problem) => Err(Error::unavailable(problem)),
        }
    }

    async fn put(
        &self,
        url: &str,
        expect: Option<Version>,
        value: Bytes,
        started: &SendStarted,
    ) -> cyper::Result<Response> {
        let req = self
            .http
            .put(url)?
            .header(CONTENT_TYPE, "application/json")?
            .header(CONTENT_LENGTH, value.len().to_string())?;
        let req = match expect {
            Some(version) => req.header(IF_MATCH, format!("\"{version}\""))?,
            None => req.header(IF_NONE_MATCH, "*")?,
        };
        req.body(started.body(value)).send().await
    }

    /// Returns the outcome of a write according to the head of the reply.
    ///
    /// The body is read so that the connection can be reused.
    async fn write_outcome(&self, mut reply: Response) -> Result<Version, Error> {
        let outcome = match reply.status() {
            StatusCode::OK => etag(&reply).map_err(Error::unknown),
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict),
            StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge),
            StatusCode::SERVICE_UNAVAILABLE => Err(Error::unavailable("status 503")),
            status => Err(Error::unknown(format!("status {status}"))),
        };
        let body = read_bounded(&mut reply, MAX_WRITE_REPLY_BYTES);
        // A body that cannot be read does not change the outcome.
        let _ = timeout(self.settings.timeout, body).await;
        outcome
    }

    pub(crate) async fn get(&self, url: &str) -> Result<Response, Error> {
        let req = self.http.get(url).map_err(Error::malformed)?;
        req.send().await.map_err(Error::unavailable)
    }

    /// Ends a call that only reads with [`Error::Unavailable`] after the timeout and `extra`.
    pub(crate) async fn with_timeout<T>(
        &self,
        extra: Duration,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        match timeout(self.settings.timeout + extra, call).await {
            Ok(result) => result,
            Err(_) => Err(Error::unavailable("no reply in time")),
        }
    }
}

/// Returns the error of a reply to a read with an unexpected status.
pub(crate) fn unexpected_status(status: StatusCode) -> Error {
    match status.is_server_error() {
        true => Error::unavailable(format!("status {status}")),
        false => Error::malformed(format!("status {status}")),
    }
}

fn etag(reply: &Response) -> Result<Version, Error> {
    let text = reply
        .headers()
        .get(ETAG)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.strip_prefix('"')?.strip_suffix('"'))
        .ok_or_else(|| Error::malformed("the reply has no valid etag"))?;
    text.parse().map_err(Error::malformed)
}
