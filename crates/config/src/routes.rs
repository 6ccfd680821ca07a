//! The routes of a configuration in the operator's order.

use std::fmt;
use std::ops::Deref;
use std::sync::{Arc, OnceLock};

use crate::item_list::{List, Meaning};
use crate::route::Route;

/// The routes in the operator's order. They are put side by side, as a slice, only when they are asked for so;
/// [`Routes::len`] and [`Routes::iter`] do without.
#[derive(Clone)]
pub struct Routes {
    shared: Arc<Shared>,
}

struct Shared {
    list: List,
    slice: OnceLock<Box<[Arc<Route>]>>,
}

impl Routes {
    pub(crate) fn new(list: List) -> Self {
        Routes { shared: Arc::new(Shared { list, slice: OnceLock::new() }) }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.shared.list.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// One after the other.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.shared.list.iter().filter_map(|item| match &item.meaning {
            Meaning::Route(route) => Some(route),
            _ => None,
        })
    }
}

impl Deref for Routes {
    type Target = [Arc<Route>];

    fn deref(&self) -> &[Arc<Route>] {
        self.shared.slice.get_or_init(|| self.iter().cloned().collect())
    }
}

impl AsRef<[Arc<Route>]> for Routes {
    fn as_ref(&self) -> &[Arc<Route>] {
        self
    }
}

impl PartialEq for Routes {
    fn eq(&self, other: &Self) -> bool {
        self.iter().eq(other.iter())
    }
}

impl fmt::Debug for Routes {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.debug_list().entries(self.iter()).finish()
    }
}
