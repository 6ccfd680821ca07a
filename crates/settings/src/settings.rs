//! Reads the settings object of the platform.

use mosshead_decide::NameTable;
use mosshead_decide::interface::{
    Class, DedupScope, Limits, MachineKindId, Membership, RepeatEffect, Reporting, Rules, Seconds,
    ServiceObjective, Settings, Tenant, Weights, ZoneId,
};

use crate::error::JsonError;
use crate::json::JsonField;

/// The value for a time that the platform doesn't limit, in seconds: longer than any timeout in use.
const NO_LIMIT: Seconds = 3600.0;

/// The settings, with the names that their ids refer to.
#[derive(Clone, Debug)]
pub struct NamedSettings {
    /// The typed values, in which ids replace names.
    pub settings: Settings,
    /// The names of the zones, indexed by [`ZoneId`].
    pub zones: NameTable,
    /// The names of the machine kinds, indexed by [`MachineKindId`].
    pub kinds: NameTable,
    /// The names of the request classes, indexed by [`ClassId`](mosshead_decide::interface::ClassId).
    pub classes: NameTable,
    /// The names of the tenants, indexed by [`TenantId`](mosshead_decide::interface::TenantId).
    pub tenants: NameTable,
}

impl NamedSettings {
    /// Returns the same settings with the zone and machine kind ids of the given tables, to which unknown names are
    /// added. This keeps ids stable when the settings are reloaded.
    pub fn renumbered(mut self, zones: &mut NameTable, kinds: &mut NameTable) -> Self {
        let mut zone = |ZoneId(index): ZoneId| ZoneId(zones.intern(self.zones.name(index)));
        let mut kind =
            |MachineKindId(index): MachineKindId| MachineKindId(kinds.intern(self.kinds.name(index)));
        let settings = &mut self.settings;
        settings.zone = zone(settings.zone);
        for class in &mut settings.classes {
            class.zones.iter_mut().flatten().for_each(|id| *id = zone(*id));
            class.machine_kinds.iter_mut().flatten().for_each(|id| *id = kind(*id));
        }
        (self.zones, self.kinds) = (zones.clone(), kinds.clone());
        self
    }
}

/// Reads the settings object.
///
/// # Errors
///
/// A field is missing, of another type, out of bounds, or not one of the allowed names.
pub fn read_settings(settings: &JsonField) -> Result<NamedSettings, JsonError> {
    let mut zones = read_strings(&settings.field("zones")?.items()?)?;
    let machine_types = settings.optional_items("machine_types")?;
    let mut kinds = read_strings(&machine_types)?;
    let classes = read_names(&settings.field("classes")?.items()?)?;
    let tenants = read_names(&settings.optional_items("tenants")?)?;
    let zone = ZoneId(zones.intern(settings.field("zone")?.string()?));
    let values = Settings {
        zone,
        proxy_count: settings.number_or("group_size", 1.0)?,
        machine_kinds: machine_types.len(),
        classes: (settings.field("classes")?.items()?.iter())
            .map(|class| read_class(class, &mut zones, &mut kinds))
            .collect::<Result<_, _>>()?,
        tenants: settings.optional_items("tenants")?.iter().map(read_tenant).collect::<Result<_, _>>()?,
        over_share_value: settings.number_or("over_share_worth", 0.0)?,
        cross_zone_cost: read_price(settings, "cross_zone")?,
        probe_cost: read_price(settings, "probe")?,
        connection_cost: read_price(settings, "handshake")?,
        timer_resolution: settings.field("tick_s")?.number()?,
        reporting: settings.field("reporting")?.field("how")?.one_of(&[
            ("piggyback", Reporting::Responses),
            ("pull", Reporting::Probes),
            ("silent", Reporting::None),
        ])?,
        weights: settings.field("weights")?.one_of(&[
            ("nominal", Weights::Size),
            ("rough", Weights::Size),
            ("live", Weights::Unused),
            ("silent", Weights::Unused),
        ])?,
        membership: settings
            .field("membership_mode")?
            .one_of(&[("push", Membership::Push), ("ask", Membership::Pull)])?,
        limits: read_limits(&settings.field("limits")?)?,
        rules: read_rules(&settings.field("rules")?)?,
        objective: settings
            .optional_field("goal")?
            .map_or(Ok(ServiceObjective::default()), |goal| read_objective(&goal))?,
    };
    Ok(NamedSettings { settings: values, zones, kinds, classes, tenants })
}

/// The strings of a list.
fn read_strings(items: &[JsonField]) -> Result<NameTable, JsonError> {
    let names = items.iter().map(JsonField::string).collect::<Result<Vec<_>, _>>()?;
    Ok(NameTable::from_names(names))
}

