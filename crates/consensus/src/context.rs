//! The context that all parts of a node need: settings, the local member, the time of the current step, and its outputs.

use core::net::SocketAddrV4;
use core::time::Duration;

use mosshead_time::Instant;

use crate::event::{ClientReply, Output};
use crate::injected_fault::InjectedFault;
use crate::message::Message;
use crate::settings::Settings;
use crate::term::Member;
use crate::timings::Timings;

/// Passed to the parts of a node in each step.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Context {
    settings: Settings,
    local: Member,
    started_at: Instant,
    /// The time of the current step; it never goes back.
    now: Instant,
    /// In the order in which the host carries them out; empty between steps.
    outputs: Vec<Output>,
}

impl Context {
    pub(crate) fn new(settings: Settings, local: Member, now: Instant) -> Context {
        Context { settings, local, started_at: now, now, outputs: Vec::new() }
    }

    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.settings.seeds = seeds;
    }

    pub(crate) fn local(&self) -> Member {
        self.local
    }

    /// When this node was created.
    pub(crate) fn started_at(&self) -> Instant {
        self.started_at
    }

    /// The time of the current step.
    pub(crate) fn now(&self) -> Instant {
        self.now
    }

    /// Starts a step. A `now` before that of the previous step counts as the previous one.
    pub(crate) fn start_step(&mut self, now: Instant) {
        self.now = self.now.max(now);
    }

    pub(crate) fn timings(&self) -> &Timings {
        &self.settings.timings
    }

    /// Returns true if a test has injected this fault.
    #[cfg(feature = "fault-injection")]
    pub(crate) fn has_fault(&self, fault: InjectedFault) -> bool {
        self.settings.injected_fault == Some(fault)
    }

    /// Without the `fault-injection` feature there is no fault, and the compiler removes the code that depends on one.
    #[cfg(not(feature = "fault-injection"))]
    pub(crate) const fn has_fault(&self, _: InjectedFault) -> bool {
        false
    }

    /// The time since an instant.
    pub(crate) fn elapsed(&self, since: Instant) -> Duration {
        self.now - since
    }

    /// Sends a message, except to this node itself.
    pub(crate) fn send(&mut self, to: SocketAddrV4, message: Message) {
        if to != self.local.address {
            self.outputs.push(Output::Send { to, message });
        }
    }

    pub(crate) fn reply(&mut self, request_id: u64, reply: ClientReply) {
        self.outputs.push(Output::Reply { request_id, reply });
    }

    pub(crate) fn output(&mut self, output: Output) {
        self.outputs.push(output);
    }

    /// Ends a step and returns its outputs.
    pub(crate) fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns true if a lease that was confirmed at `confirmed_at` is valid at `now`.
    pub(crate) fn is_within_lease(&self, confirmed_at: Option<Instant>, now: Instant) -> bool {
        confirmed_at.is_some_and(|at| now - at <= self.settings.timings.lease)
    }
}
