//! Guards for the state that an attempt adds to a server's entry in the router: its share of the load and, after an
//! ejection, the server's trial request. The guards undo both however the attempt ends, also if the client disconnects.

use std::cell::Cell;
use std::rc::Rc;

use mosshead_routing::ServerFailure;

use crate::data_plane::DataPlane;

/// Adds the tokens of a prompt to the load of the server that prefills it until the guard is dropped.
pub(crate) struct PrefillGuard {
    data_plane: Rc<DataPlane>,
    server_id: Rc<str>,
    tokens: f64,
}

impl PrefillGuard {
    pub(crate) fn new(data_plane: &Rc<DataPlane>, server_id: &Rc<str>, tokens: f64) -> Self {
        data_plane.router.borrow_mut().start_prefill(server_id, tokens);
        Self { data_plane: data_plane.clone(), server_id: server_id.clone(), tokens }
    }
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        self.data_plane.router.borrow_mut().finish_prefill(&self.server_id, self.tokens);
    }
}

/// Adds a request in flight to the load of its server until the guard is dropped. If the guard is dropped without a
/// recorded result, the request counts as inconclusive for outlier ejection.
pub(crate) struct ServerRequestGuard {
    data_plane: Rc<DataPlane>,
    server_id: Rc<str>,
    is_concluded: Cell<bool>,
}

impl ServerRequestGuard {
    pub(crate) fn new(data_plane: &Rc<DataPlane>, server_id: &Rc<str>) -> Self {
        data_plane.router.borrow_mut().start_request(server_id);
        Self { data_plane: data_plane.clone(), server_id: server_id.clone(), is_concluded: Cell::new(false) }
    }

    pub(crate) fn record_success(&self) {
        self.is_concluded.set(true);
        self.data_plane.router.borrow_mut().record_success(&self.server_id);
    }

    pub(crate) fn record_failure(&self, failure: ServerFailure) {
        self.is_concluded.set(true);
        self.data_plane.record_failure(&self.server_id, failure);
    }
}

impl Drop for ServerRequestGuard {
    fn drop(&mut self) {
        let mut router = self.data_plane.router.borrow_mut();
        router.finish_request(&self.server_id);
        if !self.is_concluded.get() {
            router.record_inconclusive(&self.server_id);
        }
    }
}

/// Guards the selection of a server until its request is sent. If the guard is dropped before that, the selection
/// counts as inconclusive: after an ejection the request may be the server's trial, and the server gets no other trial
/// until this one has ended.
pub(crate) struct SelectionGuard<'a> {
    data_plane: &'a DataPlane,
    server_id: &'a str,
    is_armed: bool,
}

impl<'a> SelectionGuard<'a> {
    pub(crate) fn new(data_plane: &'a DataPlane, server_id: &'a str) -> Self {
        Self { data_plane, server_id, is_armed: true }
    }

    /// Ends the guard when the request is sent: from then on a `ServerRequestGuard` records its result.
    pub(crate) fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for SelectionGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            self.data_plane.router.borrow_mut().record_inconclusive(self.server_id);
        }
    }
}
