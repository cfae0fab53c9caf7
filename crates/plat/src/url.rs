//! URLs of objects and watches.

use std::{net::SocketAddr, time::Duration};

use base::Version;
use node::Kind;

use crate::error::Error;

/// Returns the URL of an object.
///
/// # Errors
///
/// Returns an error for a name that cannot be used in a URL as it is, because the URL could refer
/// to another object.
pub(crate) fn object(platform: SocketAddr, kind: Kind, name: &str) -> Result<String, Error> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-');
    let rewritten = name.is_empty() || name == "." || name == "..";
    if rewritten || !name.chars().all(allowed) {
        return Err(Error::malformed(format!(
            "{name:?} is not a valid object name"
        )));
    }
    Ok(format!("http://{platform}/v1/objects/{kind}/{name}"))
}

/// Returns the URL of a watch.
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
