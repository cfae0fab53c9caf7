//! HTTP/1.1 requests to one address, for the platform and the operators' endpoints.

use std::{net::SocketAddr, time::Duration};

use ::http::StatusCode;
use bytes::Bytes;
use compio::time::timeout;
use cyper::redirect::Policy;

use crate::{body::read_bounded, client::unexpected_status, error::Error};

/// Creates an HTTP client without TLS, proxies and redirects.
///
/// # Errors
///
/// Returns an error if the HTTP library cannot be set up.
pub(crate) fn client() -> Result<cyper::Client, Error> {
    cyper::Client::builder()
        .no_proxy()
        .redirect(Policy::none())
        .referer(false)
        .build()
        .map_err(Error::unavailable)
}

/// Requests `path` from the server at `address` and returns a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns [`Error::Unavailable`] if there is no reply within `wait` or its status is 500 to 599,
/// [`Error::Malformed`] if the reply is too large or has any other status than 200.
pub async fn get(
    address: SocketAddr,
    path: &str,
    limit: usize,
    wait: Duration,
) -> Result<Bytes, Error> {
    let url = format!("http://{address}{path}");
    let call = async {
        let req = client()?.get(url).map_err(Error::malformed)?;
        let mut reply = req.send().await.map_err(Error::unavailable)?;
        if reply.status() != StatusCode::OK {
            return Err(unexpected_status(reply.status()));
        }
        read_bounded(&mut reply, limit).await
    };
    match timeout(wait, call).await {
        Ok(result) => result,
        Err(_) => Err(Error::unavailable("no reply in time")),
    }
}
