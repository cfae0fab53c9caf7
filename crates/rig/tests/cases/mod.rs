//! Test cases and shared helpers.

mod history;
mod load;
mod platform;
mod upstream;

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use rig::client::{Client, Error};

/// Runs a test on a new runtime.
fn block_on<T>(test: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().unwrap().block_on(test)
}

/// Sends one request on a new connection.
async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Response<Bytes>, Error> {
    let mut req = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    let mut client = Client::connect(address).await?;
    client.send(req.body(body).unwrap()).await
}

/// Changes the behaviour of a stand-in.
async fn control(address: SocketAddr, change: &str) {
    let reply = call(address, "POST", "/control", &[], change)
        .await
        .unwrap();
    assert!(
        reply.status().is_success(),
        "control refused: {}",
        reply.status()
    );
}

/// Reads the counters of a stand-in.
async fn report<T: serde::de::DeserializeOwned>(address: SocketAddr) -> T {
    let reply = call(address, "GET", "/control", &[], "").await.unwrap();
    serde_json::from_slice(reply.body()).unwrap()
}
