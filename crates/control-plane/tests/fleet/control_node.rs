//! A control machine: the state machines of one process, wired as the program wires them, and its disk.

use mosshead_time::{Duration, Instant};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

use mosshead_consensus::{ClientReply, Input, Member, Message, Node, Output, Settings};
use mosshead_control_plane::ConfigHistory;
use mosshead_control_plane::{
    AcknowledgementDecision, EntryReplication, EntryVersion, ReplicaSet, ShutdownAcknowledgements,
    ShutdownStep, latest_local_entries,
};
use mosshead_control_plane::{
    AdmissionStep, ChangeAdmission, ChangeRequest, ChangeResponse, KnownPrimary, ReadResponse, read_response,
};
use mosshead_control_plane::{InjectedFault, QuorumContact};
use mosshead_registry::{HeartbeatOutcome, Registry, SourceId, VersionVector};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::messages::{
    Answer, Call, Fetched, Heard as HeardAnswer, Inbound, Packet, Party, Pending, Pulled, Purpose,
};
use crate::simulation::{Event, TICK_MS, World, address};
use crate::stage_role::Duty;

pub const KEEPALIVE_MS: u64 = 500;
/// Entries given at once.
const PAGE: usize = 400;
/// So long after its start a machine says that it may lack entries.
const NEW_MS: u64 = 6_000;
/// A copy of a leaving server's word arrives within this.
const COPY_MS: u64 = 350;
const CALL_MS: u64 = 900;

pub struct ControlMachine {
    pub address: SocketAddrV4,
    pub settings: Settings,
    pub process: Option<Process>,
    pub life: u64,
    pub disk: Disk,
    /// Taken away for good.
    pub is_gone: bool,
    /// Since when it is cut off from a majority, by the network's truth.
    pub isolated_since: Option<u64>,
    /// When something was last the matter with it.
    pub disturbed: u64,
}

/// What a process holds in memory.
pub struct Process {
    pub node: Node<Pcg64Mcg>,
    pub register: Registry,
    history: ConfigHistory,
    acknowledgements: ShutdownAcknowledgements,
    asks: BTreeMap<u64, Ask>,
    next_ask: u64,
    collections: BTreeMap<u64, Collection>,
    next_collection: u64,
    pub duty: Duty,
    started: u64,
    turns: u64,
}

enum Ask {
    Show(Inbound),
    Confirm(Inbound, Box<ChangeAdmission<Vec<u8>>>),
    Submit(Inbound, Box<ChangeAdmission<Vec<u8>>>),
}

struct Collection {
    copies: EntryReplication,
    inbound: Inbound,
    server: String,
}

#[derive(Default)]
pub struct Disk {
    pub records: Vec<Vec<u8>>,
    /// Token, whether the log is replaced, record.
    queue: VecDeque<(u64, bool, Vec<u8>)>,
}

impl Disk {
    fn put(&mut self, rewrite: bool, record: Vec<u8>) {
        if rewrite {
            self.records.clear();
        }
        self.records.push(record);
    }
}

impl Process {
    fn contact(&self, now: u64) -> QuorumContact {
        QuorumContact::from_flag(self.node.has_quorum_contact(Instant::from_millis(now)))
    }

    fn leader(&self, now: u64, by_role: bool) -> KnownPrimary {
        let primary =
            if by_role { self.node.primary() } else { self.node.primary_at(Instant::from_millis(now)) };
        match primary.map(|primary| primary.address) {
            Some(address) if address == self.node.local_member().address => KnownPrimary::Local,
            Some(address) => KnownPrimary::Remote(address),
            None => KnownPrimary::Unknown,
        }
    }

    fn membership(&self, failures: usize) -> ReplicaSet {
        let members = self.node.members().iter().map(|member| member.address).collect();
        ReplicaSet { local_address: self.node.local_member().address, members, tolerated_failures: failures }
    }
}

impl World {
    pub fn add_core(&mut self, bootstrap: bool) -> usize {
        let core = self.cores.len();
        let seeds = (0..3).map(address).collect();
        let mut settings = Settings::new(address(core), self.failures, bootstrap, seeds);
        settings.injected_fault = self.mutant.consensus;
        settings.log_rewrite_bytes = 20_000;
        self.cores.push(ControlMachine {
            address: address(core),
            settings,
            process: None,
            life: 0,
            disk: Disk::default(),
            is_gone: false,
            isolated_since: Some(self.now),
            disturbed: self.now,
        });
        core
    }

