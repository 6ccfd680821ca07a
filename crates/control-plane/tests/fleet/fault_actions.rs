//! Faults and their effect on the fleet: partitions, pauses, restarts, disk loss and power loss.

use mosshead_registry::OperState;
use mosshead_time::Duration;
use mosshead_virtual_fleet::{control_node_address, millis};

use crate::messages::Party;
use crate::simulation::{Event, Simulation};

/// How long after a fault a control node needs to synchronize.
const SYNC_TIME: Duration = millis(5_000);
/// How long control nodes that have acknowledged a shutdown stay down.
const REPLICA_DOWNTIME: Duration = millis(6_000);

/// What is lost when a control node stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Loss {
    Process,
    ProcessAndDisk,
}

/// A fault, or the end of one.
#[derive(Clone, Debug)]
pub(crate) enum FaultAction {
    Resume(Party),
    Heal,
    Start(usize),
    StartAll,
    /// The primary and `count - 1` other control nodes stop, and restart later.
    LosePrimary {
        count: usize,
        loss: Loss,
        restart_after: Duration,
    },
    /// Stops control nodes that have the entry of a server's shutdown, up to the tolerated number of
    /// failures, and ends the server. If `only_node` is set, it applies only to a shutdown that this node
    /// acknowledged.
    LoseReplicas {
        only_node: Option<usize>,
        shutdown: Option<AcknowledgedShutdown>,
    },
    /// Stops all control nodes and proxies when a server's shutdown is acknowledged, and ends the server.
    LoseAllPower {
        shutdown: Option<AcknowledgedShutdown>,
    },
}

/// A server's shutdown that a control node is acknowledging.
#[derive(Clone, Debug)]
pub(crate) struct AcknowledgedShutdown {
    control_node: usize,
    server: usize,
    id: String,
}

impl FaultAction {
    /// Returns true if the action applies to an acknowledgement by this control node.
    pub(crate) fn applies_to(&self, control_node: usize) -> bool {
        !matches!(self, FaultAction::LoseReplicas { only_node: Some(only_node), .. } if *only_node != control_node)
    }

    /// Returns the same action, applied to this acknowledged shutdown.
    pub(crate) fn for_shutdown(self, control_node: usize, server: usize, id: &str) -> FaultAction {
        match self {
            FaultAction::LoseReplicas { only_node, .. } => FaultAction::LoseReplicas {
                only_node,
                shutdown: Some(AcknowledgedShutdown { control_node, server, id: id.to_owned() }),
            },
            FaultAction::LoseAllPower { .. } => FaultAction::LoseAllPower {
                shutdown: Some(AcknowledgedShutdown { control_node, server, id: id.to_owned() }),
            },
            other => other,
        }
    }
}

impl Simulation {
    /// Returns true if a fault affects a control node, or it has not synchronized yet after one.
    fn is_affected_by_fault(&self, control_node: usize) -> bool {
        self.had_fault_since(Party::Control(control_node), self.now() - SYNC_TIME)
    }

    /// Picks control nodes that may fail now; in half of the cases the primary comes first.
    fn pick_fault_targets(&mut self, max_count: usize) -> Vec<usize> {
        let members = self.members();
        let capacity = self.tolerated_failures.saturating_sub(
            members.iter().filter(|control_node| self.is_affected_by_fault(**control_node)).count(),
        );
        let mut healthy: Vec<usize> =
            members.into_iter().filter(|control_node| !self.is_affected_by_fault(*control_node)).collect();
        let mut chosen: Vec<usize> = Vec::new();
        if self.random.is_one_in(2) {
            chosen.extend(self.primary().filter(|control_node| healthy.contains(control_node)));
        }
        while chosen.len() < healthy.len() {
            let index = self.random.index(healthy.len());
            let control_node = healthy.swap_remove(index);
            if !chosen.contains(&control_node) {
                chosen.push(control_node);
            }
        }
        chosen.truncate(capacity.min(max_count));
        chosen
    }

