//! The faults of the day: they begin, repeat and end.

use super::machine::Machine;
use super::proxies::{ProxyState, RestartConditions};
use super::{ConnectionId, Due, LinkChange, Output, ServerId, World};
use crate::Time;
use crate::fault::{FaultKind, FaultSpec, StartReference};
use crate::random::RandomStream;
use crate::server::{Server, ServerTraits};
use crate::units::ValueRange;

/// A killed process of a server starts again no sooner than this.
const MIN_SERVER_DOWNTIME: Time = Time::from_millis(100);
/// A killed proxy starts again no sooner than this.
const MIN_KILLED_PROXY_DOWNTIME: Time = Time::from_millis(500);
/// A stopped proxy starts again no sooner than this after the longest deadline: by then all its requests are over.
const STOPPED_PROXY_MARGIN: Time = Time::from_millis(700);
/// A draining server ends after such a time at the latest.
const MAX_DRAIN_TIME: ValueRange<Time> =
    ValueRange { min: Time::from_millis(4000), max: Time::from_millis(9000) };

/// What was drawn for a fault that lasts.
struct ActiveFault {
    servers: Vec<ServerId>,
    proxies: Vec<usize>,
    /// From 0 to 1: see [`FaultSpec::severity`].
    severity: f64,
    factor: f64,
    delay: Time,
    until: Time,
}

/// All faults of the day, by their index in the scenario.
pub(super) struct Faults {
    active: Vec<Option<ActiveFault>>,
    /// Faults that begin some time after all proxies are up.
    waiting_for_proxies: Vec<usize>,
}

impl Faults {
    pub(super) fn new(count: usize) -> Self {
        Self { active: (0..count).map(|_| None).collect(), waiting_for_proxies: Vec::new() }
    }

    /// The active faults of a kind.
    fn active_of_kind<'a>(
        &'a self,
        specs: &'a [FaultSpec],
        kind: FaultKind,
    ) -> impl Iterator<Item = &'a ActiveFault> {
        let active = self.active.iter().zip(specs).filter(move |(_, spec)| spec.kind == kind);
        active.filter_map(|(active, _)| active.as_ref())
    }

    /// The share of responses that arrive corrupted.
    pub(super) fn corrupted_share(&self, specs: &[FaultSpec]) -> f64 {
        self.active_of_kind(specs, FaultKind::CorruptedResponses).map(|active| active.severity).sum()
    }

    /// Draws whether a request is an expensive one, and returns its work.
    pub(super) fn expensive_work(&self, specs: &[FaultSpec], random: &mut RandomStream, usual: f64) -> f64 {
        let mut work = usual;
        for active in self.active_of_kind(specs, FaultKind::ExpensiveRequests) {
            if random.random_bool(active.severity) {
                work *= active.factor;
            }
        }
        work
    }
}