    pub fn start_core(&mut self, core: usize) {
        if self.cores[core].is_gone || self.cores[core].process.is_some() {
            return;
        }
        let seed = self.rng.next_u64();
        let source = SourceId(self.rng.next_u64());
        let (now, injected) = (self.now, self.mutant.control);
        let machine = &mut self.cores[core];
        machine.life += 1;
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let node = match Node::new(
            machine.settings.clone(),
            &machine.disk.records,
            Instant::from_millis(now),
            rng,
        ) {
            Ok(node) => node,
            Err(fault) => return self.ledger.broken("disk", format!("control machine {core}: {fault}")),
        };
        machine.process = Some(Process {
            node,
            register: Registry::new(source, Duration::from_millis(KEEPALIVE_MS)),
            history: ConfigHistory::with_injected_fault(injected),
            acknowledgements: ShutdownAcknowledgements::with_injected_fault(injected),
            asks: BTreeMap::new(),
            next_ask: 0,
            collections: BTreeMap::new(),
            next_collection: 0,
            duty: Duty::default(),
            started: now,
            turns: 0,
        });
        let life = machine.life;
        self.note_disturbed(Party::Control(core));
        self.note_isolation();
        let phase = self.below(TICK_MS);
        self.after(phase, Event::ControlTick { core, life });
    }

    /// Ends a process. What it had written without a sync is there up to some write.
    pub fn kill_core(&mut self, core: usize) {
        let kept = self.below(4) as usize;
        let machine = &mut self.cores[core];
        machine.process = None;
        machine.life += 1;
        let queue = std::mem::take(&mut machine.disk.queue);
        for (_, rewrite, record) in queue.into_iter().take(kept) {
            machine.disk.put(rewrite, record);
        }
        self.network.frozen.remove(&Party::Control(core));
        self.note_disturbed(Party::Control(core));
        self.note_isolation();
    }

    pub fn wipe_core(&mut self, core: usize) {
        self.kill_core(core);
        self.cores[core].disk = Disk::default();
        self.cores[core].settings.bootstrap = false;
    }

    pub fn control_timer(&mut self, core: usize, life: u64) {
        if self.cores[core].life != life || self.cores[core].process.is_none() {
            return;
        }
        if !self.is_frozen(Party::Control(core)) {
            self.control_tick(core);
        }
        self.after(TICK_MS, Event::ControlTick { core, life });
    }

    pub fn control_tick(&mut self, core: usize) {
        self.control_step(core, Input::Tick);
        let now = self.now;
        let Some(process) = &mut self.cores[core].process else { return };
        process.turns += 1;
        let turns = process.turns;
        if turns.is_multiple_of(4) {
            self.follow_others(core);
            self.duty_turn(core);
        }
        if turns.is_multiple_of(10) {
            self.tell_heard(core, now);
        }
    }

    fn others(&self, core: usize) -> Vec<usize> {
        self.standing().into_iter().filter(|other| *other != core).collect()
    }

    fn follow_others(&mut self, core: usize) {
        for other in self.others(core) {
            let Some(process) = &self.cores[core].process else { return };
            let vector = process.register.vector();
            let call = Call::Pull { vector, is_proxy: false };
            let purpose = Purpose::Follow { other: self.cores[other].address };
            self.request(Party::Control(core), Party::Control(other), call, purpose, CALL_MS);
        }
    }

    fn tell_heard(&mut self, core: usize, now: u64) {
        let Some(process) = &mut self.cores[core].process else { return };
        process.register.tick(Instant::from_millis(now));
        let digest =
            process.register.heartbeats_since(Instant::from_millis(now) - Duration::from_millis(1_500));
        let source = process.register.local_id().0;
        for other in self.others(core) {
            let call = Call::Hears { source, digest: digest.clone() };
            self.request(Party::Control(core), Party::Control(other), call, Purpose::Nothing, COPY_MS);
        }
    }

    pub fn control_message(&mut self, core: usize, from: Member, message: Message) {
        self.control_step(core, Input::Message { from, message });
    }

    fn control_step(&mut self, core: usize, input: Input) {
        let now = self.now;
        let Some(process) = &mut self.cores[core].process else { return };
        let outputs = process.node.step(Instant::from_millis(now), input);
        let member = process.node.local_member();
        for output in outputs {
            self.carry_out(core, member, output);
        }
    }

