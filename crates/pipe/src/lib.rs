//! HTTP/1.1 connections over sockets that are polled: the plumbing below pools and clients.

pub mod connection;
pub mod io;

pub use connection::{ClientConnection, ExchangeError, Keepalive};
pub use io::{Drained, Io, ReadBuf};
