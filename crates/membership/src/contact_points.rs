//! Addresses to try when members are missed: seeds, learnt ones, and where lost members were.

use core::net::SocketAddrV4;
use std::collections::VecDeque;

use rand_core::RngCore;

use crate::random::{index, shuffle};

const SEEDS_MAX: usize = 16;
const LEARNT_MAX: usize = 256;
const LOST_MAX: usize = 256;
const DRAWS: usize = 4;

#[derive(Default)]
pub(crate) struct Contacts {
    seeds: Vec<SocketAddrV4>,
    learnt: VecDeque<SocketAddrV4>,
    lost: VecDeque<SocketAddrV4>,
    turn: usize,
}

impl Contacts {
    /// In an order of one's own, so that not all newcomers ask the same one first.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>, generator: &mut dyn RngCore) {
        self.seeds = seeds;
        shuffle(generator, &mut self.seeds);
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

    /// The next `count` to ask for the list, seeds first, not oneself.
    pub(crate) fn next(&mut self, count: usize, me: SocketAddrV4) -> Vec<SocketAddrV4> {
        let all = self.seeds.iter().chain(&self.learnt).chain(&self.lost);
        let open: Vec<SocketAddrV4> = all.filter(|address| **address != me).copied().collect();
        let Some(start) = self.turn.checked_rem(open.len()) else { return open };
        // One further each time, so that another one is the first.
        self.turn = start + 1;
        open.iter().cycle().skip(start).take(count.min(open.len())).copied().collect()
    }

    /// One that isn't a member's now: a seed or learnt one, or a lost one, by halves. Of few draws, since looking for members is
    /// work; learnt and lost ones that are members are struck out by the way.
    pub(crate) fn draw(
        &mut self,
        generator: &mut dyn RngCore,
        member: impl Fn(SocketAddrV4) -> bool,
    ) -> Option<SocketAddrV4> {
        for _ in 0..DRAWS {
            let told = self.seeds.len() + self.learnt.len();
            let from_lost = !self.lost.is_empty() && (told == 0 || index(generator, 2) == 0);
            let drawn = if from_lost {
                self.lost.get(index(generator, self.lost.len()))
            } else {
                self.seeds.iter().chain(&self.learnt).nth(index(generator, told))
            };
            let address = *drawn?;
            if !member(address) {
                return Some(address);
            }
            self.found(address);
            self.learnt.retain(|known| *known != address);
        }
        None
    }
}

fn push(list: &mut VecDeque<SocketAddrV4>, address: SocketAddrV4, most: usize) {
    list.retain(|known| *known != address);
    list.push_back(address);
    if list.len() > most {
        list.pop_front();
    }
}
