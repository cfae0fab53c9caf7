//! Invalid requests.

use base::id::IdError;
use http::{Method, StatusCode};
use snafu::Snafu;

/// Why a request was rejected before it reached the reducer; it did not run.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum BadRequest {
    /// No endpoint has this path.
    #[snafu(display("no endpoint has this path"))]
    UnknownPath,
    /// The endpoint requires another method.
    #[snafu(display("use {allowed}"))]
    Method {
        /// The required method.
        allowed: Method,
    },
    /// The path does not contain a valid entry name.
    #[snafu(display("{source}"))]
    Entry {
        /// What is wrong with the name.
        source: IdError,
    },
    /// A header is invalid.
    #[snafu(display("{name}: {problem}"))]
    Header {
        /// Name of the header.
        name: &'static str,
        /// What is wrong with it.
        problem: Box<str>,
    },
    /// A run has no idempotency key.
    #[snafu(display("the header idempotency-key is required"))]
    KeyMissing,
    /// The body is too large.
    #[snafu(display("the body may have {limit} bytes"))]
    BodySize {
        /// Limit on the body, in bytes.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[snafu(display("the body did not arrive in time"))]
    BodyTimeout,
    /// The body was cut off.
    #[snafu(display("the body is not complete"))]
    BodyBroken,
    /// The limit on open connections was reached.
    #[snafu(display("the instance has too many connections"))]
    Connections,
}

impl BadRequest {
    /// All reasons, as reported to callers.
    pub(crate) const REASONS: [&str; 9] = [
        "unknown_path",
        "wrong_method",
        "bad_entry",
        "bad_header",
        "key_missing",
        "body_too_large",
        "body_timeout",
        "body_broken",
        "connection_limit",
    ];

    /// Returns the reason as reported to callers and in metrics.
    pub(crate) fn reason(&self) -> &'static str {
        Self::REASONS[match self {
            Self::UnknownPath => 0,
            Self::Method { .. } => 1,
            Self::Entry { .. } => 2,
            Self::Header { .. } => 3,
            Self::KeyMissing => 4,
            Self::BodySize { .. } => 5,
            Self::BodyTimeout => 6,
            Self::BodyBroken => 7,
            Self::Connections => 8,
        }]
    }

    /// Returns the HTTP status of the response.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::UnknownPath => StatusCode::NOT_FOUND,
            Self::Method { .. } => StatusCode::METHOD_NOT_ALLOWED,
            Self::BodySize { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Connections => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// Returns whether the connection must close, because the rest of the body cannot be skipped or
    /// the connection is above the limit.
    pub(crate) fn ends_connection(&self) -> bool {
        matches!(
            self,
            Self::BodySize { .. } | Self::BodyTimeout | Self::BodyBroken | Self::Connections
        )
    }
}