    fn carry_out(&mut self, core: usize, member: Member, output: Output) {
        match output {
            Output::Send { to, message } => {
                if let Some(to) = self.core_at(to) {
                    let packet = Packet::Consensus { from: member, message };
                    self.send(Party::Control(core), Party::Control(to), packet);
                }
            }
            Output::Write { token, record } => self.write(core, token, false, record),
            Output::Rewrite { token, record } => self.write(core, token, true, record),
            Output::Reply { request_id: ask, reply: result } => self.asked(core, ask, result),
            Output::Committed { state } => {
                let Some(process) = &mut self.cores[core].process else { return };
                if let Err(fault) = process.history.commit(&state) {
                    self.ledger.broken("invalid", format!("what is committed can't be read: {fault}"));
                }
            }
            Output::BecamePrimary { .. } | Output::SteppedDown => {}
        }
    }

    fn write(&mut self, core: usize, token: u64, rewrite: bool, record: Vec<u8>) {
        let life = self.cores[core].life;
        self.cores[core].disk.queue.push_back((token, rewrite, record));
        if self.cores[core].disk.queue.len() == 1 {
            let span = 2 + self.below(4);
            self.after(span, Event::Disk { core, life });
        }
    }

    pub fn disk_done(&mut self, core: usize, life: u64) {
        if self.cores[core].life != life {
            return;
        }
        if self.is_frozen(Party::Control(core)) {
            return self.after(20, Event::Disk { core, life });
        }
        let disk = &mut self.cores[core].disk;
        let Some((token, rewrite, record)) = disk.queue.pop_front() else { return };
        disk.put(rewrite, record);
        if !disk.queue.is_empty() {
            let span = 2 + self.below(4);
            self.after(span, Event::Disk { core, life });
        }
        self.control_step(core, Input::Written { token });
    }

    pub fn control_request(&mut self, core: usize, inbound: Inbound, call: Call) {
        if self.cores[core].process.is_none() {
            return;
        }
        match call {
            Call::Pull { vector, is_proxy } => {
                self.serve_pull(core, inbound, &vector, is_proxy);
            }
            Call::Fetch { have } => self.serve_fetch(core, inbound, have),
            Call::Hand { delta } => {
                let now = self.now;
                let Some(process) = &mut self.cores[core].process else { return };
                process.register.merge(Instant::from_millis(now), delta);
                let vector = process.register.vector();
                self.reply(core, inbound, Answer::Handed(vector));
            }
            Call::Hears { source, digest } => {
                let now = self.now;
                let Some(process) = &mut self.cores[core].process else { return };
                let digest = digest.iter().map(|(id, sequence)| (id.as_str(), *sequence));
                process.register.record_remote_heartbeats(
                    Instant::from_millis(now),
                    SourceId(source),
                    digest,
                );
            }
            Call::Change { change } => self.admit(core, inbound, change),
            Call::Show => self.show(core, inbound),
            Call::Beat(server) => {
                let now = self.now;
                let Some(process) = &mut self.cores[core].process else { return };
                let id = server.id.clone();
                let heard = process.register.record_heartbeat(Instant::from_millis(now), server);
                self.heard(core, inbound, &id, heard);
            }
            Call::Deregister { id } => {
                let now = self.now;
                let Some(process) = &mut self.cores[core].process else { return };
                let heard = process.register.deregister(Instant::from_millis(now), &id);
                self.heard(core, inbound, &id, heard);
            }
            Call::Order { .. } => panic!("an order to a control machine"),
        }
    }

    fn serve_pull(&mut self, core: usize, inbound: Inbound, vector: &VersionVector, is_proxy: bool) {
        let now = self.now;
        let cores: Vec<SocketAddrV4> =
            self.standing().into_iter().map(|core| self.cores[core].address).collect();
        let Some(process) = &mut self.cores[core].process else { return };
        if !is_proxy {
            process.register.mark_replicated(vector);
        }
        let contact = process.contact(now);
        let is_new = now < process.started + NEW_MS;
        let lacks = process.register.has_unknown_source(vector) || process.register.is_behind(vector);
        let answer = Pulled {
            revision: process.history.advertised_revision(contact),
            delta: process.register.missing_entries(vector, PAGE),
            cores,
            contact,
            wants: is_new && lacks,
        };
        self.reply(core, inbound, Answer::Pulled(answer));
    }