/// The names of the objects in a list.
fn read_names(items: &[JsonField]) -> Result<NameTable, JsonError> {
    let names = items.iter().map(|item| item.field("name")?.string()).collect::<Result<Vec<_>, _>>()?;
    Ok(NameTable::from_names(names))
}

fn read_tenant(tenant: &JsonField) -> Result<Tenant, JsonError> {
    Ok(Tenant { share: tenant.number_or("share", 0.0)? })
}

/// A field of `prices`; 0 if it is absent.
fn read_price(settings: &JsonField, name: &str) -> Result<f64, JsonError> {
    settings.optional_field("prices")?.map_or(Ok(0.0), |prices| prices.number_or(name, 0.0))
}

/// The machine kinds or zones that a class is restricted to; `None` if it isn't. A name that no server has yet also
/// gets an id, since a server with that name may start later.
fn read_restriction<T>(
    class: &JsonField,
    name: &str,
    id: impl FnMut(&str) -> T,
) -> Result<Option<Vec<T>>, JsonError> {
    let Some(list) = class.optional_field(name)? else { return Ok(None) };
    let names = list.items()?.iter().map(JsonField::string).collect::<Result<Vec<_>, _>>()?;
    Ok(Some(names.into_iter().map(id).collect()))
}

/// Reads a request class. A `group` that is absent or empty means [`DedupScope::Group`].
fn read_class(class: &JsonField, zones: &mut NameTable, kinds: &mut NameTable) -> Result<Class, JsonError> {
    let scopes = [("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Group)];
    let scope = match class.optional_field("group")? {
        Some(group) if !group.string()?.is_empty() => group.one_of(&scopes)?,
        _ => DedupScope::Group,
    };
    let window = class.number_or("dedup_window_s", 0.0)?;
    Ok(Class {
        latency_target: class.field("target_s")?.number()?,
        deadline: class.field("deadline_s")?.number()?,
        value: class.field("gain")?.number()?,
        late_value: class.number_or("late_worth", 0.0)?,
        repeat_effect: class.field("effect")?.one_of(&[
            ("free", RepeatEffect::Safe),
            ("guarded", RepeatEffect::Keyed { scope, window }),
            ("single_shot", RepeatEffect::Unsafe),
        ])?,
        machine_kinds: read_restriction(class, "runs_on", |name| MachineKindId(kinds.intern(name)))?,
        zones: read_restriction(class, "runs_in", |name| ZoneId(zones.intern(name)))?,
    })
}

fn read_limits(limits: &JsonField) -> Result<Limits, JsonError> {
    let small_integer = |field: JsonField| -> Result<u32, JsonError> {
        u32::try_from(field.integer()?).map_err(|_| field.broken_rule("too large"))
    };
    Ok(Limits {
        can_cancel: limits.field("may_cancel")?.boolean()?,
        can_probe: limits.field("probes")?.boolean()?,
        can_hedge: limits.field("second_copies")?.boolean()?,
        max_attempts: small_integer(limits.field("send_cap")?)?,
        can_advise_retry_after: limits.boolean_or("retry_after", false)?,
        max_retry_after: limits.number_or("max_retry_after_s", NO_LIMIT)?,
        streams_per_connection: limits.optional_field("max_streams")?.map_or(Ok(1), small_integer)?,
        idle_timeout: limits.number_or("keepalive_s", NO_LIMIT)?,
        connect_timeout: limits.number_or("connect_timeout_s", NO_LIMIT)?,
        max_pending_requests: limits.integer_or("most_held", u64::from(u32::MAX))? as usize,
    })
}

fn read_rules(rules: &JsonField) -> Result<Rules, JsonError> {
    Ok(Rules {
        initial_capacity: rules.field("cold_from")?.number()?,
        slow_start: rules.field("warm_up_s")?.number()?,
        overload_window: rules.field("fall_s")?.number()?,
        overload_factor: rules.field("fall_multiple")?.number()?,
        refresh_within: rules.field("ask_within_s")?.number()?,
        may_reject_after_start: rules.boolean_or("shed_after_start", false)?,
    })
}

fn read_objective(goal: &JsonField) -> Result<ServiceObjective, JsonError> {
    let optional_number = |name| goal.optional_field(name)?.map(|field| field.number()).transpose();
    Ok(ServiceObjective {
        availability_weight: optional_number("availability")?,
        target_nines: optional_number("nines_wanted")?,
        tail_weight: optional_number("tail_part")?,
        allowed_miss_fraction: optional_number("tail_slack")?,
    })
}
