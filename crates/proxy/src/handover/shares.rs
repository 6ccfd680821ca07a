//! The limits on descriptors, of which a part may be lent to another process.

use std::cell::Cell;

use crate::budget::DescriptorBudget;

/// A value for each of the two sides of the proxy: connections of clients, and connections to servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PerSide<T> {
    pub(crate) client: T,
    pub(crate) server: T,
}

impl<T> PerSide<T> {
    pub(super) fn as_ref(&self) -> PerSide<&T> {
        PerSide { client: &self.client, server: &self.server }
    }

    pub(super) fn map<U>(self, mut of: impl FnMut(T) -> U) -> PerSide<U> {
        PerSide { client: of(self.client), server: of(self.server) }
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
    /// The same value for both sides.
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

/// The descriptors of both sides, as far as they are this process's.
pub(crate) struct BudgetShares {
    budgets: PerSide<DescriptorBudget>,
    /// What the configuration allows all processes of this address together.
    totals: PerSide<usize>,
    /// What other processes have been lent. Own, lent and those still a predecessor's add up to the totals.
    lent: Cell<PerSide<usize>>,
}

impl BudgetShares {
    /// All descriptors are this process's, or, with a predecessor that grants them by and by, none yet.
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

    /// Asks for idle connections to be closed on each side where another process lacks descriptors.
    pub(super) fn request_release_where(&self, is_lacking: PerSide<bool>) {
        self.budgets.as_ref().zip(is_lacking).for_each(|(budget, is_lacking)| {
            if is_lacking {
                budget.request_release();
            }
        });
    }

    /// Takes back what a process was lent that has ended.
    pub(super) fn return_lent(&self, returned: PerSide<usize>) {
        self.lent.set(self.lent.get().minus(returned));
        self.add(returned);
    }

    /// Takes all that is not lent: the predecessor has ended.
    pub(super) fn take_over_rest(&self) {
        let own = self.budgets.as_ref().map(DescriptorBudget::size);
        self.add(self.totals.saturating_minus(own.plus(self.lent.get())));
    }
}
