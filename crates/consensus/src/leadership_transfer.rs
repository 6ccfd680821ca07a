//! A primary gives its role to another node.

use core::net::SocketAddrV4;
use core::time::Duration;

use mosshead_time::Instant;

use crate::context::Context;
use crate::message::Message;
use crate::term::Term;

/// The transfer is sent again for this long, as it may be lost.
const RESEND_PERIOD: Duration = Duration::from_millis(300);

/// The role of the primary on its way to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeadershipTransfer {
    to: SocketAddrV4,
    /// The term of the primary that gives up its role.
    term: Term,
    started_at: Instant,
    sent_at: Instant,
}

impl LeadershipTransfer {
    /// Tells the successor to take over.
    pub(crate) fn start(context: &mut Context, to: SocketAddrV4, term: Term) -> LeadershipTransfer {
        context.send(to, Message::TransferLeadership { term });
        LeadershipTransfer { to, term, started_at: context.now, sent_at: context.now }
    }

    /// The successor, while it is likely to be the next primary.
    pub(crate) fn likely_primary(&self, context: &Context) -> Option<SocketAddrV4> {
        (context.elapsed(self.started_at) <= 2 * context.timings().suspicion_timeout).then_some(self.to)
    }

    /// Sends the transfer again where it may be lost. Returns whether it is over.
    pub(crate) fn run_timers(&mut self, context: &mut Context, promised: Term) -> bool {
        let age = context.elapsed(self.started_at);
        if age > 2 * context.timings().suspicion_timeout {
            return true;
        }
        let is_taken_over = promised > self.term;
        let is_due = context.elapsed(self.sent_at) >= context.timings().resend_interval;
        if !is_taken_over && age <= RESEND_PERIOD && is_due {
            self.sent_at = context.now;
            context.send(self.to, Message::TransferLeadership { term: self.term });
        }
        false
    }
}
