//! Watches, which return the objects newer than a version.

use std::time::Duration;

use ::http::StatusCode;
use base::Version;
use bytes::Bytes;
use node::{Kind, Object};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{
    body::read_bounded,
    client::{Client, unexpected_status},
    error::Error,
    url,
};

/// Maximum size of the reply to a watch, in bytes.
const MAX_WATCH_REPLY_BYTES: usize = 64 << 20;

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// Version up to which the result contains every change of the watched kinds.
    pub seen: Version,
    /// Objects with a greater version than the watch started after.
    pub objects: Vec<Object>,
}

#[derive(Deserialize)]
struct WatchReply<'a> {
    seen: Version,
    #[serde(borrow)]
    objects: Vec<Watched<'a>>,
}

#[derive(Deserialize)]
struct Watched<'a> {
    kind: Kind,
    name: Box<str>,
    version: Version,
    /// Not parsed, because documents are named by the digest of their bytes.
    #[serde(borrow)]
    value: &'a RawValue,
}

impl From<Watched<'_>> for Object {
    fn from(watched: Watched<'_>) -> Self {
        Self {
            kind: watched.kind,
            name: watched.name,
            version: watched.version,
            value: Bytes::copy_from_slice(watched.value.get().as_bytes()),
        }
    }
}

impl Client {
    /// Waits up to `wait` for objects of `kinds` with a greater version than `after`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if there is no reply in time, [`Error::Malformed`] if the reply
    /// is not valid.
    pub async fn watch(
        &self,
        after: Version,
        kinds: &[Kind],
        wait: Duration,
    ) -> Result<Changes, Error> {
        let url = url::watch(self.settings.address, after, kinds, wait);
        self.with_timeout(wait, self.watch_url(&url)).await
    }

    async fn watch_url(&self, url: &str) -> Result<Changes, Error> {
        let mut reply = self.get(url).await?;
        if reply.status() != StatusCode::OK {
            return Err(unexpected_status(reply.status()));
        }
        let body = read_bounded(&mut reply, MAX_WATCH_REPLY_BYTES).await?;
        let parsed: WatchReply<'_> = serde_json::from_slice(&body).map_err(Error::malformed)?;
        Ok(Changes {
            seen: parsed.seen,
            objects: parsed.objects.into_iter().map(Object::from).collect(),
        })
    }
}
