//! JSON to typed values; above all the settings object, for the adapter and the proxy alike.
//!
//! Every fault names the path of the value at fault.

use std::collections::HashMap;

use tinyjson::JsonValue;

use mosshead_decide::NameTable;
use mosshead_decide::interface::*;

/// Longer than any wait that matters, where no limit is stated.
const AN_HOUR: Seconds = 3600.0;
/// No message of the protocol nests deeper than a few levels.
const DEEPEST: usize = 32;

/// The settings with the names that their numbers stand for.
#[derive(Clone, Debug)]
pub struct Named {
    /// The settings.
    pub settings: Settings,
    /// Zones, by [`ZoneId`].
    pub zones: NameTable,
    /// Kinds of machine, by [`MachineKindId`].
    pub kinds: NameTable,
    /// Request classes, by [`ClassId`].
    pub classes: NameTable,
    /// Tenants, by [`TenantId`].
    pub tenants: NameTable,
}

impl Named {
    /// The same settings with zones and kinds numbered in these tables, where other numbers are known already.
    pub fn onto(mut self, zones: &mut NameTable, kinds: &mut NameTable) -> Self {
        let mut zone = |ZoneId(at): ZoneId| ZoneId(zones.intern(self.zones.name(at)));
        let mut kind = |MachineKindId(at): MachineKindId| MachineKindId(kinds.intern(self.kinds.name(at)));
        let settings = &mut self.settings;
        settings.zone = zone(settings.zone);
        for class in &mut settings.classes {
            class.zones.iter_mut().flatten().for_each(|at| *at = zone(*at));
            class.machine_kinds.iter_mut().flatten().for_each(|at| *at = kind(*at));
        }
        (self.zones, self.kinds) = (zones.clone(), kinds.clone());
        self
    }
}

/// Parses a text. The parser calls itself for each level, so a text that nests too deeply would
/// overflow the stack: such a text is turned down before it is parsed.
pub fn json(text: &str) -> Result<JsonValue, String> {
    let (mut depth, mut quoted, mut escaped) = (0_usize, false, false);
    for byte in text.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b'[' | b'{' if !quoted => depth += 1,
            b']' | b'}' if !quoted => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > DEEPEST {
            return Err(format!("nested deeper than {DEEPEST} levels"));
        }
    }
    text.parse().map_err(|error: tinyjson::JsonParseError| error.to_string())
}

/// A value and where it was found.
pub struct Found<'a> {
    value: &'a JsonValue,
    path: String,
}

impl<'a> Found<'a> {
    /// The whole text.
    pub fn top(value: &'a JsonValue) -> Self {
        Self { value, path: String::new() }
    }

    fn wrong(&self, expected: &str) -> String {
        let found = match self.value {
            JsonValue::Number(number) => format!("{number}"),
            JsonValue::Boolean(truth) => format!("{truth}"),
            JsonValue::String(text) => format!("{text:?}"),
            JsonValue::Null => "null".to_owned(),
            JsonValue::Array(_) => "a list".to_owned(),
            JsonValue::Object(_) => "an object".to_owned(),
        };
        self.says(&format!("invalid type: {found}, expected {expected}"))
    }

    /// A message that starts with the path.
    pub fn says(&self, message: &str) -> String {
        if self.path.is_empty() { message.to_owned() } else { format!("{}: {message}", self.path) }
    }

