//! Sweep over one size, with a least-squares fit of each column.

/// Title, columns and measured points of a sweep.
pub(super) struct Sweep {
    title: &'static str,
    size: &'static str,
    columns: Vec<&'static str>,
    points: Vec<(f64, Vec<f64>)>,
}

/// A fitted line and its coefficient of determination.
#[derive(Clone, Copy, Debug)]
struct Fit {
    slope: f64,
    intercept: f64,
    r2: f64,
}

impl Sweep {
    /// Starts a sweep and prints its heading.
    pub(super) fn new(title: &'static str, size: &'static str, columns: &[&'static str]) -> Self {
        println!("\n{title}\n{size:>12} {}", row(columns));
        Self {
            title,
            size,
            columns: columns.to_vec(),
            points: Vec::new(),
        }
    }

    /// Prints the point of one size and adds it to the fit.
    pub(super) fn add(&mut self, size: usize, values: &[f64]) {
        print_point(size, values);
        self.points.push((size as f64, values.to_vec()));
    }

    /// Prints a point that is not part of the fit, with the reason.
    pub(super) fn print_unfitted(&self, size: usize, values: &[f64], why: &str) {
        print_point(size, values);
        println!("{:>12} (not in the fit: {why})", "");
    }

    /// Prints the fit of each column.
    pub(super) fn finish(self) {
        let sizes = self.points.iter().map(|(size, _)| *size);
        let (min, max) = (
            sizes.clone().fold(f64::MAX, f64::min),
            sizes.fold(0.0, f64::max),
        );
        println!("fits of {} over {min}..{max} {}:", self.title, self.size);
        for (index, column) in self.columns.iter().enumerate() {
            let points = self.points.iter().map(|(size, v)| (*size, v[index]));
            let fit = fit(&points.collect::<Vec<_>>());
            println!(
                "  {column}: {:.6} for each, {:.3} at zero, R2 {:.4}",
                fit.slope, fit.intercept, fit.r2
            );
        }
    }
}

fn print_point(size: usize, values: &[f64]) {
    let values: Vec<String> = values.iter().map(|v| format!("{v:.3}")).collect();
    println!("{size:>12} {}", row(&values));
}

fn row<T: AsRef<str>>(cells: &[T]) -> String {
    let cells = cells.iter().map(|cell| format!("{:>18}", cell.as_ref()));
    cells.collect::<Vec<_>>().join(" ")
}

/// Fits a line by least squares.
fn fit(points: &[(f64, f64)]) -> Fit {
    let n = points.len().max(1) as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let yy: f64 = points.iter().map(|p| (p.1 - mean_y).powi(2)).sum();
    let xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let slope = if xx > 0.0 { xy / xx } else { 0.0 };
    Fit {
        slope,
        intercept: mean_y - slope * mean_x,
        r2: if yy > 0.0 { slope * xy / yy } else { 1.0 },
    }
}
