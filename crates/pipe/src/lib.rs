//! HTTP/1.1 over non-blocking sockets: an I/O adapter for hyper, and client connections.

pub mod connection;
pub mod io;

pub use connection::{ClientConnection, ExchangeError, Keepalive};
pub use io::{ByteBudget, Inflow, Io, ReadBuf};
