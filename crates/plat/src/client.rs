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
    body::{Started, read_bounded},
    error::Error,
    http, url,
};

/// Largest object that the platform takes, in bytes.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;

/// Largest reply to a write that is read, in bytes; its content is not used.
const MAX_WRITE_REPLY_BYTES: usize = 4 << 10;

/// How a [`Client`] reaches the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Address of the object API.
    pub address: SocketAddr,
    /// Longest wait for the reply to a read or write; a watch may take its own wait more.
    pub timeout: Duration,
}

impl Settings {
    /// Longest wait for a reply unless the settings say otherwise.
    pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

    /// Makes settings with the default timeout.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            timeout: Self::DEFAULT_TIMEOUT,
        }
    }
}

/// A client of the object API; clones share its connections.
///
/// It belongs to the thread that made it and needs a compio runtime there.
///
/// # Resending
///
/// A write leaves this client at most once. The library's pool sends a request on another
/// connection only if the first one closed before the request was taken from its queue, when no byte
/// was sent; once a connection has taken the body, the body is gone and nothing can be resent.
/// Redirects are not followed.
#[derive(Clone, Debug)]
pub struct Client {
    pub(crate) http: cyper::Client,
    pub(crate) settings: Settings,
}

impl Client {
    /// Makes a client without TLS, proxies and redirects.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP library can't be set up.
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
    /// [`Error::Unavailable`] without a reply in time, [`Error::Malformed`] for a reply that is not
    /// valid.
    pub async fn read(&self, kind: Kind, name: &str) -> Result<Option<Object>, Error> {
        let url = url::object(self.settings.address, kind, name)?;
        self.within(Duration::ZERO, self.read_url(&url, kind, name))
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
            status => return Err(unexpected(status)),
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

    /// Writes one object if it still has the version `expect`; `None` creates it.
    ///
    /// # Errors
    ///
    /// After [`Error::Unknown`] the write may have taken effect or may yet; after every other error
    /// nothing was written.
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
        let started = Started::default();
        let put = self.put(&url, expect, value, &started);
        let reply = match timeout(self.settings.timeout, put).await {
            Ok(reply) => reply.map_err(|e| e.to_string()),
            Err(_) => Err("no reply in time".to_owned()),
        };
        match reply {
            Ok(reply) => self.written(reply).await,
            Err(problem) if started.get() => Err(Error::unknown(problem)),
            Err(problem) => Err(Error::unavailable(problem)),
        }
    }

    async fn put(
        &self,
        url: &str,
        expect: Option<Version>,
        value: Bytes,
        started: &Started,
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

    /// Judges the reply to a write by its head; the body is read so that the connection stays usable.
    async fn written(&self, mut reply: Response) -> Result<Version, Error> {
        let outcome = match reply.status() {
            StatusCode::OK => etag(&reply).map_err(Error::unknown),
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict),
            StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge),
            StatusCode::SERVICE_UNAVAILABLE => Err(Error::unavailable("status 503")),
            status => Err(Error::unknown(format!("status {status}"))),
        };
        let rest = read_bounded(&mut reply, MAX_WRITE_REPLY_BYTES);
        // The head has decided the outcome; a body that breaks off changes nothing.
        let _ = timeout(self.settings.timeout, rest).await;
        outcome
    }

    pub(crate) async fn get(&self, url: &str) -> Result<Response, Error> {
        let req = self.http.get(url).map_err(Error::malformed)?;
        req.send().await.map_err(Error::unavailable)
    }

    /// Bounds a call that changes nothing.
    pub(crate) async fn within<T>(
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

/// Names a status that the call has no other use for.
pub(crate) fn unexpected(status: StatusCode) -> Error {
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
