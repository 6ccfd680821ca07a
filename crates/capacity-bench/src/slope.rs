//! Least squares through all sizes: a straight line, and a power.

/// How a figure grows with size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slope {
    /// Figure at size 0 by the line.
    pub base: f64,
    /// Growth for each one more.
    pub each: f64,
    /// Of the line: 1 where it goes through all points.
    pub line_r2: f64,
    /// Exponent of the power; none if a size or figure isn't above 0.
    pub exponent: Option<f64>,
    /// Different sizes.
    pub sizes: usize,
}

impl Slope {
    /// Through these (size, figure) pairs; none unless there are two sizes and all figures are finite.
    pub fn fit(points: &[(f64, f64)]) -> Option<Slope> {
        if points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite()) {
            return None;
        }
        let mut sizes: Vec<f64> = points.iter().map(|point| point.0).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        let (base, each, line_r2) = line(points)?;
        let positive = points.iter().all(|(x, y)| *x > 0.0 && *y > 0.0);
        let logs: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
        let exponent = if positive { line(&logs).map(|fit| fit.1) } else { None };
        Some(Slope { base, each, line_r2, exponent, sizes: sizes.len() })
    }

    /// The figure that the line gives at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.each * size
    }

    /// In words.
    pub fn words(&self) -> String {
        let power = self.exponent.map_or("-".to_owned(), |exponent| format!("{exponent:.2}"));
        let two = if self.sizes == 2 { "; a straight line through two points" } else { "" };
        format!("{:.4} + {:.6} n, r2 {:.3}; power n^{power}{two}", self.base, self.each, self.line_r2)
    }
}

fn line(points: &[(f64, f64)]) -> Option<(f64, f64, f64)> {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let xx = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum::<f64>();
    let xy = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum::<f64>();
    let yy = points.iter().map(|p| (p.1 - mean_y).powi(2)).sum::<f64>();
    if points.len() < 2 || xx <= 0.0 || !xx.is_finite() {
        return None;
    }
    let each = xy / xx;
    let r2 = if yy > 0.0 { (xy * xy / (xx * yy)).min(1.0) } else { 1.0 };
    Some((mean_y - each * mean_x, each, r2))
}
