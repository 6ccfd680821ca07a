//! The routes of a configuration in the operator's order.

use std::fmt;
use std::ops::Deref;
use std::sync::{Arc, OnceLock};

use crate::item_list::ItemList;
use crate::route::Route;

/// The routes in the operator's order. The slice is built on first use; [`Routes::len`] and [`Routes::iter`] don't need
/// it.
#[derive(Clone)]
pub struct Routes {
    shared: Arc<SharedRoutes>,
}

struct SharedRoutes {
    list: ItemList,
    slice: OnceLock<Box<[Arc<Route>]>>,
}

impl Routes {
    pub(crate) fn new(list: ItemList) -> Self {
        Routes { shared: Arc::new(SharedRoutes { list, slice: OnceLock::new() }) }
    }

    /// The number of routes.
    pub fn len(&self) -> usize {
        self.shared.list.len()
    }

    /// True if there are no routes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Iterates over the routes without building the slice.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.shared.list.iter().filter_map(|item| item.as_route())
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
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.iter()).finish()
    }
}
