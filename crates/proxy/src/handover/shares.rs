//! The descriptors of this process, some of which may be lent to another process.

use std::cell::Cell;

use crate::budget::DescriptorBudget;

/// A pair of values for the two sides of the proxy: client connections and server connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PerSide<T> {
    pub(crate) client: T,
    pub(crate) server: T,
}

impl<T> PerSide<T> {
    pub(super) fn as_ref(&self) -> PerSide<&T> {
        PerSide { client: &self.client, server: &self.server }
    }

    pub(super) fn map<U>(self, mut convert: impl FnMut(T) -> U) -> PerSide<U> {
        PerSide { client: convert(self.client), server: convert(self.server) }
    }

    pub(super) fn for_each(self, mut action: impl FnMut(T)) {
        action(self.client);
        action(self.server);
    }

    pub(super) fn zip<U>(self, other: PerSide<U>) -> PerSide<(T, U)> {
        PerSide { client: (self.client, other.client), server: (self.server, other.server) }
    }
}

impl<T: Copy> PerSide<T> {
    /// Creates a pair with the same value for both sides.
    pub(super) fn both(value: T) -> Self {
        Self { client: value, server: value }
    }
}

impl PerSide<usize> {
    pub(super) fn plus(self, other: Self) -> Self {
        self.zip(other).map(|(one, other)| one + other)
    }

    pub(super) fn minus(self, other: Self) -> Self {
        self.zip(other).map(|(one, other)| one - other)
    }

    pub(super) fn saturating_minus(self, other: Self) -> Self {
        self.zip(other).map(|(one, other)| one.saturating_sub(other))
    }
}

/// The descriptors of both sides that belong to this process.
pub(crate) struct BudgetShares {
    budgets: PerSide<DescriptorBudget>,
    /// The limits in the configuration, for all processes of this address together.
    totals: PerSide<usize>,
    /// What is lent to other processes. Own and lent descriptors and those still held by a predecessor add up to the
    /// totals.
    lent: Cell<PerSide<usize>>,
}

impl BudgetShares {
    /// This process starts with all descriptors or, if a predecessor grants them step by step, with none.
    pub(crate) fn new(budgets: PerSide<DescriptorBudget>, has_predecessor: bool) -> Self {
        let totals = budgets.as_ref().map(DescriptorBudget::size);
        if has_predecessor {
            budgets.as_ref().zip(totals).for_each(|(budget, total)| {
                budget.give(total);
            });
        }
        Self { budgets, totals, lent: Cell::default() }
    }

    pub(super) fn totals(&self) -> PerSide<usize> {
        self.totals
    }

    /// The descriptors that are neither lent nor in use.
    pub(super) fn available(&self) -> PerSide<usize> {
        self.budgets.as_ref().map(DescriptorBudget::available)
    }

    /// Adds descriptors that the predecessor has granted.
    pub(super) fn add(&self, granted: PerSide<usize>) {
        self.budgets.as_ref().zip(granted).for_each(|(budget, count)| budget.add(count));
    }

    /// Takes up to `max` free descriptors from each side for another process; returns how many.
    pub(super) fn lend(&self, max: PerSide<usize>) -> PerSide<usize> {
        let given = self.budgets.as_ref().zip(max).map(|(budget, max)| budget.give(max));
        self.lent.set(self.lent.get().plus(given));
        given
    }

    /// Asks for idle connections to be closed on each side on which another process lacks descriptors.
    pub(super) fn request_release_where(&self, is_lacking: PerSide<bool>) {
        self.budgets.as_ref().zip(is_lacking).for_each(|(budget, is_lacking)| {
            if is_lacking {
                budget.request_release();
            }
        });
    }

    /// Takes back what was lent to a process that has ended.
    pub(super) fn return_lent(&self, returned: PerSide<usize>) {
        self.lent.set(self.lent.get().minus(returned));
        self.add(returned);
    }

    /// Takes everything that is not lent, since the predecessor has ended.
    pub(super) fn take_over_rest(&self) {
        let own = self.budgets.as_ref().map(DescriptorBudget::size);
        self.add(self.totals.saturating_minus(own.plus(self.lent.get())));
    }
}
