//! Leadership transfer: a primary that steps down asks another node to take over.

use core::net::SocketAddrV4;
use core::time::Duration;

use mosshead_time::Instant;

use crate::context::Context;
use crate::message::Message;
use crate::term::Term;

/// The request is sent again for this long, since it may be lost.
const RESEND_PERIOD: Duration = Duration::from_millis(300);

/// The transfer of leadership from this node to another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct LeadershipTransfer {
    in_progress: Option<Transfer>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Transfer {
    to: SocketAddrV4,
    /// The term of the primary that steps down.
    term: Term,
    started_at: Instant,
    sent_at: Instant,
}

impl LeadershipTransfer {
    /// Requests the successor to take over.
    pub(crate) fn start(&mut self, context: &mut Context, to: SocketAddrV4, term: Term) {
        context.send(to, Message::TransferLeadership { term });
        let now = context.now();
        self.in_progress = Some(Transfer { to, term, started_at: now, sent_at: now });
    }

    /// Ends the transfer, because this node is primary again.
    pub(crate) fn cancel(&mut self) {
        self.in_progress = None;
    }

    /// The successor, while it is likely to be the next primary.
    pub(crate) fn likely_primary(&self, context: &Context) -> Option<SocketAddrV4> {
        let transfer = self.in_progress.filter(|transfer| !transfer.is_over(context))?;
        Some(transfer.to)
    }

    /// Sends the request again when it may have been lost, and ends a transfer that is over. `promised` is the highest
    /// promise of this node.
    pub(crate) fn run_timers(&mut self, context: &mut Context, promised: Term) {
        let Some(transfer) = &mut self.in_progress else { return };
        if transfer.is_over(context) {
            self.in_progress = None;
        } else if transfer.is_resend_due(context, promised) {
            transfer.sent_at = context.now();
            context.send(transfer.to, Message::TransferLeadership { term: transfer.term });
        }
    }
}

impl Transfer {
    fn is_over(&self, context: &Context) -> bool {
        context.elapsed(self.started_at) > 2 * context.timings().suspicion_timeout
    }

    fn is_resend_due(&self, context: &Context, promised: Term) -> bool {
        let is_taken_over = promised > self.term;
        let is_due = context.elapsed(self.sent_at) >= context.timings().resend_interval;
        !is_taken_over && context.elapsed(self.started_at) <= RESEND_PERIOD && is_due
    }
}
