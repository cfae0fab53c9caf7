//! Addresses of objects and watches.

use std::{net::SocketAddr, time::Duration};

use base::Version;
use node::Kind;

use crate::error::Error;

/// Returns the address of one object.
///
/// # Errors
///
/// A name with characters that a URL would rewrite is refused, so that no other object is reached.
pub(crate) fn object(platform: SocketAddr, kind: Kind, name: &str) -> Result<String, Error> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-');
    let rewritten = name.is_empty() || name == "." || name == "..";
    if rewritten || !name.chars().all(allowed) {
        return Err(Error::malformed(format!(
            "{name:?} is not the name of an object"
        )));
    }
    Ok(format!("http://{platform}/v1/objects/{kind}/{name}"))
}

/// Returns the address of a watch.
pub(crate) fn watch(
    platform: SocketAddr,
    after: Version,
    kinds: &[Kind],
    wait: Duration,
) -> String {
    let kinds: Vec<&str> = kinds.iter().map(|k| k.as_str()).collect();
    let kinds = kinds.join(",");
    let wait_ms = wait.as_millis();
    format!("http://{platform}/v1/watch?after={after}&kinds={kinds}&wait_ms={wait_ms}")
}
