//! A guard that counts something for as long as it goes on.

use std::cell::Cell;
use std::rc::Rc;

/// An amount that is added to a count until the guard is dropped.
pub(crate) struct CountGuard {
    count: Rc<Cell<usize>>,
    amount: usize,
}

impl CountGuard {
    pub(crate) fn new(count: &Rc<Cell<usize>>, amount: usize) -> Self {
        count.set(count.get() + amount);
        Self { count: count.clone(), amount }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get().saturating_sub(self.amount));
    }
}
