//! Statistics of the pools.

/// Counters since the pools were created, and current gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Connections opened.
    pub opened: u64,
    /// Failed attempts to open a connection.
    pub connect_failures: u64,
    /// Sub-requests passed to a connection.
    pub sent: u64,
    /// Searches moved to another connection because the first had sent no byte.
    pub resent: u64,
    /// Attempts that timed out, waiting for a connection or for the reply.
    pub timeouts: u64,
    /// Attempts that failed because their connection broke.
    pub broken: u64,
    /// Replies that were invalid or identified another request.
    pub malformed: u64,
    /// Cancellation messages passed to a connection.
    pub cancels_sent: u64,
    /// Cancellations without a message to the upstream, because no connection was free.
    pub cancels_skipped: u64,
    /// Connections that are open or being opened.
    pub connections: u64,
    /// Attempts that wait for a connection or for the reply.
    pub attempts: u64,
}
