//! What operators see of the limits of organisations: status, metrics and log lines.

use prometheus::{GaugeVec, Opts, Registry};
use serde_json::{Map, Value, json};
use slog::{Logger, info};
use tier::{
    effect::OverLimit,
    quota::{LimitUse, Limits},
};

/// Organisations that are shown by name, those with the most use first; the others are summed up.
const MAX_NAMED: usize = 12;

/// Name under which the other organisations are summed up.
const OTHERS: &str = "(others)";

/// Metrics of organisations that have limits.
pub(super) struct LimitMetrics {
    /// Requests by organisation and kind, set anew for each scrape.
    requests: GaugeVec,
}

impl LimitMetrics {
    /// Registers the metrics; panics on a repeated name, a mistake in this crate.
    pub(super) fn new(registry: &Registry) -> Self {
        let opts = Opts::new(
            "briarcove_organisation_requests",
            "Requests of organisations with limits since the start: allowed, refused, lent",
        );
        let requests = GaugeVec::new(opts, &["organisation", "kind"])
            .expect("names and help texts of metrics are valid");
        registry
            .register(Box::new(requests.clone()))
            .expect("names of metrics are used once");
        Self { requests }
    }

    /// Updates the metrics.
    pub(super) fn set(&self, limits: &Limits) {
        self.requests.reset();
        let add = |name: &str, kind: &str, count: u64| {
            self.requests
                .with_label_values(&[name, kind])
                .add(count as f64);
        };
        for (at, it) in limits.organisations.iter().enumerate() {
            let name = if at < MAX_NAMED {
                it.organisation.as_str()
            } else {
                OTHERS
            };
            add(name, "allowed", it.usage.allowed);
            add(name, "refused", it.usage.refused);
            add(name, "lent", it.lent);
        }
    }
}

/// Returns the limits and their use as a status.
pub(super) fn status(limits: &Limits) -> Value {
    let named = limits.organisations.iter().take(MAX_NAMED);
    let organisations: Map<String, Value> = named
        .map(|it| (it.organisation.to_string(), organisation_status(it)))
        .collect();
    json!({
        "owner": limits.is_owner, "share": limits.share,
        "organisations": limits.organisations.len(), "use": organisations,
    })
}

fn organisation_status(it: &LimitUse) -> Value {
    json!({
        "per_s": it.limit.rate.per_second(), "burst": it.limit.burst,
        "allowed": it.usage.allowed, "refused": it.usage.refused, "held": it.usage.held,
        "allowed_per_s": (it.usage.rate * 10.0).round() / 10.0, "lent": it.lent,
    })
}

/// Logs a request that was refused because its organisation is over its limit.
pub(super) fn log_refusal(log: &Logger, refused: &OverLimit) {
    let usage = &refused.usage;
    info!(log, "request refused: organisation over its limit"; "request" => &*refused.id,
        "organisation" => %refused.organisation,
        "per_s" => refused.limit.rate.per_second(), "burst" => refused.limit.burst,
        "room_in_ms" => refused.wait.as_millis() as u64,
        "allowed_here" => usage.allowed, "refused_here" => usage.refused,
        "loan_age_ms" => usage.loan_age.map(|age| age.as_millis() as u64));
}