impl World {
    /// A fault begins.
    pub(super) fn begin_fault(&mut self, index: usize, outputs: &mut Vec<Output>) {
        let spec = self.scenario.faults[index].clone();
        let mut random = RandomStream::new(self.random.incidents.bits(), "strike", index as u64);
        let active = self.draw_fault(&spec, &mut random);
        match spec.kind {
            FaultKind::ServerHang
            | FaultKind::FastErrors
            | FaultKind::DelayedReports
            | FaultKind::ServerRestart
            | FaultKind::SilentServers => self.begin_server_fault(spec.kind, &active),
            FaultKind::NoisyNeighbor | FaultKind::RepeatedHangs => {
                self.queue.push(self.now, Due::FaultToggles { fault: index, is_on: true });
            }
            FaultKind::ServerReplacement => {
                self.servers.extend_drained_linger(active.delay);
                self.queue.push(self.now, Due::ServerReplaced { fault: index });
            }
            FaultKind::ConnectionResets => {
                self.queue.push(self.now, Due::ConnectionsReset { fault: index });
            }
            FaultKind::DelayedDiscovery => self.discovery.add_change_delay(active.delay),
            FaultKind::DiscoveryDown => self.set_discovery_down(true),
            FaultKind::DiscoveryRestored => {
                let age = random.uniform_time(spec.state_age);
                let backup = self.discovery.list_before(age, self.now);
                self.update_discovery(|discovery, _, finished| discovery.restore(Some(backup), finished));
            }
            FaultKind::DiscoveryCallsSilenced => {
                active.proxies.iter().for_each(|&proxy| self.discovery.forget_proxy(proxy));
            }
            FaultKind::DiscoveryMoved => {
                outputs.extend(active.proxies.iter().map(|&proxy| Output::MoveDiscovery(proxy)));
            }
            FaultKind::ProxyStop | FaultKind::ProxyKill => {
                self.stop_proxies(&spec, &active, &mut random, outputs);
            }
            FaultKind::ProxyPause => self.pause_proxies(&active.proxies, outputs),
            FaultKind::LinkBlocked
            | FaultKind::LinkDelayed
            | FaultKind::LinkThrottled
            | FaultKind::LinkUnread
            | FaultKind::LinkReset => {
                if let Some(change) = draw_link_change(&spec, active.delay, &mut random) {
                    self.begin_link_fault(index, &active.proxies, change, outputs);
                }
            }
            FaultKind::CorruptedResponses | FaultKind::LoadSurge | FaultKind::ExpensiveRequests => {}
        }
        self.queue.push(active.until, Due::FaultEnds(index));
        self.faults.active[index] = Some(active);
        self.release_next_fault(index);
    }

    /// Draws what a fault does, and whom it affects.
    fn draw_fault(&self, spec: &FaultSpec, random: &mut RandomStream) -> ActiveFault {
        let until = self.now + random.uniform_time(spec.duration);
        let severity = random.uniform(spec.severity.map(|part| part.0));
        let delay = random.uniform_time(spec.delay);
        let factor = random.uniform(spec.factor);
        let share = random.uniform(spec.affected_share.map(|part| part.0));
        let zone = spec.zone.as_ref().and_then(|name| self.scenario.zone_index(name));
        let is_in_zone = |other: usize| zone.is_none_or(|zone| zone == other);
        let serving = self.servers.iter().filter(|(_, machine)| machine.is_serving());
        let servers = serving.filter(|(_, machine)| is_in_zone(machine.zone()));
        let servers = draw_affected(servers.map(|(server, _)| server).collect(), share, random);
        let proxies = (0..self.proxies.len()).filter(|&proxy| is_in_zone(self.proxies[proxy].zone()));
        let proxies = draw_affected(proxies.collect(), share, random);
        ActiveFault { servers, proxies, severity, factor, delay, until }
    }

    /// A fault begins that affects each server for itself.
    fn begin_server_fault(&mut self, kind: FaultKind, active: &ActiveFault) {
        match kind {
            FaultKind::ServerHang => {
                self.change_servers(&active.servers, |process| process.set_hanging(true));
            }
            FaultKind::FastErrors => self.set_fast_errors(&active.servers, active.severity),
            FaultKind::DelayedReports => {
                self.servers.processes_mut().for_each(|process| process.set_report_delay(active.delay));
            }
            FaultKind::ServerRestart => {
                for &server in &active.servers {
                    self.end_process(server);
                    let at = self.now + active.delay.max(MIN_SERVER_DOWNTIME);
                    self.queue.push(at, Due::ServerStarts(server));
                }
            }
            FaultKind::SilentServers => {
                for &server in &active.servers {
                    self.advance_server(server);
                    self.servers.machine_mut(server).cut_off();
                    self.topology_version += 1;
                    self.announce_cut_off(server);
                    self.queue.push(active.until, Due::ServerReturns(server));
                }
            }
            _ => {}
        }
    }

