//! The socket of membership: datagrams to and from `membership`.

use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;

use mosshead_membership::Membership;
use tokio::net::UdpSocket;
use tokio::time::{Duration, Instant, sleep};

/// A datagram is at most this long.
const LONGEST: usize = 1500;

/// Membership on its socket.
pub struct Gossip {
    /// The state.
    pub membership: RefCell<Membership>,
    socket: UdpSocket,
    start: Instant,
}

impl Gossip {
    /// Binds its socket.
    pub async fn bind(address: SocketAddrV4, membership: Membership) -> std::io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Rc::new(Self { membership: RefCell::new(membership), socket, start: Instant::now() }))
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    async fn send(&self, datagrams: Vec<(SocketAddrV4, Vec<u8>)>) {
        for (to, datagram) in datagrams {
            // Danger: a full link drops datagrams; waiting here would hold up what was heard.
            let _ = self.socket.try_send_to(&datagram, SocketAddr::V4(to));
        }
    }

    /// Runs for as long as it is polled.
    pub async fn run(self: Rc<Self>) {
        let mut buffer = vec![0; LONGEST];
        loop {
            let now = self.now();
            let due = self.membership.borrow_mut().tick(now);
            self.send(due).await;
            let wake = self.membership.borrow().next_wake(now).clamp(now + 20, now + 500);
            let wait = sleep(Duration::from_millis(wake - now));
            tokio::select! {
                () = wait => {}
                came = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, SocketAddr::V4(from))) = came
                        && let Some(bytes) = buffer.get(..length)
                    {
                        let answers = self.membership.borrow_mut().receive(self.now(), from, bytes);
                        self.send(answers).await;
                    }
                }
            }
        }
    }

    /// Tells others of the planned end.
    pub async fn leave(&self) {
        let last = self.membership.borrow_mut().leave(self.now());
        self.send(last).await;
    }

    /// Living proxies, or machines of the core.
    pub fn count(&self, core: bool) -> usize {
        self.membership.borrow().count(core)
    }
}
