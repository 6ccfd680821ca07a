//! The socket of membership: datagrams to and from `membership`.

use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;

use mosshead_membership::{Datagram, Membership};
use mosshead_time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// A datagram is at most this long.
const LONGEST: usize = 1500;
/// Shortest and longest sleep between two ticks.
const MIN_SLEEP: Duration = Duration::from_millis(20);
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// Membership on its socket.
pub struct Gossip {
    /// The state.
    pub membership: RefCell<Membership>,
    socket: UdpSocket,
    start: tokio::time::Instant,
}

impl Gossip {
    /// Binds its socket.
    pub async fn bind(address: SocketAddrV4, membership: Membership) -> std::io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Rc::new(Self { membership: RefCell::new(membership), socket, start: tokio::time::Instant::now() }))
    }

    fn now(&self) -> Instant {
        Instant::ORIGIN + self.start.elapsed()
    }

    async fn send(&self, datagrams: Vec<Datagram>) {
        for datagram in datagrams {
            // Danger: a full link drops datagrams; waiting here would hold up what was heard.
            let _ = self.socket.try_send_to(&datagram.payload, SocketAddr::V4(datagram.destination));
        }
    }

    /// Runs for as long as it is polled.
    pub async fn run(self: Rc<Self>) {
        let mut buffer = vec![0; LONGEST];
        loop {
            let now = self.now();
            let due = self.membership.borrow_mut().tick(now);
            self.send(due).await;
            let wake = self.membership.borrow().next_wake(now).clamp(now + MIN_SLEEP, now + MAX_SLEEP);
            let wait = sleep(wake - now);
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

    /// How many proxies are alive or suspect.
    pub fn live_proxies(&self) -> usize {
        self.membership.borrow().live_proxies()
    }
}
