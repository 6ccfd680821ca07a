//! The operator's view of the whole fleet: its status as this node knows it, and its recovery by founding it anew.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::rc::Rc;

use mosshead_consensus::{Founding, FoundingError, GroupHealth, Input, Member, MemberHealth, MemberRole};
use mosshead_registry::{OperState, Server, Stage};
use mosshead_time::whole_millis;
use tinyjson::JsonValue;

use super::config_store::ConfigStore;
use super::consensus_host::ConsensusHost;
use super::proxy_presence::ProxyCall;
use super::registry_host::RegistryHost;
use super::stage_targets::{StageTarget, StageTargets};
use super::update_service::UpdateService;

/// The components that the service reads from.
pub(super) struct FleetSources {
    pub(super) consensus: Rc<ConsensusHost>,
    pub(super) registry: Rc<RegistryHost>,
    pub(super) configs: Rc<ConfigStore>,
    pub(super) updates: Rc<UpdateService>,
    pub(super) stage_targets: Rc<StageTargets>,
}

/// Reports the status of the fleet, and founds it anew.
pub(super) struct FleetService {
    node_name: String,
    address: SocketAddrV4,
    sources: FleetSources,
}

impl FleetService {
    /// `address` is the internal address of this node.
    pub(super) fn new(node_name: &str, address: SocketAddrV4, sources: FleetSources) -> FleetService {
        FleetService { node_name: node_name.to_owned(), address, sources }
    }

    /// The fleet as this node knows it; docs/operators/fleet.md documents the fields.
    pub(super) fn status(&self) -> JsonValue {
        let FleetSources { consensus, registry, configs, updates, stage_targets } = &self.sources;
        let health = consensus.group_health();
        let contact = consensus.quorum_contact_age();
        object([
            ("node", text(&self.node_name)),
            ("address", text(&self.address.to_string())),
            ("primary", consensus.primary().map_or(JsonValue::Null, |primary| text(&primary.to_string()))),
            ("term", number(consensus.term().map_or(0, |term| term.number))),
            ("in_touch_ms", contact.map_or(JsonValue::Null, |age| number(whole_millis(age)))),
            ("revision", number(configs.current().map_or(0, |config| config.revision()))),
            ("members", members(health.as_ref())),
            ("loss_tolerated", loss_tolerated(health.as_ref())),
            ("loss_risk", loss_risk(health.as_ref())),
            ("proxies", array(updates.proxy_calls().iter().map(proxy))),
            ("servers", registry.with_servers(|servers| server_groups(servers))),
            ("stages", array(stage_targets.current().iter().map(stage_target))),
        ])
    }

    /// A dry run of founding the fleet anew from this node's state.
    ///
    /// # Errors
    ///
    /// Founding anew is impossible or not needed.
    pub(super) fn founding(&self) -> Result<Founding, FoundingError> {
        self.sources.consensus.founding()
    }

    /// Founds the fleet anew, and returns the plan. The fleet status shows whether it has succeeded.
    ///
    /// # Errors
    ///
    /// Founding anew is impossible or not needed.
    pub(super) fn found_anew(&self) -> Result<Founding, FoundingError> {
        let founding = self.founding()?;
        let (members, lost) = (founding.members.len(), founding.lost.len());
        spdlog::warn!("consensus: founding the fleet anew members={members} lost={lost}");
        self.sources.consensus.step(Input::FoundAnew);
        Ok(founding)
    }
}

/// The plan of founding the fleet anew, as a JSON object.
pub(crate) fn founding_json(founding: &Founding) -> JsonValue {
    let addresses =
        |members: &[Member]| array(members.iter().map(|member| text(&member.address.to_string())));
    object([
        ("members", addresses(&founding.members)),
        ("lost", addresses(&founding.lost)),
        ("revision", founding.known_revision.map_or(JsonValue::Null, number)),
    ])
}

fn members(health: Option<&GroupHealth>) -> JsonValue {
    array(health.map_or(&[][..], |health| &health.members).iter().map(member))
}

fn member(health: &MemberHealth) -> JsonValue {
    let role = match health.role {
        MemberRole::Primary => "primary",
        MemberRole::Backup => "backup",
        MemberRole::Witness => "witness",
    };
    object([
        ("address", text(&health.member.address.to_string())),
        ("role", text(role)),
        ("holds_state", JsonValue::from(health.role.holds_state())),
        ("silence_ms", health.silence.map_or(JsonValue::Null, |silence| number(whole_millis(silence)))),
        ("healthy", JsonValue::from(health.is_healthy)),
    ])
}

fn loss_tolerated(health: Option<&GroupHealth>) -> JsonValue {
    health.map_or(JsonValue::Null, |health| JsonValue::from(health.tolerates_a_loss().is_ok()))
}

fn loss_risk(health: Option<&GroupHealth>) -> JsonValue {
    let risk = health.and_then(|health| health.tolerates_a_loss().err());
    risk.map_or(JsonValue::Null, |risk| text(&risk.to_string()))
}

fn proxy(call: &ProxyCall) -> JsonValue {
    object([("name", text(&call.name)), ("revision", number(call.revision))])
}

/// The number of servers for each combination of service, stage and state.
fn server_groups<'a>(servers: impl Iterator<Item = &'a Server>) -> JsonValue {
    let mut counts: BTreeMap<(&str, &str, &str), u64> = BTreeMap::new();
    for server in servers {
        let stage = match server.stage {
            Some(Stage::Prefill) => "prefill",
            Some(Stage::Decode) => "decode",
            None => "none",
        };
        let state = match server.state {
            _ if server.is_suspected => "suspected",
            OperState::Up => "up",
            OperState::Draining => "draining",
            OperState::Removed => "removed",
        };
        *counts.entry((&server.service, stage, state)).or_default() += 1;
    }
    array(counts.into_iter().map(|((service, stage, state), count)| {
        object([
            ("service", text(service)),
            ("stage", text(stage)),
            ("state", text(state)),
            ("count", number(count)),
        ])
    }))
}

fn stage_target(target: &StageTarget) -> JsonValue {
    object([
        ("service", text(&target.service)),
        ("prefill_share", JsonValue::from(target.prefill_share)),
        ("reports", number(target.reports as u64)),
    ])
}

fn object<const N: usize>(fields: [(&str, JsonValue); N]) -> JsonValue {
    let fields = fields.into_iter().map(|(name, value)| (name.to_owned(), value));
    JsonValue::from(fields.collect::<HashMap<String, JsonValue>>())
}

fn array(values: impl Iterator<Item = JsonValue>) -> JsonValue {
    JsonValue::from(values.collect::<Vec<JsonValue>>())
}

fn text(text: &str) -> JsonValue {
    JsonValue::from(text.to_owned())
}

/// Numbers above 2^53 lose precision, because JSON numbers are `f64`.
fn number(number: u64) -> JsonValue {
    JsonValue::from(number as f64)
}
