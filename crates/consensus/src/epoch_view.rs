//! This node's knowledge of epochs and of the addresses of other nodes.

use core::net::SocketAddrV4;
use std::collections::BTreeSet;

use crate::epoch_config::EpochConfig;
use crate::limits::MAX_MEMBERS;
use crate::term::{Member, MemberId, Term};

/// The maximum number of remembered addresses; further ones are ignored.
const MAX_ADDRESSES: usize = 4 * MAX_MEMBERS;

/// The highest term and configuration that this node has seen, and the known addresses.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct EpochView {
    /// The highest term number seen in any message or record.
    highest_term_number: u64,
    /// The configuration with the highest term seen, decided or not.
    config: Option<EpochConfig>,
    /// The addresses of possible other nodes; at most [`MAX_ADDRESSES`].
    addresses: BTreeSet<SocketAddrV4>,
}

impl EpochView {
    pub(crate) fn new(promised: Term) -> EpochView {
        EpochView { highest_term_number: promised.number, config: None, addresses: BTreeSet::new() }
    }

    pub(crate) fn config(&self) -> Option<&EpochConfig> {
        self.config.as_ref()
    }

    /// The term of the configuration; the lowest term if there is none.
    pub(crate) fn term(&self) -> Term {
        self.config.as_ref().map(|config| config.term).unwrap_or_default()
    }

    pub(crate) fn has_member(&self, id: MemberId) -> bool {
        self.config.as_ref().is_some_and(|config| config.has_member(id))
    }

    pub(crate) fn holds_state(&self, id: MemberId) -> bool {
        self.config.as_ref().is_some_and(|config| config.holds_state(id))
    }

    /// A term number higher than all that were seen and the promised one.
    pub(crate) fn next_term_number(&self, promised: Term) -> u64 {
        self.highest_term_number.max(promised.number).saturating_add(1)
    }

    pub(crate) fn observe_term(&mut self, term: Term) {
        self.highest_term_number = self.highest_term_number.max(term.number);
    }

    /// Records a proposed configuration. Returns true if it is newer than the known one.
    pub(crate) fn observe_config(&mut self, config: &EpochConfig) -> bool {
        self.observe_term(config.term);
        if self.config.as_ref().is_some_and(|known| known.term >= config.term) {
            return false;
        }
        for member in config.voters() {
            if member.id != MemberId::UNKNOWN {
                self.add_address(member.address);
            }
        }
        self.config = Some(config.clone());
        true
    }

    pub(crate) fn add_address(&mut self, address: SocketAddrV4) {
        if self.addresses.len() < MAX_ADDRESSES {
            self.addresses.insert(address);
        }
    }

    /// Replaces the addresses with those of the seeds and of the known voters.
    pub(crate) fn reset_addresses(&mut self, seeds: &[SocketAddrV4], known_voters: &[Member]) {
        self.addresses.clear();
        let seeds = seeds.iter().copied().take(MAX_MEMBERS);
        seeds.chain(known_voters.iter().map(|m| m.address)).for_each(|address| self.add_address(address));
    }

    pub(crate) fn addresses(&self) -> &BTreeSet<SocketAddrV4> {
        &self.addresses
    }
}
