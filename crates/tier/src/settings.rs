//! Settings of the decisions.

use std::time::Duration;

/// Settings of the decisions; the platform's figures replace the defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this instance.
    pub instance: Box<str>,
    /// Data centre of this instance.
    pub data_centre: Box<str>,
    /// Processor of this instance, as a share of a core.
    pub cpu_share: f64,
    /// Extra attempts as a share of requests, over all instances; from the platform.
    pub extra_share: f64,
    /// Extra attempts beyond the share, over all instances; from the platform.
    pub extra_slack: f64,
    /// Span over which extra attempts are counted; from the platform.
    pub extra_window: Duration,
    /// Instances that share budgets and connections until their number is known.
    pub assumed_instances: usize,
    /// Time between a caller's sending and the arrival, and back, at the most; the time to open a
    /// connection is in it.
    pub caller_delay: Duration,
    /// Time of the ways between two instances, there and back, at the most.
    pub hop_delay: Duration,
    /// Time for which removals are held after the platform is back; from the platform's promise to
    /// restore entries in about two seconds.
    pub removal_hold: Duration,
    /// Time that an abandoned attempt may go on before its connection is closed.
    pub linger: Duration,
    /// Longest time to get a connection to an upstream.
    pub connect_timeout: Duration,
    /// Part of a request's remaining time after which an answer could no longer reach the caller.
    pub final_margin: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            instance: Box::from(""),
            data_centre: Box::from(""),
            cpu_share: 1.0,
            extra_share: 0.2,
            extra_slack: 100.0,
            extra_window: Duration::from_secs(10),
            assumed_instances: 20,
            caller_delay: Duration::from_millis(14),
            hop_delay: Duration::from_millis(5),
            removal_hold: Duration::from_millis(2_200),
            linger: Duration::from_millis(250),
            connect_timeout: Duration::from_millis(400),
            final_margin: Duration::from_millis(8),
        }
    }
}
