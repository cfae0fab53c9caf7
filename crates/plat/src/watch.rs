//! Watches: objects newer than a version.

use std::time::Duration;

use ::http::StatusCode;
use base::Version;
use bytes::Bytes;
use node::{Kind, Object};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{
    body::read_bounded,
    client::{Client, unexpected},
    error::Error,
    url,
};

/// Largest reply to a watch, in bytes.
const MAX_WATCH_REPLY_BYTES: usize = 64 << 20;

/// What a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// Version up to which the watcher is complete.
    pub seen: Version,
    /// Objects with a greater version than was asked for.
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
    /// Kept as it was written, because documents are named by the digest of their bytes.
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
    /// Waits for objects of `kinds` with a greater version than `after`, `wait` at the longest.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] without a reply in time, [`Error::Malformed`] for a reply that is not
    /// valid.
    pub async fn watch(
        &self,
        after: Version,
        kinds: &[Kind],
        wait: Duration,
    ) -> Result<Changes, Error> {
        let url = url::watch(self.settings.address, after, kinds, wait);
        self.within(wait, self.watch_url(&url)).await
    }

    async fn watch_url(&self, url: &str) -> Result<Changes, Error> {
        let mut reply = self.get(url).await?;
        if reply.status() != StatusCode::OK {
            return Err(unexpected(reply.status()));
        }
        let body = read_bounded(&mut reply, MAX_WATCH_REPLY_BYTES).await?;
        let parsed: WatchReply<'_> = serde_json::from_slice(&body).map_err(Error::malformed)?;
        Ok(Changes {
            seen: parsed.seen,
            objects: parsed.objects.into_iter().map(Object::from).collect(),
        })
    }
}
