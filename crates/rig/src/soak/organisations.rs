//! Organisations in a run: the keys of the callers, and whose requests upstreams receive.

use std::collections::HashMap;

use http::{Response, StatusCode};
use serde_json::{Value, json};

use super::check::Recording;
use crate::edge::Arrival;

/// Names of the organisations, and a key of each.
pub(super) const ORGANISATIONS: [(&str, &str); 3] = [
    ("acme", "acme-6f1d20c9"),
    ("zenith", "zenith-b7e4410a"),
    ("orbit", "orbit-93ac5d7e"),
];

/// Name that callers give themselves.
pub(super) const FORGED_NAME: &str = "forged";

/// Returns the organisations for a version of the configuration. Further keys come and go with each
/// version.
pub(super) fn tenants(version: u64) -> Value {
    let tenant = |(name, key): &(&str, &str)| {
        json!({"name": name, "priority": 1, "ratePerS": 0,
        "apiKeys": [key, format!("{name}-of-{version}")]})
    };
    ORGANISATIONS.iter().map(tenant).collect()
}

/// Checks that each request runs under the name of its caller's organisation, that no key leaves
/// the instances, and that no valid key is rejected.
pub(super) fn check(recording: &Recording<'_>) -> Vec<String> {
    let mut arrived: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in recording.arrivals {
        arrived.entry(&arrival.id).or_default().push(arrival);
    }
    let mut violations = Vec::new();
    for outcome in recording.outcomes {
        let Some(organisation) = outcome.organisation else {
            continue;
        };
        let status = outcome.answer.as_ref().map(Response::status);
        if status == Some(StatusCode::UNAUTHORIZED) {
            violations.push(format!("{}: a valid key was rejected", outcome.id));
        }
        for arrival in arrived.get(&*outcome.id).into_iter().flatten() {
            if arrival.organisation.as_deref() != Some(organisation) {
                violations.push(format!(
                    "{}: a request of {organisation} arrived under the name {:?}",
                    outcome.id, arrival.organisation
                ));
            }
            if arrival.authorization.is_some() {
                violations.push(format!("{}: an upstream received the key", outcome.id));
            }
        }
    }
    violations
}
