//! Plain HTTP/1.1 towards one address, as the platform and the operators' endpoints are reached.

use std::{net::SocketAddr, time::Duration};

use ::http::StatusCode;
use bytes::Bytes;
use compio::time::timeout;
use cyper::redirect::Policy;

use crate::{body::read_bounded, client::unexpected, error::Error};

/// Makes an HTTP client without TLS, proxies and redirects.
///
/// # Errors
///
/// Fails when the HTTP library can't be set up.
pub(crate) fn client() -> Result<cyper::Client, Error> {
    cyper::Client::builder()
        .no_proxy()
        .redirect(Policy::none())
        .referer(false)
        .build()
        .map_err(Error::unavailable)
}

/// Reads `path` of the server at `address`, up to `limit` bytes.
///
/// # Errors
///
/// [`Error::Unavailable`] without a reply within `wait` or for a status of the 500s,
/// [`Error::Malformed`] for a reply that is too large or has another status than 200.
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
            return Err(unexpected(reply.status()));
        }
        read_bounded(&mut reply, limit).await
    };
    match timeout(wait, call).await {
        Ok(result) => result,
        Err(_) => Err(Error::unavailable("no reply in time")),
    }
}
