//! The fleet as its control nodes report it, merged.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::thread;

use anyhow::anyhow;
use serde_json::{Value, json};

use crate::json_call;

/// The resource of a control node with the fleet as it knows it.
const STATUS_PATH: &str = "/Fleet.Status";

/// What one control node has reported.
pub(super) struct NodeReport {
    pub(super) address: SocketAddr,
    pub(super) status: anyhow::Result<Value>,
}

/// What all control nodes have reported.
pub(super) struct FleetView {
    pub(super) reports: Vec<NodeReport>,
}

impl FleetView {
    /// Asks these control nodes, and the members that the primary among them names.
    pub(super) fn fetch(addresses: &[SocketAddr]) -> FleetView {
        let mut reports = fetch_all(addresses);
        let known: BTreeSet<SocketAddr> = addresses.iter().copied().collect();
        let ports = addresses.first().map_or(0, SocketAddr::port);
        let view = FleetView { reports };
        let named = view.members();
        let members = named.iter().filter_map(|member| member["address"].as_str()?.parse().ok());
        // Members are known by their internal addresses; all have their API on one port.
        let others: Vec<SocketAddr> = members
            .map(|member: SocketAddr| SocketAddr::new(member.ip(), ports))
            .filter(|member| !known.contains(member))
            .collect();
        reports = view.reports;
        reports.extend(fetch_all(&others));
        FleetView { reports }
    }

    /// The report of the primary with the highest term.
    pub(super) fn primary(&self) -> Option<&Value> {
        let is_primary =
            |status: &&Value| status["members"].as_array().is_some_and(|members| !members.is_empty());
        self.statuses().filter(is_primary).max_by_key(|status| status["term"].as_u64())
    }

    /// The members as the primary knows them; none without a primary.
    pub(super) fn members(&self) -> Vec<Value> {
        self.primary().and_then(|primary| primary["members"].as_array().cloned()).unwrap_or_default()
    }

    /// The newest revision that a control node knows.
    pub(super) fn revision(&self) -> u64 {
        self.statuses().filter_map(|status| status["revision"].as_u64()).max().unwrap_or(0)
    }

    /// How many proxies have each version in force. A proxy watches several control nodes; its newest call counts.
    pub(super) fn proxies_by_revision(&self) -> BTreeMap<u64, usize> {
        let mut revisions: BTreeMap<&str, u64> = BTreeMap::new();
        for proxy in self.statuses().filter_map(|status| status["proxies"].as_array()).flatten() {
            let revision = proxy["revision"].as_u64().unwrap_or(0);
            let known = revisions.entry(proxy["name"].as_str().unwrap_or_default()).or_default();
            *known = revision.max(*known);
        }
        let mut counts = BTreeMap::new();
        for revision in revisions.into_values() {
            *counts.entry(revision).or_default() += 1;
        }
        counts
    }

    /// A list of the primary's report, or of the first one without a primary.
    pub(super) fn list(&self, name: &str) -> Vec<Value> {
        let status = self.primary().or_else(|| self.statuses().next());
        status.and_then(|status| status[name].as_array().cloned()).unwrap_or_default()
    }

    /// Whether one more machine may be lost.
    ///
    /// # Errors
    ///
    /// Why not.
    pub(super) fn tolerates_a_loss(&self) -> Result<(), String> {
        let primary = self.primary().ok_or("there is no primary")?;
        match primary["loss_risk"].as_str() {
            None if primary["loss_tolerated"] == true => Ok(()),
            risk => Err(risk.unwrap_or("the primary does not say").to_owned()),
        }
    }

    /// Everything as one JSON object.
    pub(super) fn to_json(&self) -> Value {
        let risk = self.tolerates_a_loss().err();
        let nodes = self.reports.iter().map(|report| match &report.status {
            Ok(status) => json!({"at": report.address.to_string(), "status": status}),
            Err(error) => json!({"at": report.address.to_string(), "error": format!("{error:#}")}),
        });
        let versions = self.proxies_by_revision();
        json!({
            "revision": self.revision(),
            "loss_tolerated": risk.is_none(),
            "loss_risk": risk,
            "members": self.members(),
            "proxies_by_revision": versions.iter().map(|(revision, count)| (revision.to_string(), *count)).collect::<BTreeMap<_, _>>(),
            "servers": self.list("servers"),
            "stages": self.list("stages"),
            "control_nodes": nodes.collect::<Vec<_>>(),
        })
    }

    fn statuses(&self) -> impl Iterator<Item = &Value> {
        self.reports.iter().filter_map(|report| report.status.as_ref().ok())
    }
}

/// Calls all at once.
fn fetch_all(addresses: &[SocketAddr]) -> Vec<NodeReport> {
    thread::scope(|scope| {
        let calls: Vec<_> = addresses
            .iter()
            .map(|&address| (address, scope.spawn(move || json_call::get(address, STATUS_PATH))))
            .collect();
        let join = |(address, call): (SocketAddr, thread::ScopedJoinHandle<anyhow::Result<Value>>)| {
            let status = call.join().unwrap_or_else(|_| Err(anyhow!("not asked")));
            NodeReport { address, status }
        };
        calls.into_iter().map(join).collect()
    })
}