    /// Proxies are stopped or killed, and start again.
    fn stop_proxies(
        &mut self,
        spec: &FaultSpec,
        active: &ActiveFault,
        random: &mut RandomStream,
        outputs: &mut Vec<Output>,
    ) {
        let is_graceful = spec.kind == FaultKind::ProxyStop;
        let min_downtime = match is_graceful {
            true => self.scenario.longest_deadline() + STOPPED_PROXY_MARGIN,
            false => MIN_KILLED_PROXY_DOWNTIME,
        };
        for &proxy in &active.proxies {
            self.proxies[proxy].stop(RestartConditions {
                saved_list: spec.saved_list,
                saved_list_age: random.uniform_time(spec.state_age),
                stored_state: spec.stored_state,
            });
            outputs.push(match is_graceful {
                true => Output::StopProxy(proxy),
                false => Output::KillProxy(proxy),
            });
            self.queue.push(self.now + active.delay.max(min_downtime), Due::ProxyStarts(proxy));
        }
    }

    /// A fault has begun: the next one may wait until all proxies are up after it.
    fn release_next_fault(&mut self, index: usize) {
        let next = self.scenario.faults.get(index + 1);
        if next.is_some_and(|next| next.start_reference == StartReference::AllProxiesUp) {
            self.faults.waiting_for_proxies.push(index + 1);
            self.schedule_waiting_faults();
        }
    }

    /// If all proxies are up, the faults that wait for that are scheduled.
    pub(super) fn schedule_waiting_faults(&mut self) {
        if !self.proxies.iter().all(ProxyState::is_up) {
            return;
        }
        for index in std::mem::take(&mut self.faults.waiting_for_proxies) {
            let wait = self.random.incidents.uniform_time(self.scenario.faults[index].starts_at);
            self.queue.push(self.now + wait, Due::FaultBegins(index));
        }
    }

    /// A fault ends.
    pub(super) fn end_fault(&mut self, index: usize, outputs: &mut Vec<Output>) {
        let Some(active) = self.faults.active[index].take() else { return };
        match self.scenario.faults[index].kind {
            FaultKind::ServerHang | FaultKind::RepeatedHangs => {
                self.change_servers(&active.servers, |process| process.set_hanging(false));
            }
            FaultKind::FastErrors => self.set_fast_errors(&active.servers, 0.0),
            FaultKind::NoisyNeighbor => {
                self.change_servers(&active.servers, |process| process.set_stolen_share(0.0));
            }
            FaultKind::DelayedReports => {
                self.servers.processes_mut().for_each(|process| process.set_report_delay(Time::ZERO));
            }
            FaultKind::DelayedDiscovery => self.discovery.remove_change_delay(active.delay),
            FaultKind::DiscoveryDown => self.set_discovery_down(false),
            FaultKind::DiscoveryRestored => {
                self.update_discovery(|discovery, _, finished| discovery.restore(None, finished));
            }
            FaultKind::ProxyPause => self.resume_proxies(&active.proxies, outputs),
            FaultKind::LinkBlocked
            | FaultKind::LinkDelayed
            | FaultKind::LinkThrottled
            | FaultKind::LinkUnread => self.end_link_fault(index, outputs),
            _ => {}
        }
    }

    fn set_fast_errors(&mut self, servers: &[ServerId], share: f64) {
        for &server in servers {
            self.servers.machine_mut(server).set_fast_error_share(share);
        }
    }

    /// Changes something at the processes of servers from now on.
    fn change_servers(&mut self, servers: &[ServerId], change: impl Fn(&mut Server)) {
        for &server in servers {
            self.advance_server(server);
            if let Some(process) = self.servers.machine_mut(server).process_mut() {
                change(process);
            }
            self.schedule_server_step(server);
        }
    }

    /// A fault that is on and off in turn changes.
    pub(super) fn toggle_fault(&mut self, index: usize, is_on: bool) {
        let Some(active) = &self.faults.active[index] else { return };
        let (servers, severity, until) = (active.servers.clone(), active.severity, active.until);
        let spec = &self.scenario.faults[index];
        let random = &mut self.random.incidents;
        let mut next = self.now + random.uniform_time(spec.interval);
        if spec.kind == FaultKind::RepeatedHangs {
            let hang = spec.delay;
            self.change_servers(&servers, |process| process.set_hanging(is_on));
            if is_on {
                next = self.now + self.random.incidents.uniform_time(hang);
            }
        } else {
            let share = if is_on { severity } else { 0.0 };
            self.change_servers(&servers, |process| process.set_stolen_share(share));
        }
        if next < until {
            self.queue.push(next, Due::FaultToggles { fault: index, is_on: !is_on });
        }
    }

