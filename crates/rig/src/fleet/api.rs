//! Requests to the processes of a fleet.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::Value;
use snafu::ResultExt;

use super::{Error, RequestSnafu, UnexpectedSnafu};
use crate::client::Client;

/// An HTTP response read whole.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Value of the header `retry-after`, in seconds.
    pub retry_after: Option<u64>,
    /// Value of the header `etag`.
    pub etag: Option<Box<str>>,
    /// Body.
    pub body: Bytes,
}

impl Response {
    /// Parses the body as JSON; returns `null` when it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Sends one request on a new connection.
///
/// # Errors
///
/// Fails when the request is not valid, the connection fails or the response is incomplete.
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

/// Reads a JSON document with `GET`.
///
/// # Errors
///
/// Fails when the request fails or the status is not 200.
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

/// Changes the behaviour of a stand-in with `POST /control`.
///
/// # Errors
///
/// Fails when the request fails or the stand-in rejects the change.
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

/// Creates or replaces an object of the platform, whatever its current version is.
///
/// # Errors
///
/// Fails when a request fails or the platform rejects the write.
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
        details: format!("PUT {platform}{path}: status {}: {text}", response.status),
    }
    .fail()
}
