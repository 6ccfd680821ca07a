//! Messages of the control state to other core machines.

use std::net::SocketAddrV4;
use std::rc::Rc;

use mosshead_headworks::{Message, Node};
use tokio::time::Duration;

use super::Core;
use crate::calls::Epoch;

/// A message of the control state is worth so much time.
pub(super) const MESSAGE: Duration = Duration::from_millis(900);
/// So many messages are on the way to one machine.
const MESSAGES: usize = 8;

impl Core {
    pub(super) fn send(self: &Rc<Self>, to: SocketAddrV4, message: Message) {
        let mut under_way = self.under_way.borrow_mut();
        let count = under_way.entry(to).or_default();
        // Danger: messages to a machine that is gone must not pile up; the state is made for lost ones.
        if *count >= MESSAGES {
            return;
        }
        *count += 1;
        drop(under_way);
        let Some(from) = self.node.borrow().as_ref().map(Node::me) else { return };
        let core = self.clone();
        tokio::task::spawn_local(async move {
            let _ = core.caller.call(to, &Epoch { from, message }, MESSAGE).await;
            if let Some(count) = core.under_way.borrow_mut().get_mut(&to) {
                *count = count.saturating_sub(1);
            }
        });
    }
}
