//! Lists for newcomers and repair of what was missed: parts that differ, in pages.

use core::net::SocketAddrV4;

use rand_core::RngCore;

use crate::membership::{Datagram, Membership};
use crate::random::{below, index};
use crate::updates::Via;
use crate::wire::{Body, Claim, Frame, MAX_DATAGRAM_LEN, TABLE_BYTES};

/// So many contacts at a time are tried by one that doesn't have the list.
const HEARERS: usize = 3;
/// No claim is shorter.
const CLAIM_MIN: usize = 16;
/// An answer with so many changes is worth another asking.
const MUCH: u64 = 8;
/// So many datagrams in a row with the same digest show that it's oneself who has missed something.
const AGREEING: u32 = 4;

impl Membership {
    /// A newcomer, or one that lost all others, asks somebody for the list.
    pub(crate) fn tick_ask(&mut self, out: &mut Vec<Datagram>) {
        if self.joined && self.roster.size() <= 1 {
            self.joined = false;
            self.next_ask = self.now;
        }
        if self.joined || self.now < self.next_ask {
            return;
        }
        self.next_ask = self.now + self.ask_gap;
        self.ask_gap = (self.ask_gap * 2).min(self.settings.reach_every_ms.max(self.settings.ask_every_ms));
        // All contacts hear of the newcomer, up to a few, so that the seeds know everybody; one gives the list.
        let mut others = self.contacts.next(HEARERS, self.me.address);
        others.extend(self.some(HEARERS.saturating_sub(others.len()), ""));
        for (turn, address) in others.into_iter().enumerate() {
            if turn == 0 {
                self.ask(address, out);
            } else {
                let ping = Body::Ping { sequence: self.generator.next_u32(), target: String::new() };
                let datagram = self.datagram(ping, None);
                out.push(Datagram { destination: address, payload: datagram });
            }
        }
    }

    /// Tries an address where somebody should be that isn't known as a member.
    pub(crate) fn tick_reach(&mut self, out: &mut Vec<Datagram>) {
        if self.now < self.next_reach {
            return;
        }
        self.next_reach = self.now + self.settings.reach_every_ms;
        let member = |address| self.roster.has_address(address);
        if let Some(address) = self.contacts.draw(&mut *self.generator, member) {
            let ping = Body::Ping { sequence: self.generator.next_u32(), target: String::new() };
            let datagram = self.datagram(ping, None);
            out.push(Datagram { destination: address, payload: datagram });
        }
    }

    pub(crate) fn answer_ask(
        &mut self,
        to: SocketAddrV4,
        table: &[u8],
        first: Option<Claim>,
        out: &mut Vec<Datagram>,
    ) {
        // More than fit, so that it shows when something is left.
        let most = self.settings.pages * MAX_DATAGRAM_LEN / CLAIM_MIN;
        let start = index(&mut *self.generator, TABLE_BYTES / 4);
        let mut claims = first.into_iter().chain(self.roster.differing(table, start, most)).peekable();
        for page in 1..=self.settings.pages {
            let mut frame = self.frame(Body::Page { last: false, more: false });
            let mut room = frame.room();
            while let Some(claim) = claims.next_if(|claim| minicbor::len(claim) <= room) {
                room -= minicbor::len(&claim);
                frame.claims.push(claim);
            }
            let more = claims.peek().is_some();
            let last = !more || page == self.settings.pages;
            frame.body = Body::Page { last, more };
            out.extend(frame.write().map(|payload| Datagram { destination: to, payload }));
            if last {
                break;
            }
        }
    }

    pub(crate) fn hear_page(
        &mut self,
        from: SocketAddrV4,
        page: &Frame,
        last: bool,
        more: bool,
        out: &mut Vec<Datagram>,
    ) {
        for claim in &page.claims {
            self.hear(claim, Via::Page);
        }
        if !last {
            return;
        }
        let differs = page.digest != self.roster.digest();
        // As long as an answer brings much, and something is missing; little is left to later comparisons.
        let brought = self.changes - self.changes_asked.min(self.changes);
        if (more || differs) && brought >= MUCH {
            self.ask(from, out);
        } else if self.roster.size() > 1 {
            self.joined = true;
            self.ask_gap = self.settings.ask_every_ms;
        }
    }

    /// Compares what another takes for living. It is asked if it knows many more, if several in a row agree with each other
    /// but not with oneself, or if views differ though there is no news.
    pub(crate) fn compare(&mut self, from: SocketAddrV4, digest: u64, size: u32, out: &mut Vec<Datagram>) {
        let same = digest == self.foreign.0;
        self.foreign = (digest, if same { self.foreign.1.saturating_add(1) } else { 1 });
        if digest == self.roster.digest() || !self.joined || self.leaving {
            return;
        }
        let mine = self.roster.size();
        let waited = self.now - self.asked_at.min(self.now);
        let quiet = self.settings.sync_quiet_ms + self.patience;
        let lacks = (size as usize).saturating_sub(mine);
        let wait = if lacks > (mine / 8).max(3) || self.foreign.1 >= AGREEING {
            self.settings.ask_every_ms
        } else if lacks > 3 {
            quiet / 2
        } else if self.now >= self.changed_at + quiet {
            quiet
        } else {
            self.settings.sync_anyway_ms + self.patience
        };
        if waited >= wait {
            self.foreign.1 = 0;
            self.ask(from, out);
        }
    }

    fn ask(&mut self, address: SocketAddrV4, out: &mut Vec<Datagram>) {
        self.asked_at = self.now;
        self.patience = below(&mut *self.generator, self.settings.sync_quiet_ms / 2);
        self.changes_asked = self.changes;
        let frame = self.frame(Body::Ask { table: self.roster.table() });
        out.extend(frame.write().map(|payload| Datagram { destination: address, payload }));
    }
}
