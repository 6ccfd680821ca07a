//! Datagram of others.

use core::net::SocketAddrV4;

use mosshead_time::Instant;

use crate::membership::{Datagram, Membership};
use crate::updates::Via;
use crate::wire::{Body, Frame};

/// Others told at once of one's own refutation.
const REFUTATION_FAN_OUT: usize = 3;

impl Membership {
    /// Takes a datagram in; garbage and datagrams of other fleets are dropped without an answer.
    pub fn receive(&mut self, now: Instant, from: SocketAddrV4, bytes: &[u8]) -> Vec<Datagram> {
        let mut out = Vec::new();
        self.advance(now);
        let Some(frame) = Frame::read(self.settings.fleet, bytes) else { return out };
        if frame.sender.name == self.me.name && frame.sender.instance_id == self.me.instance_id {
            return out;
        }
        self.refuted = false;
        self.hear(&frame.sender, Via::Direct);
        if !matches!(frame.body, Body::Page { .. }) {
            for claim in &frame.claims {
                self.hear(claim, Via::Rumour);
            }
        }
        self.answer(from, &frame, &mut out);
        // A sender that doesn't know what is believed of it, or that believes wrongly of this member, is told at once.
        let owed = self.refuted || self.above(&frame.sender).is_some();
        if owed && !out.iter().any(|datagram| datagram.destination == from) {
            let first = self.above(&frame.sender);
            let datagram = self.datagram(Body::Tell, first);
            out.push(Datagram { destination: from, payload: datagram });
        }
        if self.refuted {
            self.tell(REFUTATION_FAN_OUT, &mut out);
        }
        out
    }

    fn answer(&mut self, from: SocketAddrV4, frame: &Frame, out: &mut Vec<Datagram>) {
        let above = self.above(&frame.sender);
        match &frame.body {
            Body::Ping { sequence, target } => {
                // Another name at this address: whoever asked learns who is here, but not that the target lives.
                let mine = target.is_empty() || *target == self.me.name;
                let ack = Body::Ack { sequence: *sequence, target: self.me.name.clone() };
                let datagram = self.datagram(if mine { ack } else { Body::Tell }, above);
                out.push(Datagram { destination: from, payload: datagram });
            }
            Body::Ack { sequence, target } => self.hear_ack(*sequence, target, out),
            Body::PingRequest { sequence, target, address } => {
                self.help(from, *sequence, target.clone(), *address, out);
            }
            Body::Ask { table } => self.answer_ask(from, table, above, out),
            Body::Page { last, more } => {
                self.hear_page(from, frame, *last, *more, out);
                return;
            }
            Body::Tell => {}
        }
        if frame.sender.health.is_live() && !matches!(frame.body, Body::Ask { .. }) {
            self.compare(from, frame.digest, frame.size, out);
        }
    }
}
