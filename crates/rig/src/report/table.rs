//! Rows of the report and the check against their targets.

use std::fmt;

/// Target that a measured value is checked against.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Target {
    /// The value is at most this.
    AtMost(f64),
    /// The value is at least this.
    AtLeast(f64),
    /// The ratio of the value to the baseline is at most this.
    RatioAtMost(f64),
    /// The ratio of the value to the baseline is at least this.
    RatioAtLeast(f64),
    /// There is no target; the value is informative.
    None,
}

/// One measured value.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Name of the measure, with its unit.
    pub measure: Box<str>,
    /// Baseline, measured with the same build in the same run.
    pub baseline: Option<f64>,
    /// Measured value.
    pub value: f64,
    /// Target of the value.
    pub target: Target,
}

impl Row {
    /// Creates a row without a baseline.
    pub fn new(measure: impl Into<Box<str>>, value: f64, target: Target) -> Self {
        Self {
            measure: measure.into(),
            baseline: None,
            value,
            target,
        }
    }

    /// Sets the baseline.
    pub fn with_baseline(self, baseline: f64) -> Self {
        Self {
            baseline: Some(baseline),
            ..self
        }
    }

    /// Returns the ratio of the value to the baseline, or `None` when there is no baseline or it is
    /// zero.
    pub fn ratio(&self) -> Option<f64> {
        let baseline = self.baseline.filter(|baseline| *baseline != 0.0);
        baseline.map(|baseline| self.value / baseline)
    }

    /// Returns whether the target is met, or `None` when there is no target.
    ///
    /// A value or ratio that is not a number meets no target.
    pub fn is_met(&self) -> Option<bool> {
        let ratio = self.ratio().unwrap_or(f64::NAN);
        match self.target {
            Target::AtMost(max) => Some(self.value <= max),
            Target::AtLeast(min) => Some(self.value >= min),
            Target::RatioAtMost(max) => Some(ratio <= max),
            Target::RatioAtLeast(min) => Some(ratio >= min),
            Target::None => None,
        }
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let optional = |value: Option<f64>| value.map_or("-".into(), format_value);
        let target = match self.target {
            Target::AtMost(max) => format!("<= {}", format_value(max)),
            Target::AtLeast(min) => format!(">= {}", format_value(min)),
            Target::RatioAtMost(max) => format!("ratio <= {max:.3}"),
            Target::RatioAtLeast(min) => format!("ratio >= {min:.3}"),
            Target::None => "-".into(),
        };
        let verdict = match self.is_met() {
            Some(true) => "met",
            Some(false) => "NOT MET",
            None => "-",
        };
        write!(
            f,
            "| {} | {} | {} | {} | {target} | {verdict} |",
            self.measure,
            optional(self.baseline),
            format_value(self.value),
            self.ratio().map_or("-".into(), |r| format!("{r:.3}")),
        )
    }
}

/// Formats a value with two decimals, or none when it is zero or at least 100.
fn format_value(value: f64) -> String {
    if value == 0.0 || value.abs() >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.2}")
    }
}