    fn serve_fetch(&mut self, core: usize, inbound: Inbound, have: u64) {
        let isolated_ms = self.isolated_ms(core);
        let Some(process) = &self.cores[core].process else { return };
        let offer = process.history.offer(have, process.contact(self.now));
        self.reply(core, inbound, Answer::Fetched(Fetched { offer, isolated_ms }));
    }

    fn admit(&mut self, core: usize, inbound: Inbound, change: usize) {
        let change = &self.ledger.changes[change];
        let request = ChangeRequest {
            kind: change.kind,
            base_revision: Some(change.base),
            body: change.body.clone(),
            digest: change.digest,
        };
        let injected: Option<InjectedFault> = self.mutant.control;
        let Some(process) = &self.cores[core].process else { return };
        let (state, config) = (process.node.committed_state().cloned(), process.history.current().cloned());
        let (admission, step) = ChangeAdmission::begin(
            request,
            process.leader(self.now, self.mutant.leader_by_role),
            state.as_ref(),
            config,
            injected,
        );
        self.next_step(core, inbound, Box::new(admission), step);
    }

    fn next_step(
        &mut self,
        core: usize,
        inbound: Inbound,
        admission: Box<ChangeAdmission<Vec<u8>>>,
        step: AdmissionStep,
    ) {
        match step {
            AdmissionStep::Respond(answer) => self.reply(core, inbound, Answer::Changed(answer)),
            AdmissionStep::ConfirmState => {
                let ask = self.new_ask(core, Ask::Confirm(inbound, admission));
                self.control_step(core, Input::Read { request_id: ask });
            }
            AdmissionStep::Submit(submission) => {
                let ask = self.new_ask(core, Ask::Submit(inbound, admission));
                let (base, revision) = (submission.base_revision, submission.revision);
                let (body, digest) = (submission.body, submission.digest);
                self.control_step(
                    core,
                    Input::Change { request_id: ask, base_revision: base, revision, body, digest },
                );
            }
        }
    }

    fn show(&mut self, core: usize, inbound: Inbound) {
        let Some(process) = &self.cores[core].process else { return };
        let answer = match process.leader(self.now, self.mutant.leader_by_role) {
            KnownPrimary::Local => {
                let ask = self.new_ask(core, Ask::Show(inbound));
                return self.control_step(core, Input::Read { request_id: ask });
            }
            KnownPrimary::Remote(leader) => ReadResponse::Redirect { primary: leader },
            KnownPrimary::Unknown => ReadResponse::Unavailable,
        };
        self.reply(core, inbound, Answer::Shown(answer));
    }

    fn new_ask(&mut self, core: usize, ask: Ask) -> u64 {
        let Some(process) = &mut self.cores[core].process else { return 0 };
        process.next_ask += 1;
        process.asks.insert(process.next_ask, ask);
        process.next_ask
    }

    fn asked(&mut self, core: usize, ask: u64, verdict: ClientReply) {
        let Some(process) = &mut self.cores[core].process else { return };
        match process.asks.remove(&ask) {
            None => {}
            Some(Ask::Show(inbound)) => self.reply(core, inbound, Answer::Shown(read_response(verdict))),
            Some(Ask::Confirm(inbound, mut admission)) => {
                let step = admission.on_state_confirmed(verdict);
                self.next_step(core, inbound, admission, step);
            }
            Some(Ask::Submit(inbound, admission)) => {
                let answer = admission.on_proposal_result(verdict);
                let is_accepted = matches!(answer, ChangeResponse::Accepted { .. });
                self.reply(core, inbound, Answer::Changed(answer));
                if is_accepted && let Some(act) = self.after_change.take() {
                    self.after(0, Event::Act(act));
                }
            }
        }
    }

