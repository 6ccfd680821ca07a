use core::net::SocketAddrV4;
use std::collections::{BTreeMap, BTreeSet};

use rand_core::RngCore;

use crate::client_requests::ClientRequests;
use crate::control_state::{AppliedRequest, ControlState, EpochConfig, Member, MemberId, Term};
use crate::durable_state::{Effect, Identity, LogRecord, Pending, Stable, StoredStateError, Writes};
use crate::election::Election;
use crate::event::{ClientReply, Input, Output};
use crate::join_requests::Joiner;
use crate::limits::MAX_BODY_BYTES;
use crate::member_removal::RequestRemoval;
use crate::message::Message;
use crate::read_lease::Contact;
use crate::replication::{Lead, Peer};
use crate::settings::{InjectedFault, MOST_FAILURES, MOST_MEMBERS, Settings};
use crate::snapshot_transfer::Transfers;
use crate::state_delta::{EarlyChanges, RecentChanges};
use crate::take_over::TakeOver;

/// The primary as its heartbeats tell.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Leader {
    pub(crate) member: Member,
    pub(crate) term: Term,
    /// When the first heartbeat of this term arrived.
    pub(crate) since: u64,
    /// When the newest heartbeat arrived: it may have waited on its way. Good for hints only.
    pub(crate) heard: u64,
    /// The newest of the own stamps that came back.
    pub(crate) echoed: Option<u64>,
}

impl Leader {
    pub(crate) fn new(member: Member, term: Term, now: u64) -> Leader {
        Leader { member, term, since: now, heard: now, echoed: None }
    }

    /// When this primary is known to have lived. A new one has the benefit of the doubt.
    pub(crate) fn alive_at(&self) -> u64 {
        self.echoed.unwrap_or(0).max(self.since)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Role {
    Follower,
    TakingOver(Box<TakeOver>),
    Primary(Box<Lead>),
}

/// One node of the core.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node<R> {
    pub(crate) settings: Settings,
    pub(crate) rng: R,
    pub(crate) now: u64,
    pub(crate) started: u64,
    pub(crate) me: Member,
    pub(crate) identity: Identity,
    pub(crate) stable: Stable,
    pub(crate) writes: Writes,
    /// Nothing below is taken; on disk sooner or later.
    pub(crate) promised: Term,
    /// The highest round seen anywhere.
    pub(crate) highest: u64,
    /// The highest record seen, decided or not.
    pub(crate) view: Option<EpochConfig>,
    pub(crate) committed: Option<ControlState>,
    pub(crate) leader: Option<Leader>,
    pub(crate) contact: Contact,
    pub(crate) role: Role,
    pub(crate) election: Election,
    pub(crate) peers: BTreeMap<MemberId, Peer>,
    pub(crate) joiners: BTreeMap<MemberId, Joiner>,
    pub(crate) contacts: BTreeSet<SocketAddrV4>,
    pub(crate) join_at: u64,
    pub(crate) client_requests: ClientRequests,
    pub(crate) stopping: Option<u64>,
    pub(crate) leaving: RequestRemoval,
    pub(crate) handing: Option<Handing>,
    /// When a majority was last in touch with this node as primary.
    pub(crate) touched: Option<u64>,
    /// The changes that this node has committed lately as primary.
    pub(crate) recent_changes: RecentChanges,
    /// Committed changes that came before the state that they follow.
    pub(crate) early_changes: EarlyChanges,
    pub(crate) transfers: Transfers,
    pub(crate) out: Vec<Output>,
}

/// The place of the primary on its way to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Handing {
    pub(crate) to: SocketAddrV4,
    pub(crate) term: Term,
    pub(crate) since: u64,
    pub(crate) sent: u64,
}

