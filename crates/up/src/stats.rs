//! Counts of the pools.

/// Counts since the pools were made, and gauges of their present state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Connections opened.
    pub opened: u64,
    /// Connections that could not be opened.
    pub connect_failures: u64,
    /// Attempts handed to a connection.
    pub sent: u64,
    /// Searches sent on another connection because the first had taken no byte.
    pub resent: u64,
    /// Attempts that timed out, while waiting for a connection or for the reply.
    pub timeouts: u64,
    /// Attempts whose connection broke.
    pub broken: u64,
    /// Replies that were not valid or carried another request's identity.
    pub malformed: u64,
    /// Cancellation messages handed to a connection.
    pub cancels_sent: u64,
    /// Cancellations of which the upstream was not told, as no connection was free.
    pub cancels_skipped: u64,
    /// Connections open or being opened.
    pub connections: u64,
    /// Attempts that wait for a connection, or whose reply is awaited.
    pub attempts: u64,
}