    /// The oldest server drains, and a new one starts in its place.
    pub(super) fn replace_next_server(&mut self, fault: usize) {
        let Some(active) = &self.faults.active[fault] else { return };
        let (until, address_reuse) = (active.until, active.severity);
        // The oldest first, so that all servers of a day are replaced in turn.
        let oldest = self.servers.iter().find(|(_, machine)| machine.is_serving()).map(|(server, _)| server);
        if let Some(old) = oldest {
            self.drain_server(old);
            self.start_replacement(old, address_reuse);
        }
        let next = self.now + self.random.incidents.uniform_time(self.scenario.faults[fault].interval);
        if next < until {
            self.queue.push(next, Due::ServerReplaced { fault });
        }
    }

    fn drain_server(&mut self, server: ServerId) {
        self.servers.machine_mut(server).drain();
        self.announce_server(server);
        let limit = self.random.incidents.uniform_time(MAX_DRAIN_TIME);
        let ends_at = self.now + limit.max(self.servers.drained_linger());
        self.queue.push(ends_at, Due::ServerEnds(server));
    }

    /// Starts a new server of the same kind and zone, with this probability at an address that was used before.
    fn start_replacement(&mut self, old: ServerId, address_reuse: f64) {
        let &ServerTraits { kind, zone, .. } = self.servers.machine(old).traits();
        let seed = self.random.incidents.bits();
        let mut random = RandomStream::new(seed, "replacement", self.servers.len() as u64);
        let traits = ServerTraits::draw(&self.scenario.kinds[kind], kind, zone, &mut random);
        let free = self.servers.free_address_in(zone);
        let reused = free.filter(|_| self.random.incidents.random_bool(address_reuse));
        let address = match reused {
            Some(index) => self.servers.take_free_address(index),
            None => self.servers.new_address(),
        };
        let server = self.servers.add(Machine::new(traits, address, self.now, random));
        self.start_server(server);
    }

    /// Some connections of one of the affected servers are reset.
    pub(super) fn reset_some_connections(&mut self, fault: usize) {
        let Some(active) = &self.faults.active[fault] else { return };
        let (until, share) = (active.until, active.severity);
        if !active.servers.is_empty() {
            let server = active.servers[self.random.incidents.index_below(active.servers.len())];
            let connections: Vec<ConnectionId> = self.servers.machine(server).connections().collect();
            for connection in connections {
                if self.random.incidents.random_bool(share) {
                    self.reset_connection(server, connection);
                }
            }
        }
        let next = self.now + self.random.incidents.uniform_time(self.scenario.faults[fault].interval);
        if next < until {
            self.queue.push(next, Due::ConnectionsReset { fault });
        }
    }
}

/// Draws a share of all, at least one.
fn draw_affected<T>(mut all: Vec<T>, share: f64, random: &mut RandomStream) -> Vec<T> {
    random.shuffle(&mut all);
    let count = ((all.len() as f64 * share).round() as usize).clamp(all.len().min(1), all.len());
    all.truncate(count);
    all
}

/// What a fault does to links; `None` for a fault of something else.
fn draw_link_change(spec: &FaultSpec, delay: Time, random: &mut RandomStream) -> Option<LinkChange> {
    Some(match spec.kind {
        FaultKind::LinkBlocked => LinkChange::Blocked(spec.direction),
        FaultKind::LinkDelayed => LinkChange::Delayed(delay),
        FaultKind::LinkThrottled => {
            let bytes_per_second = random.uniform(spec.bytes_per_second.map(|bytes| bytes.0 as f64));
            LinkChange::Throttled(bytes_per_second as u64)
        }
        FaultKind::LinkUnread => LinkChange::Unread,
        FaultKind::LinkReset => LinkChange::Reset,
        _ => return None,
    })
}
