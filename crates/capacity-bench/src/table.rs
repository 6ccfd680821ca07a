//! One part's table, with its slopes.

use std::fmt;

use crate::slope::Slope;

/// Figures by size.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// What was measured.
    pub title: String,
    /// What the first column is.
    pub size: &'static str,
    /// Names of the others.
    pub columns: Vec<&'static str>,
    /// Size and figures.
    pub rows: Vec<(f64, Vec<f64>)>,
    /// What has to be known to read it.
    pub notes: Vec<String>,
}

impl Table {
    /// Without rows.
    pub fn new(title: impl Into<String>, size: &'static str, columns: &[&'static str]) -> Table {
        Table { title: title.into(), size, columns: columns.to_vec(), ..Table::default() }
    }

    /// One row more.
    pub fn row(&mut self, size: usize, figures: Vec<f64>) {
        self.rows.push((size as f64, figures));
    }

    /// The slope of a column through all sizes that have a figure.
    pub fn slope(&self, column: usize) -> Option<Slope> {
        let points = self.rows.iter().filter_map(|(size, figures)| Some((*size, *figures.get(column)?)));
        let points: Vec<(f64, f64)> = points.filter(|point| point.1.is_finite()).collect();
        Slope::fit(&points)
    }
}

/// Four digits that count.
pub fn figure(value: f64) -> String {
    let magnitude = value.abs();
    match magnitude {
        _ if !value.is_finite() => "-".to_owned(),
        _ if magnitude >= 1000.0 => format!("{value:.0}"),
        _ if magnitude >= 10.0 => format!("{value:.1}"),
        _ if magnitude >= 0.1 => format!("{value:.3}"),
        _ => format!("{value:.5}"),
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "## {}", self.title)?;
        let widths: Vec<usize> = self.columns.iter().map(|name| name.len().max(9)).collect();
        write!(f, "{:>9}", self.size)?;
        for (name, width) in self.columns.iter().zip(&widths) {
            write!(f, "  {name:>width$}")?;
        }
        writeln!(f)?;
        for (size, figures) in &self.rows {
            write!(f, "{size:>9}")?;
            for (value, width) in figures.iter().zip(&widths) {
                write!(f, "  {:>width$}", figure(*value))?;
            }
            writeln!(f)?;
        }
        for (column, name) in self.columns.iter().enumerate() {
            if let Some(slope) = self.slope(column) {
                writeln!(f, "slope of {name}: {}", slope.words())?;
            }
        }
        self.notes.iter().try_for_each(|note| writeln!(f, "note: {note}"))
    }
}
