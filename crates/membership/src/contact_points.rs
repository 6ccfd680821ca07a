//! Addresses to try when members are missing: seeds, addresses known from elsewhere, and those of dead members.

use core::net::SocketAddrV4;
use std::collections::VecDeque;

use rand_core::RngCore;

use crate::random::{index, shuffle};

const MAX_SEEDS: usize = 16;
const MAX_ADDED: usize = 256;
const MAX_LOST: usize = 256;
/// Draws of one call of [`ContactPoints::draw_absent`].
const MAX_DRAWS: usize = 4;

/// The addresses, each list bounded.
#[derive(Default)]
pub(crate) struct ContactPoints {
    seeds: Vec<SocketAddrV4>,
    /// Addresses that the host has added.
    added: VecDeque<SocketAddrV4>,
    /// Addresses of members that died.
    lost: VecDeque<SocketAddrV4>,
    /// Where [`ContactPoints::next`] starts.
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
    pub(crate) fn next(&mut self, count: usize, local: SocketAddrV4) -> Vec<SocketAddrV4> {
        let all = self.seeds.iter().chain(&self.added).chain(&self.lost);
        let remote: Vec<SocketAddrV4> = all.filter(|address| **address != local).copied().collect();
        let Some(start) = self.next_start.checked_rem(remote.len()) else { return remote };
        self.next_start = start + 1;
        remote.iter().cycle().skip(start).take(count.min(remote.len())).copied().collect()
    }

    /// An address that no live member has: with equal odds of a lost member, or a seed or added one.
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
        let configured = self.seeds.len() + self.added.len();
        let is_from_lost = !self.lost.is_empty() && (configured == 0 || index(rng, 2) == 0);
        if is_from_lost {
            self.lost.get(index(rng, self.lost.len())).copied()
        } else {
            self.seeds.iter().chain(&self.added).nth(index(rng, configured)).copied()
        }
    }
}

fn push_bounded(list: &mut VecDeque<SocketAddrV4>, address: SocketAddrV4, max_length: usize) {
    list.retain(|known| *known != address);
    list.push_back(address);
    if list.len() > max_length {
        list.pop_front();
    }
}
