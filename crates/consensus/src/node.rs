use core::net::SocketAddrV4;
use std::collections::{BTreeMap, BTreeSet};

use rand_core::RngCore;

use crate::change::{EarlyChanges, RecentChanges};
use crate::client_requests::ClientRequests;
use crate::contact::Contact;
use crate::election::Election;
use crate::event::{Input, Output, Verdict};
use crate::join::Joiner;
use crate::leaving::Leaving;
use crate::limits::MAX_BODY_BYTES;
use crate::log::{Effect, Fault, Identity, LogRecord, Pending, Stable, Writes};
use crate::message::Message;
use crate::primary::{Lead, Peer};
use crate::settings::{InjectedFault, MOST_FAILURES, MOST_MEMBERS, Settings};
use crate::take_over::TakeOver;
use crate::transfer::Transfers;
use crate::types::{Ballot, Call, Member, MemberId, Record, State};

/// The primary as its heartbeats tell.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Leader {
    pub(crate) member: Member,
    pub(crate) ballot: Ballot,
    /// When the first heartbeat of this ballot arrived.
    pub(crate) since: u64,
    /// When the newest heartbeat arrived: it may have waited on its way. Good for hints only.
    pub(crate) heard: u64,
    /// The newest of the own stamps that came back.
    pub(crate) echoed: Option<u64>,
}

