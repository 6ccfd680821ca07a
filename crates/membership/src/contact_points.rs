//! Addresses to try when members are missing: seeds, addresses known from elsewhere, and those of dead members.

use core::net::SocketAddrV4;
use std::collections::VecDeque;

use rand_core::RngCore;

use crate::random::{index, shuffle};

/// Bound of the seeds; more are dropped at random.
const MAX_SEEDS: usize = 16;
/// Bound of the added addresses; the oldest are dropped.
const MAX_ADDED: usize = 256;
/// Bound of the addresses of dead members; the oldest are dropped.
const MAX_LOST: usize = 256;
/// Maximum number of draws of one call of [`ContactPoints::draw_absent`].
const MAX_DRAWS: usize = 4;

/// The addresses, each list bounded.
#[derive(Default)]
pub(crate) struct ContactPoints {
    /// Addresses from the configuration, shuffled.
    seeds: Vec<SocketAddrV4>,
    /// Addresses that the host knows from elsewhere.
    added: VecDeque<SocketAddrV4>,
    /// Addresses of members that died.
    lost: VecDeque<SocketAddrV4>,
    /// Where [`ContactPoints::next_for_join`] starts in the list of all addresses but the local one. May lie behind its end,
    /// since the list may have become shorter.
    next_start: usize,
}

impl ContactPoints {
    /// Replaces the seeds. They are shuffled, so that not all new members contact the same one first.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>, rng: &mut dyn RngCore) {
        self.seeds = seeds;
        shuffle(rng, &mut self.seeds);
        self.seeds.truncate(MAX_SEEDS);
    }

    /// Adds an address that the host knows from elsewhere.
    pub(crate) fn add(&mut self, address: SocketAddrV4) {
        push_bounded(&mut self.added, address, MAX_ADDED);
    }

    /// Adds the address of a member that died.
    pub(crate) fn add_lost(&mut self, address: SocketAddrV4) {
        push_bounded(&mut self.lost, address, MAX_LOST);
    }

    /// Drops the address of a lost member that is a member again or has left.
    pub(crate) fn remove_lost(&mut self, address: SocketAddrV4) {
        self.lost.retain(|known| *known != address);
    }

    /// Up to `count` addresses for an attempt to join, without the local one. The first is another one each time.
    pub(crate) fn next_for_join(&mut self, count: usize, local: SocketAddrV4) -> Vec<SocketAddrV4> {
        let all = self.seeds.iter().chain(&self.added).chain(&self.lost);
        let remote: Vec<SocketAddrV4> = all.filter(|address| **address != local).copied().collect();
        let Some(start) = self.next_start.checked_rem(remote.len()) else { return remote };
        self.next_start = start + 1;
        remote.iter().cycle().skip(start).take(count.min(remote.len())).copied().collect()
    }

    /// A random address that no live member has: with equal probability one of a dead member, or one of the seeds and added
    /// addresses.
    ///
    /// The search gives up after a few draws, since `is_live` walks over all members. Addresses of live members that it
    /// meets are removed, except for seeds.
    pub(crate) fn draw_absent(
        &mut self,
        rng: &mut dyn RngCore,
        is_live: impl Fn(SocketAddrV4) -> bool,
    ) -> Option<SocketAddrV4> {
        for _ in 0..MAX_DRAWS {
            let address = self.draw(rng)?;
            if !is_live(address) {
                return Some(address);
            }
            self.remove_lost(address);
            self.added.retain(|known| *known != address);
        }
        None
    }

    fn draw(&self, rng: &mut dyn RngCore) -> Option<SocketAddrV4> {
        let seeds_and_added = self.seeds.len() + self.added.len();
        let is_from_lost = !self.lost.is_empty() && (seeds_and_added == 0 || index(rng, 2) == 0);
        if is_from_lost {
            self.lost.get(index(rng, self.lost.len())).copied()
        } else {
            self.seeds.iter().chain(&self.added).nth(index(rng, seeds_and_added)).copied()
        }
    }
}

/// Appends an address, or moves it to the end; drops the oldest one of more than `max_length`.
fn push_bounded(list: &mut VecDeque<SocketAddrV4>, address: SocketAddrV4, max_length: usize) {
    list.retain(|known| *known != address);
    list.push_back(address);
    if list.len() > max_length {
        list.pop_front();
    }
}
