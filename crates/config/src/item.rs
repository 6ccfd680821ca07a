//! An item of a list: its text and its parsed content.

use std::sync::Arc;

use crate::route::Route;
use crate::service::Service;
use crate::stable_hash::hash_text;

/// An item of a list. Its text is minified and never changes.
#[derive(Debug)]
pub(crate) struct Item {
    text: Box<str>,
    content: ItemContent,
    hash: u64,
}

/// The parsed content of an item.
#[derive(Debug)]
pub(crate) enum ItemContent {
    Route(Arc<Route>),
    Service(Arc<Service>),
    /// The name of an item of a list that this crate does not interpret.
    Unknown(Box<str>),
}

impl Item {
    pub(crate) fn new(text: &str, content: ItemContent) -> Arc<Self> {
        Arc::new(Item { text: text.into(), content, hash: hash_text(text) })
    }

    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// The hash of the text.
    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }

    pub(crate) fn name(&self) -> &str {
        match &self.content {
            ItemContent::Route(route) => &route.name,
            ItemContent::Service(service) => &service.name,
            ItemContent::Unknown(name) => name,
        }
    }

    pub(crate) fn as_route(&self) -> Option<&Arc<Route>> {
        match &self.content {
            ItemContent::Route(route) => Some(route),
            _ => None,
        }
    }

    pub(crate) fn as_service(&self) -> Option<&Arc<Service>> {
        match &self.content {
            ItemContent::Service(service) => Some(service),
            _ => None,
        }
    }

    pub(crate) fn has_same_text(one: &Arc<Item>, other: &Arc<Item>) -> bool {
        Arc::ptr_eq(one, other) || (one.hash == other.hash && one.text == other.text)
    }
}
