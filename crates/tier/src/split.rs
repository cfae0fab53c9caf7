//! Smooth weighted round-robin: chooses among weighted services so that every prefix of the
//! sequence of requests stays close to the weights.

use std::collections::HashMap;

use base::ServiceName;

/// Smooth weighted round-robin state of one route.
#[derive(Clone, Debug, Default)]
pub struct Split {
    credits: HashMap<ServiceName, i64>,
}

impl Split {
    /// Chooses a service; `None` if no weight is above zero.
    ///
    /// The load of a service is not considered: requests in excess of its capacity are refused, not
    /// moved to another service.
    pub fn choose(&mut self, parts: &[(ServiceName, u32)]) -> Option<ServiceName> {
        self.credits
            .retain(|name, _| parts.iter().any(|(part, _)| part == name));
        let total: i64 = parts.iter().map(|(_, weight)| i64::from(*weight)).sum();
        let mut best: Option<(&ServiceName, i64)> = None;
        for (name, weight) in parts.iter().filter(|(_, weight)| *weight > 0) {
            let credit = self.credits.entry(name.clone()).or_insert(0);
            *credit += i64::from(*weight);
            if best.is_none_or(|(_, most)| *credit > most) {
                best = Some((name, *credit));
            }
        }
        let chosen = best?.0.clone();
        if let Some(credit) = self.credits.get_mut(&chosen) {
            *credit -= total;
        }
        Some(chosen)
    }
}
