//! The two kinds of load that a request can put on a server.

use mosshead_registry::Stage;

/// The kind of load that a request puts on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadKind {
    /// The server prefills a prompt for a decode server.
    Prefill,
    /// The server generates tokens, or handles a request of a service that has no prefill and decode stages.
    Decode,
}

impl LoadKind {
    /// The kind of load that a server of this stage takes.
    pub(crate) fn of_stage(stage: Option<Stage>) -> Self {
        if stage == Some(Stage::Prefill) { Self::Prefill } else { Self::Decode }
    }
}

/// One value for each kind of load.
#[derive(Clone, Debug, Default)]
pub(crate) struct PerLoadKind<T> {
    pub(crate) prefill: T,
    pub(crate) decode: T,
}

impl<T> PerLoadKind<T> {
    pub(crate) fn get(&self, kind: LoadKind) -> &T {
        match kind {
            LoadKind::Prefill => &self.prefill,
            LoadKind::Decode => &self.decode,
        }
    }

    pub(crate) fn get_mut(&mut self, kind: LoadKind) -> &mut T {
        match kind {
            LoadKind::Prefill => &mut self.prefill,
            LoadKind::Decode => &mut self.decode,
        }
    }
}
