//! Addresses to try when members are missed: seeds, learnt ones, and where lost members were.

use core::net::SocketAddrV4;
use std::collections::{BTreeSet, VecDeque};

use rand_core::RngCore;

use crate::random::index;

const SEEDS_MAX: usize = 16;
const LEARNT_MAX: usize = 256;
const LOST_MAX: usize = 256;

#[derive(Default)]
pub(crate) struct Contacts {
    seeds: Vec<SocketAddrV4>,
    learnt: VecDeque<SocketAddrV4>,
    lost: VecDeque<SocketAddrV4>,
    turn: usize,
}

impl Contacts {
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
        self.seeds.truncate(SEEDS_MAX);
    }

    pub(crate) fn learn(&mut self, address: SocketAddrV4) {
        push(&mut self.learnt, address, LEARNT_MAX);
    }

    pub(crate) fn lose(&mut self, address: SocketAddrV4) {
        push(&mut self.lost, address, LOST_MAX);
    }

    /// Who is a member again, or left for good, isn't lost.
    pub(crate) fn found(&mut self, address: SocketAddrV4) {
        self.lost.retain(|known| *known != address);
    }

    /// The next to ask for the list, seeds first.
    pub(crate) fn next(&mut self, except: &BTreeSet<SocketAddrV4>) -> Option<SocketAddrV4> {
        let all = self.seeds.iter().chain(&self.learnt).chain(&self.lost);
        let open: Vec<SocketAddrV4> = all.filter(|address| !except.contains(address)).copied().collect();
        let turn = self.turn.checked_rem(open.len())?;
        self.turn = turn + 1;
        open.get(turn).copied()
    }

    /// One of those that aren't members now: a seed or learnt one, or a lost one, by halves.
    pub(crate) fn draw(
        &self,
        generator: &mut dyn RngCore,
        members: &BTreeSet<SocketAddrV4>,
    ) -> Option<SocketAddrV4> {
        let open = |address: &&SocketAddrV4| !members.contains(address);
        let told: Vec<SocketAddrV4> = self.seeds.iter().chain(&self.learnt).filter(open).copied().collect();
        let lost: Vec<SocketAddrV4> = self.lost.iter().filter(open).copied().collect();
        let from = match (told.is_empty(), lost.is_empty()) {
            (false, false) if index(generator, 2) == 0 => told,
            (_, false) => lost,
            _ => told,
        };
        from.get(index(generator, from.len())).copied()
    }
}

fn push(list: &mut VecDeque<SocketAddrV4>, address: SocketAddrV4, most: usize) {
    list.retain(|known| *known != address);
    list.push_back(address);
    if list.len() > most {
        list.pop_front();
    }
}
