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
    pub before: Option<f64>,
    /// Figure of the system.
    pub after: f64,
    /// What the figure is held against.
    pub target: Target,
}

impl Row {
    /// Makes a row without a baseline.
    pub fn new(measure: impl Into<Box<str>>, after: f64, target: Target) -> Self {
        Self {
            measure: measure.into(),
            before: None,
            after,
            target,
        }
    }

    /// Adds the baseline.
    pub fn against(self, before: f64) -> Self {
        Self {
            before: Some(before),
            ..self
        }
    }

    /// Returns the figure as a share of the baseline, unless that is zero.
    pub fn ratio(&self) -> Option<f64> {
        let before = self.before.filter(|before| *before != 0.0);
        before.map(|before| self.after / before)
    }

    /// Returns whether the target is met; `None` when there is none.
    ///
    /// A figure that is not a number meets no target.
    pub fn is_met(&self) -> Option<bool> {
        let ratio = self.ratio().unwrap_or(f64::NAN);
        match self.target {
            Target::AtMost(most) => Some(self.after <= most),
            Target::AtLeast(least) => Some(self.after >= least),
            Target::RatioAtMost(most) => Some(ratio <= most),
            Target::RatioAtLeast(least) => Some(ratio >= least),
            Target::None => None,
        }
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let number = |value: Option<f64>| value.map_or("-".into(), figure);
        let target = match self.target {
            Target::AtMost(most) => format!("<= {}", figure(most)),
            Target::AtLeast(least) => format!(">= {}", figure(least)),
            Target::RatioAtMost(most) => format!("ratio <= {most:.3}"),
            Target::RatioAtLeast(least) => format!("ratio >= {least:.3}"),
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
            number(self.before),
            figure(self.after),
            self.ratio().map_or("-".into(), |r| format!("{r:.3}")),
        )
    }
}

/// Prints a figure with a precision that suits its size.
fn figure(value: f64) -> String {
    if value == 0.0 || value.abs() >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.2}")
    }
}
