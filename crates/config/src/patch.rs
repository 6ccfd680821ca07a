//! Patches between own processes: what turns one configuration into a newer one.
//!
//! A patch is an object of `base` (a revision), `sum` (a hash over the newer text, see [`Draft::hash`]) and either `whole`, or some of `withdraw`,
//! `upsert`, `order` (by list), `drop`, `set` and `fields` (the order of the top-level fields).

use std::borrow::Cow;
use std::collections::{HashMap, HashSet};

use crate::config::Config;
use crate::document::{self as draft, Draft, Field, Part};
use crate::error::{ConfigError, ConfigErrorKind};
use crate::item_list::List;
use crate::json::object as value;
use crate::json::scanner::{self as scan, quote};
use crate::validation::{build, build_on};

const PLACE: &str = "patch";

impl Config {
    /// What turns this configuration into the newer one, as JSON.
    pub fn patch_to(&self, newer: &Config) -> String {
        let head = format!("{{\"base\":{},\"sum\":\"{:016x}\"", self.revision, newer.draft().hash());
        let mut patch = head.clone();
        self.differences(newer).write(&mut patch);
        patch.push('}');
        let whole = head.len() + newer.json_length() + 10;
        if patch.len() > whole { format!("{head},\"whole\":{}}}", newer.to_json()) } else { patch }
    }

    /// This configuration after a patch that was made for it.
    pub fn apply_patch(&self, patch: &str) -> Result<Config, ConfigError> {
        // A patch holds the newer configuration, or parts of it, one level down.
        let text = scan::text(patch.as_bytes(), scan::MAX_BYTES + 100)?;
        scan::guard(text, scan::MAX_DEPTH + 1)?;
        let mut fields: HashMap<Cow<'_, str>, &str> = draft::object(text, PLACE)?.into_iter().collect();
        let wanted = fields.remove("sum").and_then(scan::unquote);
        let config = match fields.remove("whole") {
            Some(text) => build(Draft::read(text)?)?,
            None => build_on(self, self.apply(&mut fields)?)?,
        };
        if wanted.as_deref() != Some(&format!("{:016x}", config.draft().hash())) {
            return Err(ConfigErrorKind::PatchMismatch("another text came out").at("sum"));
        }
        Ok(config)
    }

    fn apply(&self, fields: &mut HashMap<Cow<'_, str>, &str>) -> Result<Draft, ConfigError> {
        let base = fields.remove("base").unwrap_or("null");
        if value::whole(&value::parse(base, "base")?, "base")? != self.revision {
            return Err(ConfigErrorKind::PatchMismatch("made for another revision").at("base"));
        }
        let mut draft = self.draft().clone();
        for (list, value) in object(fields.remove("withdraw"), "withdraw")? {
            draft.withdraw(&list, &draft::names(value, "withdraw")?);
        }
        for (list, value, elements) in lists(fields.remove("upsert"), "upsert")? {
            let elements = elements.ok_or_else(|| value::not(value, "upsert", "a list"))?;
            let items = draft::items(&list, elements, "upsert")?;
            draft.upsert(&list, items, "upsert")?;
        }
        for (list, value) in object(fields.remove("order"), "order")? {
            let names = draft::names(value, "order")?;
            if let Some(list) = draft.list_mut(&list) {
                *list = list.arranged(&names).ok_or_else(orders_other_things)?;
            }
        }
        if let Some(value) = fields.remove("drop") {
            let names: HashSet<Cow<'_, str>> = draft::names(value, "drop")?.into_iter().collect();
            draft.fields.retain(|field| !names.contains(field.key.as_ref()));
        }
        for (key, value, elements) in lists(fields.remove("set"), "set")? {
            let part = draft::part(&key, value, elements, &key)?;
            draft.set(&key, part);
        }
        if let Some(value) = fields.remove("fields") {
            let names = draft::names(value, "fields")?;
            arrange(&mut draft.fields, &names)?;
        }
        Ok(draft)
    }