    /// Draws the duration of a fault: short, a few seconds, or long.
    fn draw_fault_duration(&mut self) -> Duration {
        match self.random_below(3) {
            0 => millis(200) + self.random_duration_below(millis(1_500)),
            1 => millis(1_500) + self.random_duration_below(millis(5_000)),
            _ => millis(20_000),
        }
    }

    /// Partitions some control nodes and proxies from the others, in one direction or in both.
    pub(crate) fn partition_some(&mut self) {
        let max_count = 1 + self.random_below(2) as usize;
        let control_nodes = self.pick_fault_targets(max_count);
        if control_nodes.is_empty() {
            return;
        }
        let proxies: Vec<usize> = (0..self.proxies.len()).filter(|_| self.random.is_one_in(3)).collect();
        let restarts = self.random.is_one_in(2);
        for &proxy in &proxies {
            // In half of the cases the proxies restart with seeds in their own partition only.
            if restarts {
                let seeds: Vec<_> =
                    control_nodes.iter().map(|control_node| control_node_address(*control_node)).collect();
                self.start_proxy(proxy, &seeds);
            }
        }
        let side: Vec<Party> = control_nodes
            .iter()
            .map(|control_node| Party::Control(*control_node))
            .chain(proxies.iter().map(|proxy| Party::Proxy(*proxy)))
            .collect();
        let others: Vec<Party> =
            self.control_nodes_and_proxies().into_iter().filter(|party| !side.contains(party)).collect();
        match self.random_below(4) {
            0 => self.partition_one_way(&side, &others),
            1 => self.partition_one_way(&others, &side),
            _ => self.partition(&side, &others),
        }
        self.partitioned.extend(side.iter().copied());
        self.trace(|| format!("partition {side:?}, {} links", self.network.links.cut_count()));
        let span = self.draw_fault_duration();
        self.after(span, Event::Fault(FaultAction::Heal));
    }

    fn control_nodes_and_proxies(&self) -> Vec<Party> {
        let control_nodes = self.members().into_iter().map(Party::Control);
        control_nodes.chain((0..self.proxies.len()).map(Party::Proxy)).collect()
    }

    /// Pauses control nodes, each for a random duration.
    pub(crate) fn pause_some(&mut self) {
        let max_count = 1 + self.random_below(2) as usize;
        for control_node in self.pick_fault_targets(max_count) {
            self.trace(|| format!("pause control node {control_node}"));
            self.pause(Party::Control(control_node));
            let span = self.draw_fault_duration();
            self.after(span, Event::Fault(FaultAction::Resume(Party::Control(control_node))));
        }
    }

    /// Stops control nodes, which restart later.
    pub(crate) fn restart_some(&mut self, loss: Loss) {
        let max_count = 1 + self.random_below(2) as usize;
        let control_nodes = self.pick_fault_targets(max_count);
        let restart_after = millis(100) + self.random_duration_below(millis(3_000));
        self.stop_and_restart(&control_nodes, loss, restart_after);
    }

    fn stop_and_restart(&mut self, control_nodes: &[usize], loss: Loss, restart_after: Duration) {
        self.trace(|| format!("stop {control_nodes:?}, {loss:?} lost, for {restart_after:?}"));
        for &control_node in control_nodes {
            match loss {
                Loss::Process => self.stop_control_node(control_node),
                Loss::ProcessAndDisk => self.wipe_control_node(control_node),
            }
            self.after(restart_after, Event::Fault(FaultAction::Start(control_node)));
        }
    }

    /// Removes a control node. Another one starts soon after it at a new address.
    pub(crate) fn replace_control_node(&mut self) {
        let Some(control_node) = self.pick_fault_targets(1).first().copied() else { return };
        self.trace(|| format!("replace {control_node}"));
        self.stop_control_node(control_node);
        self.control_nodes[control_node].is_removed = true;
        let replacement = self.add_joining_node();
        let start_after = self.random_duration_below(millis(2_000));
        self.after(start_after, Event::Fault(FaultAction::Start(replacement)));
    }

