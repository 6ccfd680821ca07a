//! The successor's side: it requests the socket and the list, and takes the descriptors that it is granted.

use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::path::Path;
use std::rc::Rc;

use mosshead_snapshot::server_list::ServerList;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt};
use tokio::time::timeout;

use super::error::HandoverError;
use super::protocol::{ACCEPTING, HandoverLink, PredecessorMessage, TAKE_OVER};
use super::{HANDOVER_TIMEOUT, Handover, socket};
use crate::log::log_event;

/// What a predecessor has handed over.
pub(crate) struct HandedOver {
    pub(crate) listener: StdTcpListener,
    /// The endpoint list as the predecessor knows it.
    pub(crate) known: ServerList,
    pub(crate) link: HandoverLink,
}

/// Asks the process that serves at `listen` and accepts successors at `path` to hand over. Returns none if there is no
/// such process.
///
/// # Errors
/// The process at `path` has not handed over a listener at `listen` and a list in time.
pub(crate) async fn request_handover(
    path: &Path,
    listen: SocketAddr,
) -> Result<Option<HandedOver>, HandoverError> {
    let handed_over = timeout(HANDOVER_TIMEOUT, connect_and_receive(path, listen)).await;
    handed_over.unwrap_or(Err(HandoverError::NoReply))
}

async fn connect_and_receive(path: &Path, listen: SocketAddr) -> Result<Option<HandedOver>, HandoverError> {
    let Some(mut stream) = socket::connect(path).await? else { return Ok(None) };
    stream.write_all(format!("{TAKE_OVER}\n").as_bytes()).await?;
    let listener = socket::check_listener(socket::receive_socket(&stream).await?, listen)?;
    let mut link = HandoverLink::new(stream);
    let known = link.read_list().await?;
    Ok(Some(HandedOver { listener, known, link }))
}

impl Handover {
    /// Takes what the predecessor grants until it ends, and notifies it once this process accepts connections.
    pub(super) async fn follow_predecessor(self: Rc<Self>, link: HandoverLink) {
        let HandoverLink { reader, mut writer } = link;
        let mut lines = reader.lines();
        let mut is_accepting = self.is_accepting.subscribe();
        let mut has_announced_accepting = false;
        loop {
            tokio::select! {
                line = lines.next_line() => match line {
                    Ok(Some(line)) => self.on_predecessor_line(&line),
                    Ok(None) | Err(_) => break,
                },
                Ok(_) = is_accepting.wait_for(|is_accepting| *is_accepting), if !has_announced_accepting => {
                    has_announced_accepting = true;
                    if writer.write_all(format!("{ACCEPTING}\n").as_bytes()).await.is_err() {
                        break;
                    }
                }
            }
        }
        log_event!("predecessor gone");
        self.shares.take_over_rest();
        self.is_predecessor_leaving.send_replace(true);
    }

    fn on_predecessor_line(&self, line: &str) {
        match PredecessorMessage::parse(line) {
            Some(PredecessorMessage::Grant(granted)) => self.shares.add(granted),
            Some(PredecessorMessage::Stopping) => {
                self.is_predecessor_leaving.send_replace(true);
            }
            None => {}
        }
    }
}
