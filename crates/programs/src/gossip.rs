//! The UDP socket of the membership protocol: sends and receives the datagrams of [`Membership`].

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;

use mosshead_membership::{Datagram, Membership};
use mosshead_time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::clock::Clock;

/// The maximum length of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1500;
/// The shortest sleep between two ticks, unless a datagram arrives.
const MIN_SLEEP: Duration = Duration::from_millis(20);
/// The longest sleep between two ticks.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// The membership protocol on its socket.
pub(crate) struct Gossip {
    membership: RefCell<Membership>,
    socket: UdpSocket,
    clock: Clock,
}

impl Gossip {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// The address is in use, or is not one of this machine.
    pub(crate) async fn bind(
        address: SocketAddrV4,
        membership: Membership,
        clock: Clock,
    ) -> io::Result<Rc<Gossip>> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Rc::new(Gossip { membership: RefCell::new(membership), socket, clock }))
    }

    /// Sends and receives datagrams for as long as the future is polled.
    pub(crate) async fn run(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let now = self.clock.now();
            let due = self.membership.borrow_mut().tick(now);
            self.send(due);
            let wake = self.membership.borrow().next_wake(now).clamp(now + MIN_SLEEP, now + MAX_SLEEP);
            tokio::select! {
                () = sleep(wake - now) => {}
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, SocketAddr::V4(sender))) = received
                        && let Some(payload) = buffer.get(..length)
                    {
                        self.on_datagram(sender, payload);
                    }
                }
            }
        }
    }

    fn on_datagram(&self, sender: SocketAddrV4, payload: &[u8]) {
        let replies = self.membership.borrow_mut().receive(self.clock.now(), sender, payload);
        self.send(replies);
    }

    fn send(&self, datagrams: Vec<Datagram>) {
        for datagram in datagrams {
            // If the send buffer is full, the datagram is dropped: the protocol repeats important updates, and
            // waiting would delay the received datagrams.
            let _ = self.socket.try_send_to(&datagram.payload, SocketAddr::V4(datagram.destination));
        }
    }

    /// Announces to the other members that this process shuts down.
    pub(crate) fn announce_departure(&self) {
        let datagrams = self.membership.borrow_mut().leave(self.clock.now());
        self.send(datagrams);
    }

    /// Replaces the seeds. Known members are kept.
    pub(crate) fn set_seeds(&self, seeds: Vec<SocketAddrV4>) {
        self.membership.borrow_mut().set_seeds(seeds);
    }

    /// The number of proxies that are alive or suspected.
    pub(crate) fn live_proxy_count(&self) -> usize {
        self.membership.borrow().live_proxy_count()
    }

    /// Appends the addresses of the control nodes that are alive or suspected.
    pub(crate) fn append_control_nodes(&self, addresses: &mut Vec<SocketAddrV4>) {
        let membership = self.membership.borrow();
        let live = membership.members().filter(|(peer, state)| peer.is_control_node && state.is_live());
        addresses.extend(live.map(|(peer, _)| peer.address));
    }
}
