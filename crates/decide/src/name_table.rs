//! Maps names to the numeric ids that settings and list entries use.

use std::collections::HashMap;

/// Interned names, numbered from 0 in the order in which they first appear.
#[derive(Clone, Debug, Default)]
pub struct NameTable {
    numbers: HashMap<String, usize>,
    names: Vec<String>,
}

impl NameTable {
    /// Creates a table with these names, numbered in their order.
    pub fn from_names<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let mut table = Self::default();
        for name in names {
            table.intern(name);
        }
        table
    }

    /// Returns the number of a name, and assigns the next one to a new name.
    pub fn intern(&mut self, name: &str) -> usize {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        self.numbers.insert(name.to_owned(), self.names.len());
        self.names.push(name.to_owned());
        self.names.len() - 1
    }

    /// Returns the number of a name, or `None` if the name is unknown.
    pub fn find_number(&self, name: &str) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    /// Returns the name with this number, or `None` if the number was never assigned.
    pub fn find_name(&self, number: usize) -> Option<&str> {
        self.names.get(number).map(String::as_str)
    }

    /// Returns the name with this number.
    ///
    /// # Panics
    ///
    /// Panics if the number was never assigned.
    pub fn name(&self, number: usize) -> &str {
        &self.names[number]
    }
}
