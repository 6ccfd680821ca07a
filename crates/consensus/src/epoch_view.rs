//! What this node knows of the epochs and of the addresses where others may be.

use core::net::SocketAddrV4;
use std::collections::BTreeSet;

use crate::epoch_config::EpochConfig;
use crate::limits::MAX_MEMBERS;
use crate::term::{Member, MemberId, Term};

/// More addresses than this are not remembered.
const MAX_ADDRESSES: usize = 4 * MAX_MEMBERS;

/// The highest epoch that this node has seen, decided or not.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct EpochView {
    /// The highest number of a term seen anywhere.
    highest_term_number: u64,
    /// The highest configuration seen, decided or not.
    config: Option<EpochConfig>,
    /// Where other nodes may be; at most [`MAX_ADDRESSES`].
    addresses: BTreeSet<SocketAddrV4>,
}

impl EpochView {
    pub(crate) fn new(promised: Term) -> EpochView {
        EpochView { highest_term_number: promised.number, config: None, addresses: BTreeSet::new() }
    }

    pub(crate) fn config(&self) -> Option<&EpochConfig> {
        self.config.as_ref()
    }

    /// The term of the configuration; the lowest one without a configuration.
    pub(crate) fn term(&self) -> Term {
        self.config.as_ref().map(|config| config.term).unwrap_or_default()
    }

    pub(crate) fn has_member(&self, id: MemberId) -> bool {
        self.config.as_ref().is_some_and(|config| config.has_member(id))
    }

    pub(crate) fn holds_state(&self, id: MemberId) -> bool {
        self.config.as_ref().is_some_and(|config| config.holds_state(id))
    }

    /// A number above all that were seen and the promised one.
    pub(crate) fn next_term_number(&self, promised: Term) -> u64 {
        self.highest_term_number.max(promised.number).saturating_add(1)
    }

    pub(crate) fn observe_term(&mut self, term: Term) {
        self.highest_term_number = self.highest_term_number.max(term.number);
    }

    /// Remembers a configuration that a node has proposed; returns whether it is newer than the known one.
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

    /// Forgets all addresses but those of the seeds and of the members.
    pub(crate) fn reset_addresses(&mut self, seeds: &[SocketAddrV4], electorate: &[Member]) {
        self.addresses.clear();
        let seeds = seeds.iter().copied().take(MAX_MEMBERS);
        seeds.chain(electorate.iter().map(|m| m.address)).for_each(|address| self.add_address(address));
    }

    pub(crate) fn addresses(&self) -> &BTreeSet<SocketAddrV4> {
        &self.addresses
    }
}
