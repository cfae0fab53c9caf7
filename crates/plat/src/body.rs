//! Bodies of requests and replies.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use bytes::{Bytes, BytesMut};
use cyper::{Body, Response};
use futures_util::{StreamExt, stream};

use crate::error::Error;

/// Tells whether the body of a request was handed to a connection.
///
/// hyper takes the body in the same step in which it encodes the head and before it flushes either,
/// so no byte of the request was sent as long as this is unset.
#[derive(Clone, Debug, Default)]
pub(crate) struct Started(Arc<AtomicBool>);

impl Started {
    /// Returns whether bytes of the request may have been sent.
    pub(crate) fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Makes a body that sets this when a connection takes it.
    ///
    /// A streamed body can't be cloned, so the library has nothing to send a second time.
    pub(crate) fn body(&self, value: Bytes) -> Body {
        let started = Arc::clone(&self.0);
        Body::stream(stream::once(async move {
            started.store(true, Ordering::Relaxed);
            Ok(value)
        }))
    }
}

/// Reads the body of a reply up to `limit` bytes.
pub(crate) async fn read_bounded(reply: &mut Response, limit: usize) -> Result<Bytes, Error> {
    let mut buf = BytesMut::new();
    while let Some(chunk) = reply.next().await {
        let chunk = chunk.map_err(Error::unavailable)?;
        if buf.len() + chunk.len() > limit {
            return Err(Error::malformed(format!(
                "the reply is larger than {limit} bytes"
            )));
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}
