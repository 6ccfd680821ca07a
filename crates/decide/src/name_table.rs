//! Names numbered for the settings and the list, whose ids are numbers.

use std::collections::HashMap;

/// Interned names, numbered in the order of their first appearance.
#[derive(Clone, Debug, Default)]
pub struct NameTable {
    numbers: HashMap<String, usize>,
    names: Vec<String>,
}

impl NameTable {
    /// Numbers names in their order.
    pub fn from_names<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let mut table = Self::default();
        for name in names {
            table.intern(name);
        }
        table
    }

    /// The number of a name; a name that is new gets the next one.
    pub fn intern(&mut self, name: &str) -> usize {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        self.numbers.insert(name.to_owned(), self.names.len());
        self.names.push(name.to_owned());
        self.names.len() - 1
    }

    /// The number of a name, if it is known.
    pub fn find_number(&self, name: &str) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    /// The name of a number, if it was assigned.
    pub fn find_name(&self, number: usize) -> Option<&str> {
        self.names.get(number).map(String::as_str)
    }

    /// The name of a number that was assigned.
    ///
    /// # Panics
    ///
    /// The number was never assigned.
    pub fn name(&self, number: usize) -> &str {
        &self.names[number]
    }
}
