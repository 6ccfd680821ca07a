use std::collections::{BTreeSet, VecDeque};

use rand_core::RngCore;

use crate::control_state::{ControlState, EpochConfig, Member, MemberId, StateVersion, Term};
use crate::message::Message;
use crate::node::{Node, Role};
use crate::read_lease::LeaseStamp;
use crate::settings::InjectedFault;
use crate::snapshot_transfer::StatePurpose;
use crate::state_delta::StateDelta;
use crate::votes::Votes;

/// What the primary knows of another node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Peer {
    pub(crate) member: Member,
    /// When it was heard last.
    pub(crate) heard: u64,
    /// When the newest heartbeat left that it has answered without having promised higher.
    pub(crate) contact: u64,
    /// The number of that heartbeat.
    pub(crate) acked: u64,
    pub(crate) is_healthy: bool,
    /// When it was fit last.
    pub(crate) well: u64,
    pub(crate) is_bootstrap_voter: bool,
    pub(crate) seen: Term,
    /// The term of the latest heartbeat that it has answered.
    pub(crate) answered: Term,
    /// When a state was sent to it last.
    pub(crate) state_sent: u64,
    /// The newest stamp of its answers.
    stamp: Option<LeaseStamp>,
}

/// What a primary keeps of its epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Lead {
    pub(crate) term: Term,
    pub(crate) record: EpochConfig,
    /// The committed state.
    pub(crate) state: ControlState,
    /// The number of the last heartbeat.
    pub(crate) sequence: u64,
    /// The first heartbeat that tells of the last state that was sent whole.
    told: u64,
    heartbeats: VecDeque<(u64, u64)>,
    next_heartbeat: u64,
    pub(crate) pending_write: Option<PendingWrite>,
    /// Since when a higher promise of a voter is known.
    pub(crate) outbid: Option<u64>,
    pub(crate) since: u64,
}

/// A change on its way to the disks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingWrite {
    pub(crate) state: ControlState,
    /// What it changes of the state before, where that is shorter.
    change: Option<StateDelta>,
    /// Backups that have not the state before.
    lacking: BTreeSet<MemberId>,
    pub(crate) own: bool,
    pub(crate) done: BTreeSet<MemberId>,
    /// Since when it waits without progress.
    pub(crate) since: u64,
    started: u64,
    sent: u64,
}

const MOST_PEERS: usize = 64;
const LEARNER_LASTS: u64 = 3_000;
/// A step that waits for a large state is given time as long as pieces are asked for, up to this.
pub(crate) const MOST_TRANSFER: u64 = 5_000;

impl Peer {
    fn new(member: Member, now: u64) -> Peer {
        Peer {
            member,
            heard: now,
            contact: 0,
            acked: 0,
            is_healthy: false,
            well: now,
            is_bootstrap_voter: false,
            seen: Term::default(),
            answered: Term::default(),
            state_sent: 0,
            stamp: None,
        }
    }
}

impl Lead {
    pub(crate) fn new(term: Term, record: EpochConfig, state: ControlState, now: u64) -> Lead {
        Lead {
            term,
            record,
            state,
            sequence: 0,
            told: 1,
            heartbeats: VecDeque::new(),
            next_heartbeat: now,
            pending_write: None,
            outbid: None,
            since: now,
        }
    }

    /// What a peer is told.
    fn heartbeat_for(&self, peer: &Peer) -> Message {
        Message::Heartbeat {
            term: self.term,
            sequence: self.sequence,
            committed: self.state.version(),
            config: (peer.seen < self.term).then(|| self.record.clone()),
            echoed_stamp: peer.stamp,
        }
    }

    fn sent_at(&self, sequence: u64) -> Option<u64> {
        self.heartbeats.iter().find(|(s, _)| *s == sequence).map(|(_, at)| *at)
    }
}

impl<R: RngCore> Node<R> {
    /// The peers of a new epoch.
    pub(crate) fn settle_peers(&mut self, record: &EpochConfig, votes: &Votes, since: u64, renewal: bool) {
        let now = self.now;
        if !renewal {
            self.peers.clear();
            for joiner in self.fresh_joiners() {
                self.peers.insert(joiner.member.id, Peer::new(joiner.member, now));
            }
        }
        for peer in self.peers.values_mut() {
            peer.acked = 0;
        }
        let silent_leader = self.silent_leader(votes);
        let timings = &self.settings.timings;
        // Who has no part in the take-over is missed for nearly as long as its primary was: it has two heartbeats to answer.
        let unheard = match self.settings.has(InjectedFault::ForgetSilenceOfMembers) {
            true => 0,
            false => timings.suspicion_timeout.saturating_sub(2 * timings.heartbeat_interval),
        };
        let suspect = timings.suspicion_timeout;
        let silence = |id| if silent_leader == Some(id) { suspect } else { unheard };
        for member in record.voters() {
            if member.id == self.me.id || member.id == MemberId(0) {
                continue;
            }
            let peer = self.peers.entry(member.id).or_insert_with(|| Peer::new(member, now));
            peer.member = member;
            if !renewal {
                // Until it says otherwise.
                peer.is_healthy = true;
            }
            if !renewal {
                peer.well = now.saturating_sub(silence(member.id));
            }
            if votes.covers(&member) {
                peer.is_bootstrap_voter = votes.is_bootstrap_voter(member.id);
                peer.contact = peer.contact.max(since);
                peer.seen = record.term;
                peer.heard = now;
                peer.well = now;
                peer.is_healthy = true;
            }
        }
    }