impl<R: RngCore> Node<R> {
    /// A node from the records of its log, oldest first.
    pub fn new(
        mut settings: Settings,
        records: &[Vec<u8>],
        now: u64,
        mut rng: R,
    ) -> Result<Node<R>, StoredStateError> {
        settings.max_failures = settings.max_failures.min(MOST_FAILURES);
        let (stable, rebuilt_bytes) = Stable::replay(records)?;
        let identity = match &stable.identity {
            Some(identity) => identity.clone(),
            // Promises without a name: the disk is not whole.
            None if !records.is_empty() => return Err(StoredStateError::Disordered(0)),
            None => {
                let founds = settings.bootstrap && settings.seeds.contains(&settings.address);
                let bootstrap_voters: BTreeSet<SocketAddrV4> =
                    settings.seeds.iter().take(MOST_MEMBERS).copied().collect();
                let bootstrap_voters = founds.then(|| bootstrap_voters.into_iter().collect());
                Identity { id: MemberId(rng.next_u64().max(1)), bootstrap_voters }
            }
        };
        let writes =
            Writes { log_bytes: records.iter().map(Vec::len).sum(), rebuilt_bytes, ..Writes::default() };
        let mut node = Node {
            me: Member { id: identity.id, address: settings.address },
            promised: stable.promised,
            highest: stable.promised.number,
            view: None,
            committed: None,
            leader: None,
            contact: Contact::new(rng.next_u64()),
            role: Role::Follower,
            election: Election::default(),
            peers: BTreeMap::new(),
            joiners: BTreeMap::new(),
            contacts: BTreeSet::new(),
            join_at: now,
            client_requests: ClientRequests::default(),
            stopping: None,
            leaving: RequestRemoval::default(),
            handing: None,
            touched: None,
            recent_changes: RecentChanges::default(),
            early_changes: EarlyChanges::default(),
            transfers: Transfers::default(),
            out: Vec::new(),
            started: now,
            settings,
            rng,
            now,
            identity,
            stable,
            writes,
        };
        node.settle_contacts();
        let records = [node.stable.accepted.clone(), node.stable.seen.clone()];
        records.iter().flatten().for_each(|r| node.note_record(r));
        node.election.at = now + 150 + node.below(200);
        Ok(node)
    }

    /// Tells what happened; says what is to be done. Times never go back: an earlier one counts as the last.
    pub fn step(&mut self, now: u64, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        // Danger: a thawed node looks at its lease, or at its take-over, before anything that came meanwhile.
        self.keep_lease();
        self.end_overdue_take_over();
        match input {
            Input::Tick => {}
            Input::Message { from, message } => {
                if self.is_ready() && message.is_within_bounds() && from.id != self.me.id {
                    self.on_message(from, message);
                }
            }
            Input::Written { token } => {
                if let Some(pending) = self.writes.take(token) {
                    self.writes.failed = None;
                    self.written(pending);
                }
            }
            Input::WriteFailed { token } => {
                if let Some(pending) = self.writes.take(token) {
                    self.write_failed(pending);
                }
            }
            Input::Change { request_id, body, .. } if body.len() > MAX_BODY_BYTES => {
                self.answer(request_id, ClientReply::TooLarge);
            }
            Input::Change { request_id, base_revision: base, revision, body, digest } => {
                self.on_change(request_id, base, AppliedRequest { revision, digest }, body);
            }
            Input::Read { request_id } => self.on_read(request_id),
            Input::ShutDown => {
                self.stopping.get_or_insert(self.now);
            }
            Input::Seeds(seeds) => {
                self.settings.seeds = seeds;
                self.settle_contacts();
            }
        }
        self.disk_timers();
        if self.is_ready() {
            self.election_timers();
            self.join_timers();
            self.take_over_timers();
            self.primary_timers();
            self.transfer_timers();
            self.leave_timers();
        }
        self.expire_client_requests();
        self.pump();
        std::mem::take(&mut self.out)
    }

    /// The number of this disk and the address of this machine.
    pub fn local_member(&self) -> Member {
        self.me
    }

    /// The primary, as far as known at the last step.
    pub fn primary(&self) -> Option<Member> {
        self.primary_at(self.now)
    }

    /// The primary, as far as known at this moment, also if this node was not stepped for a while.
    pub fn primary_at(&self, now: u64) -> Option<Member> {
        let leads = match &self.role {
            Role::Primary(_) => true,
            Role::TakingOver(t) => t.is_renewal(),
            Role::Follower => false,
        };
        if leads {
            return self.has_quorum_contact(now).then_some(self.me);
        }
        let lately = 2 * self.settings.timings.suspicion_timeout;
        self.leader.as_ref().filter(|l| now.saturating_sub(l.heard) <= lately).map(|l| l.member)
    }

    /// Whether this node was primary after its last step. Whoever acts on it asks [`Node::leads`].
    pub fn is_primary(&self) -> bool {
        matches!(self.role, Role::Primary(_))
    }