    /// Stops all control nodes, which restart together later.
    pub(crate) fn lose_power(&mut self) {
        self.trace(|| "power loss".to_owned());
        for control_node in self.running() {
            self.stop_control_node(control_node);
        }
        let restart_after = millis(100) + self.random_duration_below(millis(2_000));
        self.after(restart_after, Event::Fault(FaultAction::StartAll));
    }

    /// Restarts or pauses a random proxy.
    pub(crate) fn restart_or_pause_proxy(&mut self) {
        let proxy = self.random.index(self.proxies.len());
        self.trace(|| format!("fault at proxy {proxy}"));
        if self.random.is_one_in(2) {
            let seeds: Vec<_> = (0..3).map(control_node_address).collect();
            self.start_proxy(proxy, &seeds);
        } else {
            self.pause(Party::Proxy(proxy));
            let span = self.draw_fault_duration();
            self.after(span, Event::Fault(FaultAction::Resume(Party::Proxy(proxy))));
        }
    }

    /// Partitions every control node from all others.
    pub(crate) fn isolate_all(&mut self) {
        let control_nodes: Vec<Party> = self.members().into_iter().map(Party::Control).collect();
        self.trace(|| "isolate all".to_owned());
        self.partition(&control_nodes, &control_nodes);
        self.partitioned.extend(control_nodes);
        let span = millis(500) + self.random_duration_below(millis(5_000));
        self.after(span, Event::Fault(FaultAction::Heal));
    }

    pub(crate) fn apply(&mut self, action: FaultAction) {
        self.trace(|| format!("{action:?}"));
        match action {
            FaultAction::Resume(party) => {
                self.record_fault(party);
                self.resume(party);
            }
            FaultAction::Heal => {
                self.heal();
                let partitioned = std::mem::take(&mut self.partitioned);
                partitioned.into_iter().for_each(|party| self.record_fault(party));
            }
            FaultAction::Start(control_node) => self.start_control_node(control_node),
            FaultAction::StartAll => {
                self.members().into_iter().for_each(|control_node| self.start_control_node(control_node));
            }
            FaultAction::LosePrimary { count, loss, restart_after } => {
                let Some(primary) = self.primary() else { return };
                let mut control_nodes = self.pick_fault_targets(count);
                if !control_nodes.is_empty()
                    && !control_nodes.contains(&primary)
                    && self.control_nodes[primary].last_fault_at < self.now()
                {
                    control_nodes[0] = primary;
                }
                self.stop_and_restart(&control_nodes, loss, restart_after);
            }
            FaultAction::LoseReplicas { shutdown, .. } => self.lose_replicas(shutdown),
            FaultAction::LoseAllPower { shutdown } => self.lose_all_power(shutdown),
        }
    }

    fn lose_all_power(&mut self, shutdown: Option<AcknowledgedShutdown>) {
        let Some(AcknowledgedShutdown { server, id, .. }) = shutdown else { return };
        self.end_server(server, &id);
        self.lose_power();
        let seeds: Vec<_> = (0..3).map(control_node_address).collect();
        for proxy in 0..self.proxies.len() {
            self.start_proxy(proxy, &seeds);
        }
    }

    fn lose_replicas(&mut self, shutdown: Option<AcknowledgedShutdown>) {
        let Some(AcknowledgedShutdown { control_node, server, id }) = shutdown else { return };
        let has_entry = |control_node: &usize| {
            let process = self.control_nodes[*control_node].process.as_ref();
            let entry = process.and_then(|process| process.registry.get(&id));
            entry.is_some_and(|entry| entry.state > OperState::Up)
        };
        let mut control_nodes = vec![control_node];
        control_nodes
            .extend(self.running().into_iter().filter(|other| *other != control_node).filter(has_entry));
        let others = self.members().into_iter().filter(|other| *other != control_node);
        let affected = others.filter(|other| self.is_affected_by_fault(*other)).count();
        control_nodes.truncate(self.tolerated_failures.saturating_sub(affected));
        self.end_server(server, &id);
        self.stop_and_restart(&control_nodes, Loss::Process, REPLICA_DOWNTIME);
    }
}