impl Leader {
    pub(crate) fn new(member: Member, ballot: Ballot, now: u64) -> Leader {
        Leader { member, ballot, since: now, heard: now, echoed: None }
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
    pub(crate) promised: Ballot,
    /// The highest round seen anywhere.
    pub(crate) highest: u64,
    /// The highest record seen, decided or not.
    pub(crate) view: Option<Record>,
    pub(crate) committed: Option<State>,
    pub(crate) leader: Option<Leader>,
    pub(crate) contact: Contact,
    pub(crate) role: Role,
    pub(crate) election: Election,
    pub(crate) peers: BTreeMap<MemberId, Peer>,
    pub(crate) joiners: BTreeMap<MemberId, Joiner>,
    pub(crate) contacts: BTreeSet<SocketAddrV4>,
    pub(crate) join_at: u64,
    pub(crate) asks: ClientRequests,
    pub(crate) stopping: Option<u64>,
    pub(crate) leaving: Leaving,
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
    pub(crate) ballot: Ballot,
    pub(crate) since: u64,
    pub(crate) sent: u64,
}

impl<R: RngCore> Node<R> {
    /// A node from the records of its log, oldest first.
    pub fn new(mut settings: Settings, records: &[Vec<u8>], now: u64, mut rng: R) -> Result<Node<R>, Fault> {
        settings.failures = settings.failures.min(MOST_FAILURES);
        let (stable, rebuilt_bytes) = Stable::replay(records)?;
        let identity = match &stable.identity {
            Some(identity) => identity.clone(),
            // Promises without a name: the disk is not whole.
            None if !records.is_empty() => return Err(Fault::Disordered(0)),
            None => {
                let founds = settings.bootstrap && settings.seeds.contains(&settings.address);
                let founders: BTreeSet<SocketAddrV4> =
                    settings.seeds.iter().take(MOST_MEMBERS).copied().collect();
                let founders = founds.then(|| founders.into_iter().collect());
                Identity { id: MemberId(rng.next_u64().max(1)), founders }
            }
        };
        let writes =
            Writes { log_bytes: records.iter().map(Vec::len).sum(), rebuilt_bytes, ..Writes::default() };
        let mut node = Node {
            me: Member { id: identity.id, address: settings.address },
            promised: stable.promised,
            highest: stable.promised.round,
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
            asks: ClientRequests::default(),
            stopping: None,
            leaving: Leaving::default(),
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
                if self.is_ready() && message.is_sane() && from.id != self.me.id {
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
            Input::Change { ask, body, .. } if body.len() > MAX_BODY_BYTES => {
                self.answer(ask, Verdict::TooLarge);
            }
            Input::Change { ask, base, revision, body, digest } => {
                self.on_change(ask, base, Call { revision, digest }, body);
            }
            Input::Read { ask } => self.on_read(ask),
            Input::Stop => {
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
    pub fn me(&self) -> Member {
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
            return self.in_touch(now).then_some(self.me);
        }
        let lately = 2 * self.settings.timings.suspect;
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
    pub fn committed(&self) -> Option<&State> {
        self.committed.as_ref()
    }

    /// The ballot of the epoch; its round is the fencing token.
    pub fn ballot(&self) -> Ballot {
        match (&self.role, &self.leader) {
            (Role::Primary(lead), _) => lead.ballot,
            (_, Some(leader)) => leader.ballot,
            _ => self.view.as_ref().map(|r| r.ballot).unwrap_or_default(),
        }
    }

    /// The record of the highest epoch that this node has seen.
    pub fn record(&self) -> Option<&Record> {
        self.view.as_ref()
    }

    /// Whether the disk takes writes.
    pub fn is_fit(&self) -> bool {
        let works =
            self.writes.failed.is_none() && self.writes.age(self.now) <= self.settings.timings.unfit_write;
        self.stopping.is_none() && (works || self.settings.has(InjectedFault::AlwaysFit))
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
            self.settings.has(InjectedFault::AnswerUnsynced) && !matches!(effect, Effect::Identity(_));
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
                effect: Effect::Promise(Ballot::default()),
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
        let retry = self.settings.timings.disk_retry;
        if self.writes.failed.is_some_and(|at| self.now.saturating_sub(at) < retry) {
            return;
        }
        let most = self.settings.rewrite_bytes.max(4 * self.writes.snapshot_bytes);
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
    fn unwritten_record(&self) -> Option<Record> {
        let known = [&self.stable.accepted, &self.stable.seen].into_iter().flatten().map(|r| r.ballot).max();
        let view = self.view.as_ref().filter(|r| known.is_none_or(|k| k < r.ballot))?;
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
    pub(crate) fn note_record(&mut self, record: &Record) {
        self.highest = self.highest.max(record.ballot.round);
        if self.view.as_ref().is_some_and(|known| known.ballot >= record.ballot) {
            return;
        }
        for member in record.voters() {
            if member.id != MemberId(0) {
                self.note_address(member.address);
            }
        }
        self.view = Some(record.clone());
        self.outranked(record.ballot);
    }

    /// Shows a committed state with the committed changes that follow it; never an older one.
    pub(crate) fn show(&mut self, state: State) {
        let state = self.early_changes.advance(state);
        self.early_changes.forget_up_to(state.revision);
        let known = self.committed.as_ref().map(|s| s.revision);
        if known.is_none_or(|r| {
            r < state.revision || self.settings.has(InjectedFault::ShowOlder) && r != state.revision
        }) {
            self.out.push(Output::Committed { state: state.clone() });
            self.contact.show(state.revision);
            self.committed = Some(state);
        }
    }

    /// The address to ask instead of this node.
    pub(crate) fn hint(&self) -> Option<SocketAddrV4> {
        let lately = 2 * self.settings.timings.suspect;
        let handing = self.handing.filter(|h| self.now - h.since <= lately).map(|h| h.to);
        handing.or_else(|| self.primary().filter(|m| m.id != self.me.id).map(|m| m.address))
    }

    fn on_message(&mut self, from: Member, message: Message) {
        match message {
            Message::PreVote => self.on_pre_vote(from),
            Message::PreVoteAnswer { willing, founder, record } => {
                self.on_pre_vote_answer(from, willing, founder, record);
            }
            Message::Prepare { ballot } => self.on_prepare(from, ballot),
            Message::Promise { ballot, founder, fit, record, version } => {
                self.on_promise(from, ballot, founder, fit, record, version);
            }
            Message::Reject { ballot, promised } => self.on_reject(ballot, promised),
            Message::Fetch { ballot, version } => self.on_fetch(from, ballot, version),
            Message::Fetched { ballot, state } => self.on_fetched(ballot, state),
            Message::Replicate { state } => self.on_replicate(from, state),
            Message::Restamp { version } => self.on_restamp(from, version),
            Message::Replicated { version } => self.on_replicated(from, version),
            Message::LacksBody { version } => self.on_lacks_body(from, version),
            Message::Accept { record } => self.on_accept(from, record),
            Message::Accepted { ballot, founder } => self.on_accepted(from, ballot, founder),
            heartbeat @ Message::Heartbeat { .. } => self.on_heartbeat(from, heartbeat),
            answer @ Message::HeartbeatAnswer { .. } => self.on_heartbeat_answer(from, answer),
            Message::Committed { state } => self.show(state),
            Message::Join { founder, seen } => self.on_join(from, founder, seen),
            Message::Members { record } => self.note_record(&record),
            Message::HandOver { ballot } => self.on_hand_over(from, ballot),
            Message::ReplicateChange { change } => self.on_replicate_change(from, change),
            Message::CommittedChanges { changes } => self.on_committed_changes(changes),
            Message::OfferState { offer } => self.on_offer(from, offer),
            Message::FetchPiece { version, offset } => self.on_fetch_piece(from, version, offset),
            Message::Piece { piece } => self.on_piece(from, piece),
            Message::Leaving => self.on_leaving(from),
            Message::MayLeave { ballot } => self.on_may_leave(ballot),
        }
    }
}
