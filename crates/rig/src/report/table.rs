//! Rows of the report and whether they meet their targets.

use std::fmt;

/// What a measure is held against.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Target {
    /// The figure is at most this.
    AtMost(f64),
    /// The figure is at least this.
    AtLeast(f64),
    /// The figure is at most this share of the baseline.
    RatioAtMost(f64),
    /// The figure is at least this share of the baseline.
    RatioAtLeast(f64),
    /// The figure is given for information.
    None,
}

/// One measure.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// What was measured, with its unit.
    pub measure: Box<str>,
    /// Figure of the baseline of the same build in the same run.
    pub baseline: Option<f64>,
    /// Figure of the system.
    pub value: f64,
    /// What the figure is held against.
    pub target: Target,
}

impl Row {
    /// Makes a row without a baseline.
    pub fn new(measure: impl Into<Box<str>>, value: f64, target: Target) -> Self {
        Self {
            measure: measure.into(),
            baseline: None,
            value,
            target,
        }
    }

    /// Adds the baseline.
    pub fn with_baseline(self, baseline: f64) -> Self {
        Self {
            baseline: Some(baseline),
            ..self
        }
    }

    /// Returns the figure as a share of the baseline, unless that is zero.
    pub fn ratio(&self) -> Option<f64> {
        let baseline = self.baseline.filter(|baseline| *baseline != 0.0);
        baseline.map(|baseline| self.value / baseline)
    }

    /// Returns whether the target is met; `None` when there is none.
    ///
    /// A figure that is not a number meets no target.
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

/// Prints a figure with a precision that suits its size.
fn format_value(value: f64) -> String {
    if value == 0.0 || value.abs() >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.2}")
    }
}
