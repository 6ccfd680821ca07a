//! The predecessor's side: it hands over to each successor that asks, and grants it descriptors in steps.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use mosshead_snapshot::server_list::write_server_list;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt};
use tokio::net::unix::OwnedWriteHalf;
use tokio::net::{UnixListener, UnixStream};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout};

use super::error::SendStateError;
use super::protocol::{ACCEPTING, HandoverLink, PredecessorMessage, TAKE_OVER};
use super::shares::{BudgetShares, PerSide};
use super::{HANDOVER_TIMEOUT, Handover, socket};
use crate::log::log_event;

/// The interval between grants of descriptors.
const GRANT_INTERVAL: Duration = Duration::from_millis(20);
/// The delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The descriptors that a successor opens in addition to its connections while it serves. Both sides reserve them for
/// it, and they are not part of a grant.
const SERVING_DESCRIPTORS: usize = 8;
/// The minimum share of each side for a successor that does not accept yet. Idle connections are closed here to free
/// it: otherwise a process without free descriptors would leave its successor none to serve with.
const MIN_SHARE_DIVISOR: usize = 8;
/// The share of each side for a successor that accepts while this process still serves.
const ACCEPTING_SHARE_DIVISOR: usize = 2;

impl Handover {
    pub(super) async fn accept_successors(self: Rc<Self>, listener: UnixListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(spawn_local(self.clone().serve_successor(stream))),
                Err(error) => {
                    log_event!(why = %error, "accept failed");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Hands over to a successor and shares the limits with it until either process ends.
    async fn serve_successor(self: Rc<Self>, stream: UnixStream) {
        if !socket::is_peer_trusted(&stream) {
            return log_event!("handover refused: another user asked");
        }
        let sent = timeout(HANDOVER_TIMEOUT, self.send_state(stream)).await;
        let link = match sent.unwrap_or(Err(SendStateError::TimedOut)) {
            Ok(link) => link,
            Err(error) => return log_event!(why = %error, "handover failed"),
        };
        log_event!("handed over");
        let successor = self.share_until_either_ends(link).await;
        self.shares.return_lent(successor.granted.plus(successor.reserved));
        log_event!(accepted = successor.is_accepting, "successor gone");
        if successor.is_accepting {
            self.accepting_successors.send_modify(|count| *count -= 1);
            if self.listener.borrow().is_some() && !*self.is_stopping.borrow() {
                self.listen_for_successors();
            }
        }
    }

    /// Sends the listening socket and the endpoint list after the successor's request for them.
    async fn send_state(&self, stream: UnixStream) -> Result<HandoverLink, SendStateError> {
        let mut link = HandoverLink::new(stream);
        if link.read_line().await?.ok_or(SendStateError::Ended)? != TAKE_OVER {
            return Err(SendStateError::UnknownRequest);
        }
        let stream = link.into_stream()?;
        let listener = self.listener.borrow().clone().ok_or(SendStateError::NotListening)?;
        let list = self.balancer.current_list().await.ok_or(SendStateError::NoList)?;
        let list = write_server_list(&list).ok_or(SendStateError::NoList)?;
        socket::send_socket(&stream, &*listener).await?;
        let mut link = HandoverLink::new(stream);
        link.write_list(&list).await?;
        Ok(link)
    }

    /// Grants descriptors at intervals until the successor ends; returns its last state.
    async fn share_until_either_ends(&self, link: HandoverLink) -> Successor {
        let HandoverLink { reader, mut writer } = link;
        let mut lines = reader.lines();
        let mut ticks = interval(GRANT_INTERVAL);
        let mut successor = Successor::new(&self.shares);
        loop {
            tokio::select! {
                line = lines.next_line() => match line {
                    Ok(Some(line)) if line == ACCEPTING && !successor.is_accepting => {
                        successor.is_accepting = true;
                        self.accepting_successors.send_modify(|count| *count += 1);
                        self.stop_accepting_successors();
                    }
                    Ok(Some(_)) => {}
                    Ok(None) | Err(_) => return successor,
                },
                _ = ticks.tick() => {
                    let is_stopping = *self.is_stopping.borrow();
                    if successor.grant_more(&self.shares, is_stopping, &mut writer).await.is_err() {
                        return successor;
                    }
                }
            }
        }
    }
}

/// The predecessor's record of a successor that it has handed over to.
struct Successor {
    is_accepting: bool,
    is_stop_notified: bool,
    /// What it is granted before it accepts: half of what was free. The rest stays for requests that arrive here
    /// meanwhile.
    initial_share: PerSide<usize>,
    /// The descriptors granted so far.
    granted: PerSide<usize>,
    /// The descriptors kept free for those that it opens without a grant.
    reserved: PerSide<usize>,
}

impl Successor {
    fn new(shares: &BudgetShares) -> Self {
        let initial_share = shares.available().map(|available| available / 2);
        Self {
            is_accepting: false,
            is_stop_notified: false,
            initial_share,
            granted: PerSide::default(),
            reserved: shares.lend(PerSide::both(SERVING_DESCRIPTORS)),
        }
    }

    /// The target number of descriptors of each side.
    fn target_share(&self, totals: PerSide<usize>, is_stopping: bool) -> PerSide<usize> {
        self.initial_share.zip(totals).map(|(initial, total)| {
            let accepting_share = total / ACCEPTING_SHARE_DIVISOR;
            match (is_stopping, self.is_accepting) {
                (true, _) => usize::MAX,
                (false, true) => accepting_share,
                (false, false) => initial.clamp(total / MIN_SHARE_DIVISOR, accepting_share),
            }
        })
    }

    /// Grants the free part of its target, and notifies it once when this process stops.
    async fn grant_more(
        &mut self,
        shares: &BudgetShares,
        is_stopping: bool,
        writer: &mut OwnedWriteHalf,
    ) -> io::Result<()> {
        let totals = shares.totals();
        let due = self.target_share(totals, is_stopping).saturating_minus(self.granted);
        let more = shares.lend(due);
        self.granted = self.granted.plus(more);
        let is_lacking = self.granted.zip(totals).map(|(granted, total)| granted < total / MIN_SHARE_DIVISOR);
        shares.request_release_where(is_lacking);
        let mut lines = String::new();
        if more != PerSide::default() {
            lines = PredecessorMessage::Grant(more).to_line();
        }
        if is_stopping && !self.is_stop_notified {
            self.is_stop_notified = true;
            lines += &PredecessorMessage::Stopping.to_line();
        }
        writer.write_all(lines.as_bytes()).await
    }
}