    /// The primary before, if it has no part in this take-over and is suspected.
    fn silent_leader(&self, votes: &Votes) -> Option<MemberId> {
        let leader = self.leader.as_ref().filter(|leader| !votes.covers(&leader.member))?;
        let suspected = self.now.saturating_sub(leader.heard) >= self.settings.timings.suspicion_timeout;
        (suspected && !self.settings.has(InjectedFault::ForgetSilenceOfMembers)).then_some(leader.member.id)
    }

    /// The highest value that a majority of the members has reached, as the primary knows it.
    fn majority_of(&self, record: &EpochConfig, value: impl Fn(&Peer) -> u64) -> u64 {
        let reached = |members: &[Member]| {
            let mut values: Vec<u64> = members
                .iter()
                .map(|m| match m.id {
                    id if id == self.me.id => u64::MAX,
                    // Danger: a disk that came after the bootstrap voters has no say for them.
                    MemberId(0) if m.address == self.me.address => u64::MAX,
                    MemberId(0) => {
                        let bootstrap_voters = self
                            .peers
                            .values()
                            .filter(|p| p.is_bootstrap_voter && p.member.address == m.address);
                        bootstrap_voters.map(&value).max().unwrap_or(0)
                    }
                    id => self.peers.get(&id).map_or(0, &value),
                })
                .collect();
            values.sort_unstable_by(|a, b| b.cmp(a));
            values.get(members.len() / 2).copied().unwrap_or(0)
        };
        reached(&record.members).min(reached(&record.outgoing_members))
    }

    /// The newest heartbeat that a majority has confirmed.
    pub(crate) fn confirmed_sequence(&self) -> u64 {
        let Role::Primary(lead) = &self.role else { return 0 };
        self.majority_of(&lead.record, |p| p.acked).min(lead.sequence)
    }

    /// Steps down without contact to a majority.
    pub(crate) fn keep_lease(&mut self) {
        let Role::Primary(lead) = &self.role else { return };
        let contact = self.majority_of(&lead.record, |p| p.contact).min(self.now);
        self.touched = self.touched.max(Some(contact));
        if !self.may_send_heartbeats() {
            self.step_down();
        }
    }

    /// Tells all, or the voters only, that this primary lives.
    pub(crate) fn send_heartbeats(&mut self, all: bool) {
        if !self.may_send_heartbeats() {
            return;
        }
        let (now, heartbeat) = (self.now, self.settings.timings.heartbeat_interval);
        let Role::Primary(lead) = &mut self.role else { return };
        lead.sequence += 1;
        lead.heartbeats.push_back((lead.sequence, now));
        if lead.heartbeats.len() > 64 {
            lead.heartbeats.pop_front();
        }
        if all {
            lead.next_heartbeat = now + heartbeat;
        }
        let mut messages = Vec::new();
        for peer in self.peers.values() {
            let voter = lead
                .record
                .members
                .iter()
                .chain(&lead.record.outgoing_members)
                .any(|m| m.id == peer.member.id);
            if all || voter {
                messages.push((peer.member.address, lead.heartbeat_for(peer)));
            }
        }
        messages.into_iter().for_each(|(to, send_heartbeats)| self.send(to, send_heartbeats));
    }

    /// Counts in a node that is no member.
    pub(crate) fn welcome(&mut self, member: Member) {
        let now = self.now;
        let new = !self.peers.contains_key(&member.id);
        if !new || self.peers.len() >= MOST_PEERS {
            return;
        }
        let peer = Peer::new(member, now);
        self.peers.insert(member.id, peer);
        // It counts when it has answered this.
        self.send_heartbeat_to(member.id);
    }

