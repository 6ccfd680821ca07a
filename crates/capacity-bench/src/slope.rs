//! Least squares through all sizes: a straight line, and a power law (a straight line through the logarithms).

/// How a value grows with size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slope {
    /// The value of the line at size 0.
    pub base: f64,
    /// The growth for each unit of size.
    pub per_unit: f64,
    /// R squared of the line: 1 where it goes through all points.
    pub line_r2: f64,
    /// The exponent of the power law; none if a size or value isn't above 0.
    pub exponent: Option<f64>,
    /// How many different sizes there are; at least 2.
    pub sizes: usize,
}

struct Line {
    base: f64,
    per_unit: f64,
    r2: f64,
}

impl Slope {
    /// Fits (size, value) pairs; none unless there are two sizes and all numbers are finite.
    pub fn fit(points: &[(f64, f64)]) -> Option<Slope> {
        if points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite()) {
            return None;
        }
        let mut sizes: Vec<f64> = points.iter().map(|(x, _)| *x).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        let Line { base, per_unit, r2 } = Line::fit(points)?;
        let are_positive = points.iter().all(|(x, y)| *x > 0.0 && *y > 0.0);
        let logarithms: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
        let exponent = if are_positive { Line::fit(&logarithms).map(|line| line.per_unit) } else { None };
        Some(Slope { base, per_unit, line_r2: r2, exponent, sizes: sizes.len() })
    }

    /// The value that the line gives at a size.
    pub fn value_at(&self, size: f64) -> f64 {
        self.base + self.per_unit * size
    }

    /// The line and the power, as the tables print them.
    pub fn description(&self) -> String {
        let power = self.exponent.map_or("-".to_owned(), |exponent| format!("{exponent:.2}"));
        let remark = if self.sizes == 2 { "; a straight line through two points" } else { "" };
        format!("{:.4} + {:.6} n, r2 {:.3}; power n^{power}{remark}", self.base, self.per_unit, self.line_r2)
    }
}

impl Line {
    fn fit(points: &[(f64, f64)]) -> Option<Line> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let xx = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
        let xy = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
        let yy = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum::<f64>();
        if points.len() < 2 || xx <= 0.0 || !xx.is_finite() {
            return None;
        }
        let per_unit = xy / xx;
        let r2 = if yy > 0.0 { (xy * xy / (xx * yy)).min(1.0) } else { 1.0 };
        Some(Line { base: mean_y - per_unit * mean_x, per_unit, r2 })
    }
}
