//! Bodies of requests and replies.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use bytes::{Bytes, BytesMut};
use cyper::{Body, Response};
use futures_util::{StreamExt, stream};

use crate::error::Error;

/// A flag that is set once a connection has taken the body of a request.
///
/// hyper takes the body in the same step in which it encodes the head, and before it flushes either
/// of them. No byte of the request has been sent as long as the flag is not set.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendStarted(Arc<AtomicBool>);

impl SendStarted {
    /// Returns whether bytes of the request may have been sent.
    pub(crate) fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Creates a body that sets the flag when a connection takes it.
    ///
    /// A streamed body cannot be cloned, so the HTTP library cannot send it a second time.
    pub(crate) fn body(&self, value: Bytes) -> Body {
        let started = Arc::clone(&self.0);
        Body::stream(stream::once(async move {
            started.store(true, Ordering::Relaxed);
            Ok(value)
        }))
    }
}

/// Reads the body of a reply; a body of more than `limit` bytes is an error.
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