    /// Tells one peer at once that this primary lives.
    fn send_heartbeat_to(&mut self, id: MemberId) {
        let Role::Primary(lead) = &self.role else { return };
        let Some(peer) = self.peers.get(&id).filter(|_| self.may_send_heartbeats()) else { return };
        let (to, heartbeat) = (peer.member.address, lead.heartbeat_for(peer));
        self.send(to, heartbeat);
    }

    pub(crate) fn on_heartbeat_answer(&mut self, from: Member, answer: Message) {
        let Message::HeartbeatResponse {
            term,
            sequence,
            promised,
            accepted_term: accepted,
            known_term: seen,
            committed_revision: committed,
            is_healthy,
            lease_stamp: stamp,
        } = answer
        else {
            return;
        };
        self.highest = self.highest.max(promised.number);
        let (now, lease) = (self.now, self.settings.timings.lease);
        let Role::Primary(lead) = &mut self.role else { return };
        if lead.term != term {
            return;
        }
        if !self.peers.contains_key(&from.id) {
            self.welcome(from);
        }
        let Role::Primary(lead) = &mut self.role else { return };
        let Some(peer) = self.peers.get_mut(&from.id) else { return };
        (peer.heard, peer.is_healthy, peer.seen, peer.answered) = (now, is_healthy, seen, term);
        // It was out of touch: it need not wait for the next heartbeat of all.
        let returns = stamp.is_return(peer.stamp, lease);
        peer.stamp = Some(stamp.newest(peer.stamp));
        if is_healthy {
            peer.well = now;
            self.leaving.forget(from.id);
        }
        let voter = lead.record.voters().iter().any(|m| m.id == from.id);
        if promised > term && voter {
            lead.outbid.get_or_insert(now);
        }
        if promised <= term
            && let Some(sent) = lead.sent_at(sequence)
        {
            peer.contact = peer.contact.max(sent);
            peer.acked = peer.acked.max(sequence);
        }
        // What is told by this answer may be older than what was sent last.
        let settled = self
            .recent_changes
            .revision_at(now.saturating_sub(self.settings.timings.resend_interval), lead.state.revision);
        let lacks = sequence >= lead.told && committed.is_none_or(|r| r < settled);
        let rested = now.saturating_sub(peer.state_sent) >= self.settings.timings.state_resend_interval;
        let state = (lacks && (rested || peer.state_sent == 0)).then(|| lead.state.clone());
        if state.is_some() {
            peer.state_sent = now;
        }
        let record = (voter && accepted < term && promised <= term).then(|| lead.record.clone());
        if let Some(state) = state {
            self.send_news(from, committed, state);
        }
        if let Some(record) = record {
            self.send(from.address, Message::Accept { config: record });
        }
        if returns {
            self.send_heartbeat_to(from.id);
        }
    }

    /// Sends the committed state to one that knows an older one: the changes since then, or the whole.
    fn send_news(&mut self, to: Member, known: Option<u64>, state: ControlState) {
        let large = self.settings.chunk_sizes.large_state_bytes;
        let changes = known.and_then(|revision| self.recent_changes.since(revision, &state));
        let bytes = |changes: &Vec<StateDelta>| changes.iter().map(StateDelta::bytes).sum::<usize>();
        match changes.filter(|changes| bytes(changes) <= large.min(state.body.len())) {
            Some(changes) => self.send(to.address, Message::CommittedDeltas { deltas: changes }),
            None => self.send_state(to, StatePurpose::Committed, state),
        }
    }

    /// Sends a change to the disks that have to hold it.
    pub(crate) fn start_write(&mut self, state: ControlState) {
        let now = self.now;
        let whole = self.settings.has(InjectedFault::WholeStates);
        let Role::Primary(lead) = &mut self.role else { return };
        let change = if whole { None } else { StateDelta::between(&lead.state, &state) };
        let pending_write = PendingWrite {
            state: state.clone(),
            change: change.clone(),
            lacking: BTreeSet::new(),
            own: false,
            done: BTreeSet::new(),
            since: now,
            started: now,
            sent: now,
        };
        lead.pending_write = Some(pending_write);
        self.write_state(change, state, self.me);
        self.send_pending_write();
    }

    /// A backup is on its way to have the state: it is not slow.
    pub(crate) fn flight_progressed(&mut self, version: StateVersion) {
        let now = self.now;
        let Role::Primary(lead) = &mut self.role else { return };
        let Some(pending_write) = lead.pending_write.as_mut().filter(|f| f.state.version() == version) else {
            return;
        };
        if now.saturating_sub(pending_write.started) < MOST_TRANSFER {
            pending_write.since = now;
        }
    }

