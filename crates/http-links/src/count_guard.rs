//! A guard that counts a resource while it is in use.

use std::cell::Cell;
use std::rc::Rc;

/// Adds an amount to a count until the guard is dropped.
#[derive(Debug)]
pub struct CountGuard {
    count: Rc<Cell<usize>>,
    amount: usize,
}

impl CountGuard {
    /// Adds `amount` to the count.
    pub fn new(count: &Rc<Cell<usize>>, amount: usize) -> Self {
        count.set(count.get() + amount);
        Self { count: count.clone(), amount }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get().saturating_sub(self.amount));
    }
}