    fn object(&self) -> Result<&'a HashMap<String, JsonValue>, String> {
        self.value.get().ok_or_else(|| self.wrong("an object"))
    }

    /// A member that may be absent or null.
    pub fn find(&self, name: &str) -> Result<Option<Found<'a>>, String> {
        let member = self.object()?.get(name).filter(|value| !matches!(value, JsonValue::Null));
        let dot = if self.path.is_empty() { "" } else { "." };
        Ok(member.map(|value| Found { value, path: format!("{}{dot}{name}", self.path) }))
    }

    /// A member that must be there.
    pub fn get(&self, name: &str) -> Result<Found<'a>, String> {
        self.find(name)?.ok_or_else(|| self.says(&format!("missing field `{name}`")))
    }

    /// All members of an object, in no order.
    pub fn members(&self) -> Result<Vec<(&'a String, Found<'a>)>, String> {
        let dot = if self.path.is_empty() { "" } else { "." };
        let member = |(name, value)| (name, Found { value, path: format!("{}{dot}{name}", self.path) });
        Ok(self.object()?.iter().map(member).collect())
    }

    /// The items of a list.
    pub fn items(&self) -> Result<Vec<Found<'a>>, String> {
        let items: &Vec<JsonValue> = self.value.get().ok_or_else(|| self.wrong("a list"))?;
        let item = |(at, value)| Found { value, path: format!("{}[{at}]", self.path) };
        Ok(items.iter().enumerate().map(item).collect())
    }

    fn list(&self, name: &str) -> Result<Vec<Found<'a>>, String> {
        self.find(name)?.map_or(Ok(Vec::new()), |list| list.items())
    }

    /// A text.
    pub fn text(&self) -> Result<&'a str, String> {
        self.value.get::<String>().map(String::as_str).ok_or_else(|| self.wrong("a text"))
    }

    /// A finite number.
    pub fn number(&self) -> Result<f64, String> {
        let number = self.value.get::<f64>().copied().filter(|number| number.is_finite());
        number.ok_or_else(|| self.wrong("a number"))
    }

    /// A whole number from 0 to 2^53.
    pub fn whole(&self) -> Result<u64, String> {
        let whole = self.number()?;
        if whole < 0.0 || whole.fract() != 0.0 || whole >= 2_f64.powi(53) {
            return Err(self.wrong("a whole number"));
        }
        Ok(whole as u64)
    }

    /// True or false.
    pub fn truth(&self) -> Result<bool, String> {
        self.value.get().copied().ok_or_else(|| self.wrong("a bool"))
    }

    fn number_or(&self, name: &str, otherwise: f64) -> Result<f64, String> {
        self.find(name)?.map_or(Ok(otherwise), |found| found.number())
    }

    fn whole_or(&self, name: &str, otherwise: u64) -> Result<u64, String> {
        self.find(name)?.map_or(Ok(otherwise), |found| found.whole())
    }

    fn truth_or(&self, name: &str, otherwise: bool) -> Result<bool, String> {
        self.find(name)?.map_or(Ok(otherwise), |found| found.truth())
    }

    /// A name that stands for one of a few values.
    pub fn one_of<T: Copy>(&self, values: &[(&str, T)]) -> Result<T, String> {
        let text = self.text()?;
        let known = values.iter().find(|(name, _)| *name == text);
        known.map(|(_, value)| *value).ok_or_else(|| self.says(&format!("{text:?} is not known")))
    }
}

/// Reads the settings object.
pub fn read(info: &Found) -> Result<Named, String> {
    let names = |list: Vec<Found>, member: Option<&str>| -> Result<NameTable, String> {
        let named = list.iter().map(|item| match member {
            Some(member) => item.get(member)?.text(),
            None => item.text(),
        });
        Ok(NameTable::from_names(named.collect::<Result<Vec<_>, _>>()?))
    };
    let mut zones = names(info.get("zones")?.items()?, None)?;
    let mut kinds = names(info.list("machine_types")?, None)?;
    let machine_kinds = info.list("machine_types")?.len();
    let classes = names(info.get("classes")?.items()?, Some("name"))?;
    let tenants = names(info.list("tenants")?, Some("name"))?;
    let zone = ZoneId(zones.intern(info.get("zone")?.text()?));
    let tenant = |tenant: &Found| Ok(Tenant { share: tenant.number_or("share", 0.0)? });
    let price = |name| info.find("prices")?.map_or(Ok(0.0), |prices| prices.number_or(name, 0.0));
    let settings = Settings {
        zone,
        proxy_count: info.number_or("group_size", 1.0)?,
        machine_kinds,
        classes: (info.get("classes")?.items()?.iter())
            .map(|class| read_class(class, &mut zones, &mut kinds))
            .collect::<Result<_, _>>()?,
        tenants: info.list("tenants")?.iter().map(tenant).collect::<Result<_, String>>()?,
        over_share_value: info.number_or("over_share_worth", 0.0)?,
        cross_zone_cost: price("cross_zone")?,
        probe_cost: price("probe")?,
        connection_cost: price("handshake")?,
        timer_resolution: info.get("tick_s")?.number()?,
        reporting: info.get("reporting")?.get("how")?.one_of(&[
            ("piggyback", Reporting::Responses),
            ("pull", Reporting::Probes),
            ("silent", Reporting::None),
        ])?,
        weights: info.get("weights")?.one_of(&[
            ("nominal", Weights::Size),
            ("rough", Weights::Size),
            ("live", Weights::Unused),
            ("silent", Weights::Unused),
        ])?,
        membership: (info.get("membership_mode")?)
            .one_of(&[("push", Membership::Push), ("ask", Membership::Pull)])?,
        limits: read_limits(&info.get("limits")?)?,
        rules: read_rules(&info.get("rules")?)?,
        objective: info.find("goal")?.map_or(Ok(ServiceObjective::default()), |goal| read_goal(&goal))?,
    };
    Ok(Named { settings, zones, kinds, classes, tenants })
}