    fn send_pending_write(&mut self) {
        let Role::Primary(lead) = &self.role else { return };
        let Some(pending_write) = &lead.pending_write else { return };
        let backups = lead.record.backups.iter().filter(|id| !pending_write.done.contains(id));
        let backups: Vec<Member> = backups.filter_map(|id| lead.record.member(*id)).copied().collect();
        let (state, lacking) = (pending_write.state.clone(), pending_write.lacking.clone());
        let change =
            pending_write.change.clone().filter(|c| c.bytes() <= self.settings.chunk_sizes.large_state_bytes);
        for backup in backups {
            match change.clone().filter(|_| !lacking.contains(&backup.id)) {
                Some(change) => self.send(backup.address, Message::ReplicateDelta { delta: change }),
                None => self.send_state(backup, StatePurpose::ReplicateState, state.clone()),
            }
        }
    }

    pub(crate) fn own_state_written(&mut self, version: StateVersion) {
        let me = self.me.id;
        match &mut self.role {
            Role::Primary(lead) => {
                if let Some(pending_write) =
                    lead.pending_write.as_mut().filter(|f| f.state.version() == version)
                {
                    pending_write.own = true;
                    self.commit();
                }
            }
            Role::TakingOver(_) => self.stamped_at(me, version),
            Role::Follower => {}
        }
    }

    pub(crate) fn on_replicated(&mut self, from: Member, version: StateVersion) {
        match &mut self.role {
            Role::Primary(lead) => {
                if let Some(pending_write) =
                    lead.pending_write.as_mut().filter(|f| f.state.version() == version)
                {
                    pending_write.done.insert(from.id);
                    self.commit();
                }
            }
            Role::TakingOver(_) => self.stamped_at(from.id, version),
            Role::Follower => {}
        }
    }

    pub(crate) fn on_lacks_body(&mut self, from: Member, version: StateVersion) {
        let Role::Primary(lead) = &mut self.role else { return self.stamp_lacks_body(from, version) };
        let is_backup = lead.record.backups.contains(&from.id);
        let Some(pending_write) = lead.pending_write.as_mut().filter(|f| f.state.version() == version) else {
            return;
        };
        if is_backup && pending_write.lacking.insert(from.id) {
            let state = pending_write.state.clone();
            self.send_state(from, StatePurpose::ReplicateState, state);
        }
    }

    /// A change is committed when it is on the disks of the primary and of all backups.
    fn commit(&mut self) {
        let alone = self.settings.has(InjectedFault::CommitAlone);
        let (now, suspect) = (self.now, self.settings.timings.suspicion_timeout);
        let Role::Primary(lead) = &mut self.role else { return };
        let Some(pending_write) = &lead.pending_write else { return };
        if !pending_write.own
            || !alone && !lead.record.backups.iter().all(|id| pending_write.done.contains(id))
        {
            return;
        }
        let Some(pending_write) = lead.pending_write.take() else { return };
        lead.state = pending_write.state.clone();
        let large = self.settings.chunk_sizes.large_state_bytes;
        let change = pending_write.change.filter(|c| c.bytes() <= large);
        if change.is_none() {
            lead.told = lead.sequence + 1;
        }
        let backups = lead.record.backups.clone();
        match change.clone() {
            Some(change) => self.recent_changes.push(now, change),
            None => self.recent_changes.clear(),
        }
        self.show(pending_write.state.clone());
        // The backups have it and need the word only.
        self.send_heartbeats(true);
        let mut others = Vec::new();
        for (id, peer) in &mut self.peers {
            // Those that are silent get it when they answer again.
            if !backups.contains(id) && now.saturating_sub(peer.heard) <= suspect {
                if change.is_none() {
                    peer.state_sent = now;
                }
                others.push(peer.member);
            }
        }
        for member in others {
            match change.clone() {
                Some(change) => {
                    self.send(member.address, Message::CommittedDeltas { deltas: vec![change] });
                }
                None => self.send_state(member, StatePurpose::Committed, pending_write.state.clone()),
            }
        }
        self.finish_write();
    }

    pub(crate) fn primary_timers(&mut self) {
        self.hand_over_again();
        let now = self.now;
        let resend = self.settings.timings.state_resend_interval;
        let Role::Primary(lead) = &mut self.role else { return };
        let heartbeats = now >= lead.next_heartbeat;
        let again = lead.pending_write.as_mut().is_some_and(|f| {
            let again = now.saturating_sub(f.sent) >= resend;
            if again {
                f.sent = now;
            }
            again
        });
        if heartbeats {
            let record = lead.record.clone();
            self.peers.retain(|id, p| {
                let voter = record.members.iter().chain(&record.outgoing_members).any(|m| m.id == *id);
                voter || now.saturating_sub(p.heard) <= LEARNER_LASTS
            });
            self.send_heartbeats(true);
        }
        if again {
            self.send_pending_write();
        }
        self.renewal_timers();
    }
}