    /// The members, as far as known.
    pub fn members(&self) -> &[Member] {
        self.view.as_ref().map_or(&[], |r| &r.members)
    }

    /// The newest committed state that this node knows.
    pub fn committed_state(&self) -> Option<&ControlState> {
        self.committed.as_ref()
    }

    /// The term of the epoch; its round is the fencing token.
    pub fn term(&self) -> Term {
        match (&self.role, &self.leader) {
            (Role::Primary(lead), _) => lead.term,
            (_, Some(leader)) => leader.term,
            _ => self.view.as_ref().map(|r| r.term).unwrap_or_default(),
        }
    }

    /// The record of the highest epoch that this node has seen.
    pub fn epoch_config(&self) -> Option<&EpochConfig> {
        self.view.as_ref()
    }

    /// Whether the disk takes writes.
    pub fn is_healthy(&self) -> bool {
        let works = self.writes.failed.is_none()
            && self.writes.age(self.now) <= self.settings.timings.unhealthy_write_timeout;
        self.stopping.is_none() && (works || self.settings.has(InjectedFault::AlwaysHealthy))
    }

    /// One record that replaces the whole log; none while writes are under way.
    pub fn snapshot(&self) -> Option<Vec<u8>> {
        (self.writes.queue.is_empty() && self.is_ready()).then(|| self.snapshot_record())
    }

    fn snapshot_record(&self) -> Vec<u8> {
        let stable = Stable { promised: self.promised, ..self.stable.clone() };
        LogRecord::Snapshot(Box::new(stable)).encode()
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.stable.identity.is_some()
    }

    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    pub(crate) fn send(&mut self, to: SocketAddrV4, message: Message) {
        if to != self.me.address {
            self.out.push(Output::Send { to, message });
        }
    }

    pub(crate) fn write(&mut self, effect: Effect, to: Option<Member>) {
        let token = self.writes.next_token;
        self.writes.next_token += 1;
        let unsynced =
            self.settings.has(InjectedFault::RespondUnsynced) && !matches!(effect, Effect::Identity(_));
        let pending = Pending { token, since: self.now, effect, to };
        match pending.effect.record() {
            Some(record) => {
                let record = record.encode();
                self.writes.log_bytes += record.len();
                if let Effect::Change(_, state) = &pending.effect {
                    self.writes.rebuilt_bytes = self.writes.rebuilt_bytes.saturating_add(state.body.len());
                }
                self.out.push(Output::Write { token, record });
            }
            None => {
                let record = self.snapshot_record();
                self.writes.snapshot_bytes = record.len();
                self.out.push(Output::Rewrite { token, record });
            }
        }
        if unsynced {
            self.writes.queue.push_back(Pending {
                effect: Effect::Promise(Term::default()),
                to: None,
                ..pending
            });
            self.written(pending);
        } else {
            self.writes.queue.push_back(pending);
        }
    }

    fn disk_timers(&mut self) {
        if !self.writes.queue.is_empty() {
            return;
        }
        let retry = self.settings.timings.disk_retry_interval;
        if self.writes.failed.is_some_and(|at| self.now.saturating_sub(at) < retry) {
            return;
        }
        let most = self.settings.log_rewrite_bytes.max(4 * self.writes.snapshot_bytes);
        if !self.is_ready() {
            self.write(Effect::Identity(self.identity.clone()), None);
        } else if self.writes.failed.is_some() {
            self.write(Effect::Promise(self.promised), None);
        } else if self.writes.log_bytes > most || self.writes.rebuilt_bytes > Writes::MOST_REBUILT_BYTES {
            self.write(Effect::Rewrite, None);
        } else if let Some(record) = self.unwritten_record() {
            self.write(Effect::Seen(record), None);
        }
    }

    /// The record that a learner needs to find the others after its next start.
    fn unwritten_record(&self) -> Option<EpochConfig> {
        let known = [&self.stable.accepted, &self.stable.seen].into_iter().flatten().map(|r| r.term).max();
        let view = self.view.as_ref().filter(|r| known.is_none_or(|k| k < r.term))?;
        let voter = view.voters().iter().any(|m| m.id == self.me.id);
        (!voter && matches!(self.role, Role::Follower)).then(|| view.clone())
    }

