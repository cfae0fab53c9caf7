//! Single requests to the processes of a set-up.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::Value;
use snafu::ResultExt;

use super::{Error, RequestSnafu, UnexpectedSnafu};
use crate::client::Client;

/// A reply to one request.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status of the reply.
    pub status: u16,
    /// Value of `retry-after`, in seconds.
    pub retry_after: Option<u64>,
    /// Value of `etag`.
    pub etag: Option<Box<str>>,
    /// Body of the reply.
    pub body: Bytes,
}

impl Response {
    /// Returns the body as JSON; `null` when it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Sends one request on a new connection.
///
/// # Errors
///
/// Fails when there is no whole reply.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Response, Error> {
    let operation = || Box::<str>::from(format!("{method} {address}{path}"));
    let mut client = Client::connect(address)
        .await
        .with_context(|_| RequestSnafu {
            operation: operation(),
        })?;
    let mut req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "loopback");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(Full::new(Bytes::copy_from_slice(body.as_bytes())));
    let Ok(req) = req else {
        return UnexpectedSnafu {
            details: format!("{} is not a valid request", operation()),
        }
        .fail();
    };
    let reply = client.send(req).await.with_context(|_| RequestSnafu {
        operation: operation(),
    })?;
    let header = |name| reply.headers().get(name).and_then(|v| v.to_str().ok());
    Ok(Response {
        status: reply.status().as_u16(),
        retry_after: header("retry-after").and_then(|text| text.parse().ok()),
        etag: header("etag").map(Into::into),
        body: reply.body().clone(),
    })
}

/// Reads a JSON document.
///
/// # Errors
///
/// Fails when there is no reply with status 200.
pub async fn get_json(address: SocketAddr, path: &str) -> Result<Value, Error> {
    let response = call(address, "GET", path, &[], "").await?;
    match response.status {
        200 => Ok(response.json()),
        status => UnexpectedSnafu {
            details: format!("GET {address}{path}: status {status}"),
        }
        .fail(),
    }
}

/// Changes how a stand-in behaves.
///
/// # Errors
///
/// Fails when the stand-in does not take the change.
pub async fn control(address: SocketAddr, change: &Value) -> Result<(), Error> {
    let response = call(address, "POST", "/control", &[], &change.to_string()).await?;
    if response.status < 300 {
        return Ok(());
    }
    let text = String::from_utf8_lossy(&response.body);
    UnexpectedSnafu {
        details: format!("POST {address}/control {change}: {text}"),
    }
    .fail()
}

/// Writes an object of the platform whatever its version is, as its owner does.
///
/// # Errors
///
/// Fails when the platform does not take the write.
pub async fn put_object(platform: SocketAddr, path: &str, value: String) -> Result<(), Error> {
    let current = call(platform, "GET", path, &[], "").await?;
    let headers = match &current.etag {
        Some(version) => [("if-match", &**version)],
        None => [("if-none-match", "*")],
    };
    let response = call(platform, "PUT", path, &headers, &value).await?;
    if response.status == 200 {
        return Ok(());
    }
    let text = String::from_utf8_lossy(&response.body);
    UnexpectedSnafu {
        details: format!("PUT {path}: status {} {text}", response.status),
    }
    .fail()
}
