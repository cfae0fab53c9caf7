//! Settings of the reducer.

use std::time::Duration;

use base::{DataCentre, RegionName};

use crate::{mechanism::Disabled, placement::Chooser};

/// Settings of the reducer; values from the platform replace the defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this instance.
    pub instance: Box<str>,
    /// Data centre of this instance.
    pub data_centre: Box<str>,
    /// CPU share of this instance, as a fraction of a core.
    pub cpu_share: f64,
    /// Maximum extra attempts of all instances, as a share of requests; from the platform.
    pub extra_share: f64,
    /// Extra attempts of all instances allowed in addition to that share; from the platform.
    pub extra_slack: f64,
    /// Length of the window over which extra attempts are counted; from the platform.
    pub extra_window: Duration,
    /// Tolerance of the rate that a cold upstream bears, as a factor; from the platform.
    pub cold_overage: f64,
    /// Requests a second that it bears in addition; from the platform.
    pub cold_slack: f64,
    /// Whether nothing is sent before the evacuated data centres are known; only set at the start.
    pub awaits_evacuations: bool,
    /// Region of each data centre; from the platform.
    pub regions: Box<[(DataCentre, RegionName)]>,
    /// Time in which a change of the configuration arrives; from the platform.
    pub config_delay: Duration,
    /// Number of instances that share budgets and connections, assumed until it is known.
    pub assumed_instances: usize,
    /// Maximum network round trip between a caller and this instance, including the time to open a
    /// connection.
    pub caller_delay: Duration,
    /// Maximum network round trip between two instances.
    pub hop_delay: Duration,
    /// Time for which removals are held after the platform is available again; it promises to
    /// restore entries within about two seconds.
    pub removal_hold: Duration,
    /// Time for which removals are held after the platform has come back from an older copy, in
    /// which upstreams and operators write theirs again.
    pub reset_removal_hold: Duration,
    /// Time after such a return in which an entry of an upstream that was removed before is not
    /// believed; within it the platform removes the entries that nobody writes any more.
    pub reset_doubt: Duration,
    /// Time for which an abandoned attempt may continue before its connection is closed.
    pub linger: Duration,
    /// Maximum time until a connection to an upstream is available.
    pub connect_timeout: Duration,
    /// Mechanisms that an operator has switched off.
    pub disabled: Disabled,
    /// Time before the end of a caller's wait after which an answer could no longer arrive.
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
            cold_overage: 1.0,
            cold_slack: 0.0,
            awaits_evacuations: false,
            regions: Box::default(),
            config_delay: Duration::from_secs(5),
            assumed_instances: 20,
            caller_delay: Duration::from_millis(14),
            hop_delay: Duration::from_millis(5),
            removal_hold: Duration::from_millis(2_200),
            reset_removal_hold: Duration::from_millis(4_000),
            reset_doubt: Duration::from_millis(6_000),
            linger: Duration::from_millis(250),
            connect_timeout: Duration::from_millis(400),
            disabled: Disabled::default(),
            final_margin: Duration::from_millis(8),
        }
    }
}

impl Settings {
    /// Returns from where upstreams are chosen, and by what.
    pub(crate) fn chooser(&self) -> Chooser<'_> {
        Chooser {
            data_centre: &self.data_centre,
            disabled: self.disabled,
        }
    }
}
