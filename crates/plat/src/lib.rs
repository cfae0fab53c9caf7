//! Client of the platform's object API.
//!
//! [`Client`] reads, conditionally writes and watches objects over HTTP/1.1. Its errors distinguish
//! a write that was not accepted ([`Error::Unavailable`]) from a write whose reply was lost
//! ([`Error::Unknown`]), which may have taken effect.

mod body;
pub mod client;
pub mod error;
mod execute;
pub mod http;
mod url;
mod watch;

pub use client::{Client, Settings};
pub use error::Error;
pub use watch::Changes;