fn read_class(class: &Found, zones: &mut NameTable, kinds: &mut NameTable) -> Result<Class, String> {
    // A kind or zone that nobody has heard of yet may turn up in a list later.
    fn bound<T>(class: &Found, name: &str, id: impl Fn(&str) -> T) -> Result<Option<Vec<T>>, String> {
        let Some(list) = class.find(name)? else { return Ok(None) };
        let names = list.items()?.iter().map(Found::text).collect::<Result<Vec<_>, _>>()?;
        Ok(Some(names.into_iter().map(id).collect()))
    }
    let scopes = [("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Group)];
    let scope = match class.find("group")? {
        Some(group) if !group.text()?.is_empty() => group.one_of(&scopes)?,
        _ => DedupScope::Group,
    };
    let window = class.number_or("dedup_window_s", 0.0)?;
    let (zones, kinds) = (std::cell::RefCell::new(zones), std::cell::RefCell::new(kinds));
    Ok(Class {
        latency_target: class.get("target_s")?.number()?,
        deadline: class.get("deadline_s")?.number()?,
        value: class.get("gain")?.number()?,
        late_value: class.number_or("late_worth", 0.0)?,
        repeat_effect: class.get("effect")?.one_of(&[
            ("free", RepeatEffect::Safe),
            ("guarded", RepeatEffect::Keyed { scope, window }),
            ("single_shot", RepeatEffect::Unsafe),
        ])?,
        machine_kinds: bound(class, "runs_on", |name| MachineKindId(kinds.borrow_mut().intern(name)))?,
        zones: bound(class, "runs_in", |name| ZoneId(zones.borrow_mut().intern(name)))?,
    })
}

fn read_limits(limits: &Found) -> Result<Limits, String> {
    let small = |found: Found| -> Result<u32, String> {
        u32::try_from(found.whole()?).map_err(|_| found.says("too large"))
    };
    Ok(Limits {
        can_cancel: limits.get("may_cancel")?.truth()?,
        can_probe: limits.get("probes")?.truth()?,
        can_hedge: limits.get("second_copies")?.truth()?,
        max_attempts: small(limits.get("send_cap")?)?,
        can_advise_retry_after: limits.truth_or("retry_after", false)?,
        max_retry_after: limits.number_or("max_retry_after_s", AN_HOUR)?,
        streams_per_connection: limits.find("max_streams")?.map_or(Ok(1), small)?,
        idle_timeout: limits.number_or("keepalive_s", AN_HOUR)?,
        connect_timeout: limits.number_or("connect_timeout_s", AN_HOUR)?,
        max_pending_requests: limits.whole_or("most_held", u64::from(u32::MAX))? as usize,
    })
}

fn read_rules(rules: &Found) -> Result<Rules, String> {
    Ok(Rules {
        initial_capacity: rules.get("cold_from")?.number()?,
        slow_start: rules.get("warm_up_s")?.number()?,
        overload_window: rules.get("fall_s")?.number()?,
        overload_factor: rules.get("fall_multiple")?.number()?,
        refresh_within: rules.get("ask_within_s")?.number()?,
        may_reject_after_start: rules.truth_or("shed_after_start", false)?,
    })
}

fn read_goal(goal: &Found) -> Result<ServiceObjective, String> {
    let part = |name| goal.find(name)?.map(|found| found.number()).transpose();
    Ok(ServiceObjective {
        availability_weight: part("availability")?,
        target_nines: part("nines_wanted")?,
        tail_weight: part("tail_part")?,
        allowed_miss_fraction: part("tail_slack")?,
    })
}