    /// Where others may be: those that are long gone are forgotten.
    fn settle_contacts(&mut self) {
        self.contacts.clear();
        let voters = self.electorate().into_iter().map(|m| m.address);
        let all: Vec<SocketAddrV4> =
            self.settings.seeds.iter().copied().take(MOST_MEMBERS).chain(voters).collect();
        all.into_iter().for_each(|a| self.note_address(a));
    }

    pub(crate) fn note_address(&mut self, address: SocketAddrV4) {
        if self.contacts.len() < 4 * MOST_MEMBERS {
            self.contacts.insert(address);
        }
    }

    /// Remembers a record that somebody has proposed.
    pub(crate) fn note_record(&mut self, record: &EpochConfig) {
        self.highest = self.highest.max(record.term.number);
        if self.view.as_ref().is_some_and(|known| known.term >= record.term) {
            return;
        }
        for member in record.voters() {
            if member.id != MemberId(0) {
                self.note_address(member.address);
            }
        }
        self.view = Some(record.clone());
        self.outranked(record.term);
    }

    /// Shows a committed state with the committed changes that follow it; never an older one.
    pub(crate) fn show(&mut self, state: ControlState) {
        let state = self.early_changes.advance(state);
        self.early_changes.forget_up_to(state.revision);
        let known = self.committed.as_ref().map(|s| s.revision);
        if known.is_none_or(|r| {
            r < state.revision || self.settings.has(InjectedFault::PublishOlderState) && r != state.revision
        }) {
            self.out.push(Output::Committed { state: state.clone() });
            self.contact.show(state.revision);
            self.committed = Some(state);
        }
    }

    /// The address to ask instead of this node.
    pub(crate) fn hint(&self) -> Option<SocketAddrV4> {
        let lately = 2 * self.settings.timings.suspicion_timeout;
        let handing = self.handing.filter(|h| self.now - h.since <= lately).map(|h| h.to);
        handing.or_else(|| self.primary().filter(|m| m.id != self.me.id).map(|m| m.address))
    }

    fn on_message(&mut self, from: Member, message: Message) {
        match message {
            Message::PreVote => self.on_pre_vote(from),
            Message::PreVoteResponse { granted: willing, is_bootstrap_voter, config: record } => {
                self.on_pre_vote_answer(from, willing, is_bootstrap_voter, record);
            }
            Message::Prepare { term } => self.on_prepare(from, term),
            Message::Promise { term, is_bootstrap_voter, is_healthy, config: record, version } => {
                self.on_promise(from, term, is_bootstrap_voter, is_healthy, record, version);
            }
            Message::Reject { term, promised } => self.on_reject(term, promised),
            Message::FetchState { term, version } => self.on_fetch(from, term, version),
            Message::FetchedState { term, state } => self.on_fetched(term, state),
            Message::ReplicateState { state } => self.on_replicate(from, state),
            Message::RewriteUnderNewTerm { version } => self.on_restamp(from, version),
            Message::Replicated { version } => self.on_replicated(from, version),
            Message::MissingBody { version } => self.on_lacks_body(from, version),
            Message::Accept { config: record } => self.on_accept(from, record),
            Message::Accepted { term, is_bootstrap_voter } => {
                self.on_accepted(from, term, is_bootstrap_voter)
            }
            heartbeat @ Message::Heartbeat { .. } => self.on_heartbeat(from, heartbeat),
            answer @ Message::HeartbeatResponse { .. } => self.on_heartbeat_answer(from, answer),
            Message::CommittedState { state } => self.show(state),
            Message::Join { is_bootstrap_voter, known_term: seen } => {
                self.on_join(from, is_bootstrap_voter, seen)
            }
            Message::KnownConfig { config: record } => self.note_record(&record),
            Message::TransferLeadership { term } => self.on_hand_over(from, term),
            Message::ReplicateDelta { delta: change } => self.on_replicate_change(from, change),
            Message::CommittedDeltas { deltas: changes } => self.on_committed_changes(changes),
            Message::OfferSnapshot { offer } => self.on_offer(from, offer),
            Message::FetchChunk { version, offset } => self.on_fetch_piece(from, version, offset),
            Message::SnapshotChunk { chunk: piece } => self.on_piece(from, piece),
            Message::RequestRemoval => self.on_leaving(from),
            Message::RemovalGranted { term } => self.on_may_leave(term),
        }
    }
}