    fn heard(&mut self, core: usize, inbound: Inbound, id: &str, heard: HeartbeatOutcome) {
        let (now, failures) = (self.now, self.failures);
        let Some(process) = &mut self.cores[core].process else { return };
        if heard.error.is_some() {
            return self.reply_heard(core, inbound, false);
        }
        let (contact, membership) = (process.contact(now), process.membership(failures));
        match process.acknowledgements.begin(&process.register, id, &heard, contact, &membership) {
            ShutdownStep::Acknowledge => self.acknowledge(core, inbound, id),
            ShutdownStep::Reject => self.reply_heard(core, inbound, false),
            ShutdownStep::Replicate(copies) => {
                process.next_collection += 1;
                let number = process.next_collection;
                let server = id.to_owned();
                process.collections.insert(number, Collection { copies, inbound, server });
                for other in self.others(core) {
                    self.copy(core, number, self.cores[other].address, None);
                }
                self.decide(core, number);
            }
        }
    }

    /// Sends a copy: the latest entries, or what the other lacks after these.
    fn copy(&mut self, core: usize, collection: u64, other: SocketAddrV4, shown: Option<&VersionVector>) {
        let Some(process) = &self.cores[core].process else { return };
        let delta = match shown {
            None => latest_local_entries(&process.register),
            Some(shown) => process.register.missing_entries(shown, PAGE),
        };
        let purpose = Purpose::Copy { collection, other, again: shown.is_some() };
        if let Some(to) = self.core_at(other) {
            self.request(Party::Control(core), Party::Control(to), Call::Hand { delta }, purpose, COPY_MS);
        }
    }

    fn decide(&mut self, core: usize, number: u64) {
        let now = self.now;
        let Some(process) = &mut self.cores[core].process else { return };
        let contact = process.contact(now);
        let Some(collection) = process.collections.get(&number) else { return };
        let (decision, entry) = (collection.copies.decision(contact), collection.copies.entry());
        if decision == AcknowledgementDecision::Wait {
            return;
        }
        let Some(collection) = process.collections.remove(&number) else { return };
        if decision == AcknowledgementDecision::Acknowledge {
            process.acknowledgements.record_acknowledged(entry);
            self.acknowledge(core, collection.inbound, &collection.server);
        } else {
            self.reply_heard(core, collection.inbound, false);
        }
    }

    fn reply_heard(&mut self, core: usize, inbound: Inbound, is_acknowledged: bool) {
        let isolated_ms = self.isolated_ms(core);
        self.reply(core, inbound, Answer::Heard(HeardAnswer { is_acknowledged, isolated_ms }));
    }

    fn acknowledge(&mut self, core: usize, inbound: Inbound, id: &str) {
        self.reply_heard(core, inbound, true);
        let process = self.cores[core].process.as_ref();
        let leaves =
            process.and_then(|process| process.register.entry(id)).and_then(EntryVersion::of_shutdown);
        if leaves.is_some() && self.is_first_word_of_leaving(inbound.from) {
            self.drain_acknowledged(core, inbound.from, id);
        }
    }

    pub fn control_response(&mut self, core: usize, pending: Pending, answer: Option<Answer>) {
        let now = self.now;
        match (pending.purpose, answer) {
            (Purpose::Copy { collection, other, again }, answer) => {
                self.copied(core, collection, other, again, answer);
            }
            (Purpose::Follow { other }, Some(Answer::Pulled(pulled))) => {
                let Some(process) = &mut self.cores[core].process else { return };
                process.register.merge(Instant::from_millis(now), pulled.delta);
                if pulled.wants
                    && let Some(to) = self.core_at(other)
                {
                    let Some(process) = &self.cores[core].process else { return };
                    let delta = process.register.missing_entries(&VersionVector::default(), 5_000);
                    let call = Call::Hand { delta };
                    self.request(Party::Control(core), Party::Control(to), call, Purpose::Nothing, CALL_MS);
                }
            }
            (Purpose::Order, answer) => self.order_answered(core, answer),
            _ => {}
        }
    }

    fn copied(&mut self, core: usize, number: u64, other: SocketAddrV4, again: bool, answer: Option<Answer>) {
        let Some(process) = &mut self.cores[core].process else { return };
        let shown = match answer {
            Some(Answer::Handed(vector)) => Some(vector),
            _ => None,
        };
        if let Some(shown) = &shown {
            process.register.mark_replicated(shown);
        }
        let Some(collection) = process.collections.get_mut(&number) else { return };
        let lacks = shown.as_ref().is_some_and(|shown| !collection.copies.entry().is_covered_by(shown));
        if lacks && !again {
            return self.copy(core, number, other, shown.as_ref());
        }
        collection.copies.record_reply(other, shown.as_ref());
        self.decide(core, number);
    }
}
