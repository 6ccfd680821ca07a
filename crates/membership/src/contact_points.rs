//! Addresses to contact when members are missing: seeds, addresses added by the host, and addresses of dead members.

use core::net::SocketAddrV4;
use std::collections::VecDeque;

use rand_core::RngCore;

use crate::random::{index, shuffle};

/// The maximum number of seeds. If there are more, a random selection is kept.
const MAX_SEEDS: usize = 16;
/// The maximum number of added addresses. The oldest are dropped.
const MAX_ADDED: usize = 256;
/// The maximum number of addresses of dead members. The oldest are dropped.
const MAX_LOST: usize = 256;
/// The maximum number of draws in one call of [`ContactPoints::draw_absent`].
const MAX_DRAWS: usize = 4;

/// Bounded lists of addresses.
#[derive(Default)]
pub(crate) struct ContactPoints {
    /// Addresses from the configuration, shuffled.
    seeds: Vec<SocketAddrV4>,
    /// Addresses that the host has added.
    added: VecDeque<SocketAddrV4>,
    /// Addresses of dead members.
    lost: VecDeque<SocketAddrV4>,
    /// The index at which [`ContactPoints::next_for_join`] starts in the list of all remote addresses. It may be past
    /// the end, because the list may have become shorter.
    next_start: usize,
}

impl ContactPoints {
    /// Replaces the seeds. They are shuffled, so that new members don't all contact the same seed first.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>, rng: &mut dyn RngCore) {
        self.seeds = seeds;
        shuffle(rng, &mut self.seeds);
        self.seeds.truncate(MAX_SEEDS);
    }

    /// Adds an address that the host has discovered.
    pub(crate) fn add(&mut self, address: SocketAddrV4) {
        push_bounded(&mut self.added, address, MAX_ADDED);
    }

    /// Adds the address of a member that died.
    pub(crate) fn add_lost(&mut self, address: SocketAddrV4) {
        push_bounded(&mut self.lost, address, MAX_LOST);
    }

    /// Removes the address of a dead member that has come back or has left.
    pub(crate) fn remove_lost(&mut self, address: SocketAddrV4) {
        self.lost.retain(|known| *known != address);
    }

    /// Up to `count` remote addresses for an attempt to join. Each call starts at the next address.
    pub(crate) fn next_for_join(&mut self, count: usize, local: SocketAddrV4) -> Vec<SocketAddrV4> {
        let all = self.seeds.iter().chain(&self.added).chain(&self.lost);
        let remote: Vec<SocketAddrV4> = all.filter(|address| **address != local).copied().collect();
        let Some(start) = self.next_start.checked_rem(remote.len()) else { return remote };
        self.next_start = start + 1;
        remote.iter().cycle().skip(start).take(count.min(remote.len())).copied().collect()
    }

    /// A random address that no live member has: with equal probability the address of a dead member, or one of the
    /// seeds and added addresses.
    ///
    /// Gives up after [`MAX_DRAWS`] draws, because `is_live` iterates over all members. Drawn addresses of live
    /// members are removed, except for seeds.
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

/// Appends an address or moves it to the end. If the list exceeds `max_length`, drops the oldest address.
fn push_bounded(list: &mut VecDeque<SocketAddrV4>, address: SocketAddrV4, max_length: usize) {
    list.retain(|known| *known != address);
    list.push_back(address);
    if list.len() > max_length {
        list.pop_front();
    }
}