    fn differences<'a>(&'a self, newer: &'a Config) -> Differences<'a> {
        let mut found = Differences::default();
        let (own, others) = (self.draft(), newer.draft());
        let (kept, dropped): (Vec<&str>, Vec<&str>) = own.keys().partition(|key| others.part(key).is_some());
        found.dropped = dropped;
        for field in &others.fields {
            match (own.part(&field.key), &field.part) {
                (Some(Part::Items(before)), Part::Items(after)) => {
                    found.lists.push(ListDifferences::new(&field.key, before, after));
                }
                (Some(before), after) if before.same(after) => {}
                _ => found.set.push((&field.key, &field.part)),
            }
        }
        let added = others.keys().filter(|key| own.part(key).is_none());
        if !kept.into_iter().chain(added).eq(others.keys()) {
            found.fields = others.keys().collect();
        }
        found
    }
}

#[derive(Default)]
struct Differences<'a> {
    lists: Vec<ListDifferences<'a>>,
    dropped: Vec<&'a str>,
    set: Vec<(&'a str, &'a Part)>,
    fields: Vec<&'a str>,
}

/// Names that go, texts that come, and the names of all in order where that does not follow by itself.
struct ListDifferences<'a> {
    key: &'a str,
    withdraw: Vec<&'a str>,
    upsert: Vec<&'a str>,
    order: Vec<&'a str>,
}

impl<'a> ListDifferences<'a> {
    fn new(key: &'a str, before: &'a List, after: &'a List) -> Self {
        let mut withdraw = Vec::new();
        let mut come = Vec::new();
        before.compare(after, |old, new| match (old, new) {
            (_, Some(new)) => come.push(new),
            (Some(old), None) => withdraw.push(old.name()),
            (None, None) => {}
        });
        let follows = after.follows_order_of(before);
        let order = if follows { Vec::new() } else { after.iter().map(|item| item.name()).collect() };
        // Those that are new come in at the end, so their own order counts.
        after.sort_by_order(&mut come);
        let upsert = come.into_iter().map(|item| item.text.as_ref()).collect();
        ListDifferences { key, withdraw, upsert, order }
    }
}

impl Differences<'_> {
    fn write(&self, to: &mut String) {
        let by_list = |to: &mut String, key: &str, of: &dyn Fn(&ListDifferences<'_>) -> Vec<String>| {
            let lists = self.lists.iter().map(|list| (list.key, of(list))).filter(|(_, of)| !of.is_empty());
            let lists: Vec<String> =
                lists.map(|(list, of)| format!("{}:[{}]", quote(list), of.join(","))).collect();
            if !lists.is_empty() {
                to.push_str(&format!(",\"{key}\":{{{}}}", lists.join(",")));
            }
        };
        by_list(to, "withdraw", &|list| quoted(&list.withdraw));
        by_list(to, "upsert", &|list| list.upsert.iter().map(|text| text.to_string()).collect());
        by_list(to, "order", &|list| quoted(&list.order));
        if !self.dropped.is_empty() {
            to.push_str(&format!(",\"drop\":[{}]", quoted(&self.dropped).join(",")));
        }
        if !self.set.is_empty() {
            for (at, (key, part)) in self.set.iter().enumerate() {
                to.push_str(if at == 0 { ",\"set\":{" } else { "," });
                to.push_str(&format!("{}:", quote(key)));
                part.write(to);
            }
            to.push('}');
        }
        if !self.fields.is_empty() {
            to.push_str(&format!(",\"fields\":[{}]", quoted(&self.fields).join(",")));
        }
    }
}

fn quoted(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| quote(name)).collect()
}

fn object<'a>(text: Option<&'a str>, place: &str) -> Result<Vec<(Cow<'a, str>, &'a str)>, ConfigError> {
    text.map_or(Ok(Vec::new()), |text| draft::object(text, place))
}

fn lists<'a>(text: Option<&'a str>, place: &str) -> Result<Vec<scan::Listed<'a>>, ConfigError> {
    text.map_or(Ok(Vec::new()), |text| draft::lists(text, place))
}

/// Brings fields into the order of their names.
fn arrange(fields: &mut [Field], names: &[Cow<'_, str>]) -> Result<(), ConfigError> {
    let at: HashMap<&str, usize> = names.iter().enumerate().map(|(at, name)| (name.as_ref(), at)).collect();
    if at.len() != fields.len() || !fields.iter().all(|field| at.contains_key(field.key.as_ref())) {
        return Err(orders_other_things());
    }
    fields.sort_by_key(|field| at.get(field.key.as_ref()).copied());
    Ok(())
}

fn orders_other_things() -> ConfigError {
    ConfigErrorKind::PatchMismatch("orders other things").at("order")
}
