//! Requests that are wrong in form.

use base::id::IdError;
use http::{Method, StatusCode};
use snafu::Snafu;

/// Why a request is answered without reaching the reducer; it did not run.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum BadRequest {
    /// No endpoint has this path.
    #[snafu(display("no endpoint has this path"))]
    UnknownPath,
    /// The endpoint takes another method.
    #[snafu(display("use {allowed}"))]
    Method {
        /// The method that the endpoint takes.
        allowed: Method,
    },
    /// The path names no valid entry.
    #[snafu(display("{source}"))]
    Entry {
        /// What is wrong with the name.
        source: IdError,
    },
    /// A header is not valid.
    #[snafu(display("{name}: {problem}"))]
    Header {
        /// Name of the header.
        name: &'static str,
        /// What is wrong with it.
        problem: Box<str>,
    },
    /// A request that runs at most once has no key.
    #[snafu(display("the header idempotency-key is required"))]
    KeyMissing,
    /// The body is too large.
    #[snafu(display("the body may have {limit} bytes"))]
    BodySize {
        /// Largest size, in bytes.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[snafu(display("the body did not arrive in time"))]
    BodyTimeout,
    /// The body broke off.
    #[snafu(display("the body is not complete"))]
    BodyBroken,
    /// More connections are open than the instance serves.
    #[snafu(display("the instance has too many connections"))]
    Connections,
}

impl BadRequest {
    /// All reasons that callers are told.
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

    /// Returns the reason as callers and metrics name it.
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

    /// Returns the status that callers get.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::UnknownPath => StatusCode::NOT_FOUND,
            Self::Method { .. } => StatusCode::METHOD_NOT_ALLOWED,
            Self::BodySize { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Connections => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// Returns whether the rest of the connection's input can't be told from the request's body.
    pub(crate) fn ends_connection(&self) -> bool {
        matches!(
            self,
            Self::BodySize { .. } | Self::BodyTimeout | Self::BodyBroken | Self::Connections
        )
    }
}
