//! Guards of what an attempt does to a server's entry in the router: its load, and the trial that it may be after an
//! ejection. Both are undone however the attempt ends, also where its client leaves.

use std::cell::Cell;
use std::rc::Rc;

use mosshead_routing::ServerFailure;

use crate::data_plane::DataPlane;

/// A prompt that a server prefills: its tokens weigh in the server's load until the guard is dropped.
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

/// A request in flight at a server: it weighs in the server's load until the guard is dropped. Dropped without a
/// result, it counts as inconclusive for outlier ejection.
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

/// A server that was selected for a request. Dropped before the selection has had a result, it counts as inconclusive:
/// after an ejection the request would have been the server's trial, and the server gets no other one while its trial
/// goes on.
pub(crate) struct SelectionGuard<'a> {
    data_plane: &'a DataPlane,
    server_id: &'a str,
    is_armed: bool,
}

impl<'a> SelectionGuard<'a> {
    pub(crate) fn new(data_plane: &'a DataPlane, server_id: &'a str) -> Self {
        Self { data_plane, server_id, is_armed: true }
    }

    /// The request is sent now: from here on a `ServerRequestGuard` records its result.
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
