//! A table of values by size, as one part of the bench prints it, with a slope for each column.

use std::fmt;

use crate::slope::Slope;

/// Values by size.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// What was measured.
    pub title: String,
    /// What the size is: the name of the first column.
    pub size_name: &'static str,
    /// The names of the other columns.
    pub columns: Vec<&'static str>,
    /// One for each size.
    pub rows: Vec<Row>,
    /// What has to be known to read it.
    pub notes: Vec<String>,
}

/// The values at one size.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Row {
    /// The size.
    pub size: f64,
    /// One for each column; not finite where there is none.
    pub values: Vec<f64>,
}

impl Table {
    /// A table without rows.
    pub fn new(title: impl Into<String>, size_name: &'static str, columns: &[&'static str]) -> Table {
        Table { title: title.into(), size_name, columns: columns.to_vec(), ..Table::default() }
    }

    /// Adds a row.
    pub fn add_row(&mut self, size: usize, values: Vec<f64>) {
        self.rows.push(Row { size: size as f64, values });
    }

    /// Adds a note.
    pub fn add_note(&mut self, note: impl Into<String>) {
        self.notes.push(note.into());
    }

    /// The slope of a column through all sizes that have a value.
    pub fn slope(&self, column: usize) -> Option<Slope> {
        let points = self.rows.iter().filter_map(|row| Some((row.size, *row.values.get(column)?)));
        let points: Vec<(f64, f64)> = points.filter(|(_, value)| value.is_finite()).collect();
        Slope::fit(&points)
    }
}

/// The value with about four significant digits; `-` if it is not finite.
fn format_value(value: f64) -> String {
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
        write!(f, "{:>9}", self.size_name)?;
        for (name, width) in self.columns.iter().zip(&widths) {
            write!(f, "  {name:>width$}")?;
        }
        writeln!(f)?;
        for row in &self.rows {
            write!(f, "{:>9}", row.size)?;
            for (value, width) in row.values.iter().zip(&widths) {
                write!(f, "  {:>width$}", format_value(*value))?;
            }
            writeln!(f)?;
        }
        for (column, name) in self.columns.iter().enumerate() {
            if let Some(slope) = self.slope(column) {
                writeln!(f, "slope of {name}: {}", slope.description())?;
            }
        }
        self.notes.iter().try_for_each(|note| writeln!(f, "note: {note}"))
    }
}
