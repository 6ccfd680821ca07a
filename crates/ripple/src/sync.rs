//! Lists for newcomers and repair of what was missed: parts that differ, in pages.

use core::net::SocketAddrV4;

use rand_core::RngCore;

use crate::claims::Via;
use crate::random::{below, index};
use crate::ripple::{Datagrams, Ripple};
use crate::wire::{Body, Claim, Frame, TABLE_BYTES};

impl Ripple {
    /// A newcomer, or one that lost all others, asks somebody for the list.
    pub(crate) fn tick_ask(&mut self, out: &mut Datagrams) {
        if self.joined && self.roster.size() <= 1 {
            self.joined = false;
            self.next_ask = self.now;
        }
        if self.joined || self.now < self.next_ask {
            return;
        }
        self.next_ask = self.now + self.ask_gap;
        self.ask_gap = (self.ask_gap * 2).min(self.settings.reach_every_ms.max(self.settings.ask_every_ms));
        let members = self.some(1, "");
        let known = members.first().copied().filter(|_| index(&mut *self.generator, 2) == 0);
        let contact = known.or_else(|| self.contacts.next(&[self.me.address].into()));
        if let Some(address) = contact.or(members.first().copied()) {
            self.ask(address, out);
        }
    }

    /// Tries an address where somebody should be that isn't known as a member.
    pub(crate) fn tick_reach(&mut self, out: &mut Datagrams) {
        if self.now < self.next_reach {
            return;
        }
        self.next_reach = self.now + self.settings.reach_every_ms;
        let members = self.roster.addresses();
        if let Some(address) = self.contacts.draw(&mut *self.generator, &members) {
            let ping = Body::Ping { sequence: self.generator.next_u32(), target: String::new() };
            let datagram = self.datagram(ping, None);
            out.push((address, datagram));
        }
    }

    pub(crate) fn answer_ask(
        &mut self,
        to: SocketAddrV4,
        table: &[u8],
        first: Option<Claim>,
        out: &mut Datagrams,
    ) {
        let start = index(&mut *self.generator, TABLE_BYTES / 4);
        let mut claims = first.into_iter().chain(self.roster.differing(table, start)).peekable();
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
            out.extend(frame.write().map(|bytes| (to, bytes)));
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
        out: &mut Datagrams,
    ) {
        for claim in &page.claims {
            self.hear(claim, Via::Page);
        }
        if !last {
            return;
        }
        let differs = page.digest != self.roster.digest();
        // As long as each answer brings something, and something is missing.
        if (more || differs) && self.changes != self.changes_asked {
            self.ask(from, out);
        } else if self.roster.size() > 1 {
            self.joined = true;
            self.ask_gap = self.settings.ask_every_ms;
        }
    }

    /// Another takes others for living than oneself does: if that lasts, it is asked.
    pub(crate) fn compare(&mut self, from: SocketAddrV4, out: &mut Datagrams) {
        let quiet = self.settings.sync_quiet_ms;
        let calm = self.now >= self.changed_at + quiet && self.now >= self.synced_at + quiet;
        if self.joined && (calm || self.now >= self.synced_at + self.settings.sync_anyway_ms) {
            self.ask(from, out);
        }
    }

    fn ask(&mut self, address: SocketAddrV4, out: &mut Datagrams) {
        // Not all at the same time.
        self.synced_at = self.now + below(&mut *self.generator, self.settings.sync_quiet_ms / 2);
        self.changes_asked = self.changes;
        let frame = self.frame(Body::Ask { table: self.roster.table() });
        out.extend(frame.write().map(|bytes| (address, bytes)));
    }
}
