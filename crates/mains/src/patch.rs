//! Patches between own processes: what turns one configuration into a newer one.
//!
//! A patch is an object of `base` (a revision), `sum` (of the newer text) and either `whole`, or some of `withdraw`,
//! `upsert`, `order` (by list), `drop`, `set` and `fields` (the order of the top-level fields).

use std::borrow::Cow;
use std::collections::{HashMap, HashSet};

use crate::build::build;
use crate::config::Config;
use crate::draft::{self, Draft, Part};
use crate::fault::{Cause, Fault};
use crate::scan::{self, quote};
use crate::value;

const PLACE: &str = "patch";

impl Config {
    /// What turns this configuration into the newer one, as JSON.
    pub fn patch(&self, newer: &Config) -> String {
        let head = format!("{{\"base\":{},\"sum\":\"{:016x}\"", self.revision, sum(newer.text()));
        let mut patch = head.clone();
        self.differences(newer).write(&mut patch);
        patch.push('}');
        let whole = head.len() + newer.text().len() + 10;
        if patch.len() > whole { format!("{head},\"whole\":{}}}", newer.text()) } else { patch }
    }

    /// This configuration after a patch that was made for it.
    pub fn patched(&self, patch: &str) -> Result<Config, Fault> {
        // A patch holds the newer configuration, or parts of it, one level down.
        let text = scan::text(patch.as_bytes(), scan::MAX_BYTES + 100)?;
        scan::guard(text, scan::MAX_DEPTH + 1)?;
        let mut fields: HashMap<Cow<'_, str>, &str> = draft::object(text, PLACE)?.into_iter().collect();
        let wanted = fields.remove("sum").and_then(scan::unquote);
        let config = match fields.remove("whole") {
            Some(text) => build(&Draft::read(text)?)?,
            None => build(&self.apply(&mut fields)?)?,
        };
        if wanted.as_deref() != Some(&format!("{:016x}", sum(config.text()))) {
            return Err(Cause::Mismatch("another text came out").at("sum"));
        }
        Ok(config)
    }

    fn apply<'a>(&'a self, fields: &mut HashMap<Cow<'a, str>, &'a str>) -> Result<Draft<'a>, Fault> {
        let base = fields.remove("base").unwrap_or("null");
        if value::whole(&value::parse(base, "base")?, "base")? != self.revision {
            return Err(Cause::Mismatch("made for another revision").at("base"));
        }
        let mut draft = Draft::of(self);
        for (list, value) in object(fields.remove("withdraw"), "withdraw")? {
            draft.withdraw(&list, &draft::names(value, "withdraw")?.into_iter().collect());
        }
        for (list, value, elements) in lists(fields.remove("upsert"), "upsert")? {
            let elements = elements.ok_or_else(|| value::not(value, "upsert", "a list"))?;
            let items = draft::items(&list, elements, "upsert")?;
            draft.upsert(list, items, "upsert")?;
        }
        for (list, value) in object(fields.remove("order"), "order")? {
            let names = draft::names(value, "order")?;
            for (key, part) in &mut draft.parts {
                if let Part::Items(items) = part
                    && *key == list
                {
                    arrange(items, &names, |item| &item.name)?;
                }
            }
        }
        if let Some(value) = fields.remove("drop") {
            let names: HashSet<Cow<'_, str>> = draft::names(value, "drop")?.into_iter().collect();
            draft.parts.retain(|(key, _)| !names.contains(key));
        }
        for (key, value, elements) in lists(fields.remove("set"), "set")? {
            let part = draft::part(&key, value, elements, &key)?;
            draft.set(key, part);
        }
        if let Some(value) = fields.remove("fields") {
            let names = draft::names(value, "fields")?;
            arrange(&mut draft.parts, &names, |(key, _)| key)?;
        }
        Ok(draft)
    }

    fn differences<'a>(&'a self, newer: &'a Config) -> Differences<'a> {
        let mut found = Differences::default();
        let own: HashMap<&str, _> = self.fields().map(|field| (field.key(), field)).collect();
        let kept: HashSet<&str> = newer.fields().map(|field| field.key()).collect();
        let mut order: Vec<&str> = Vec::new();
        for field in self.fields() {
            if kept.contains(field.key()) {
                order.push(field.key());
            } else {
                found.dropped.push(field.key());
            }
        }
        for field in newer.fields() {
            let before = own.get(field.key());
            if before.is_none() {
                order.push(field.key());
            }
            if before.is_some_and(|before| before.text() == field.text()) {
                continue;
            }
            match (before.and_then(|before| before.items()), field.items()) {
                (Some(before), Some(after)) => {
                    found.lists.push(List::new(
                        field.key(),
                        &before.collect::<Vec<_>>(),
                        &after.collect::<Vec<_>>(),
                    ));
                }
                _ => found.set.push((field.key(), field.text())),
            }
        }
        if !order.iter().copied().eq(newer.fields().map(|field| field.key())) {
            found.fields = newer.fields().map(|field| field.key()).collect();
        }
        found
    }
}

#[derive(Default)]
struct Differences<'a> {
    lists: Vec<List<'a>>,
    dropped: Vec<&'a str>,
    set: Vec<(&'a str, &'a str)>,
    fields: Vec<&'a str>,
}

struct List<'a> {
    key: &'a str,
    withdraw: Vec<&'a str>,
    upsert: Vec<&'a str>,
    order: Vec<&'a str>,
}

impl<'a> List<'a> {
    fn new(key: &'a str, before: &[(&'a str, &'a str)], after: &[(&'a str, &'a str)]) -> Self {
        let old: HashMap<&str, &str> = before.iter().copied().collect();
        let new: HashSet<&str> = after.iter().map(|(name, _)| *name).collect();
        let withdraw = before.iter().map(|(name, _)| *name).filter(|name| !new.contains(name)).collect();
        let changed = |(name, text): &&(&'a str, &'a str)| old.get(name) != Some(text);
        let upsert = after.iter().filter(changed).map(|(_, text)| *text).collect();
        // What comes out without a word on the order: old ones in their places, new ones at the end.
        let stay = before.iter().map(|(name, _)| *name).filter(|name| new.contains(name));
        let come = after.iter().map(|(name, _)| *name).filter(|name| !old.contains_key(name));
        let wanted = after.iter().map(|(name, _)| *name);
        let order = if stay.chain(come).eq(wanted.clone()) { Vec::new() } else { wanted.collect() };
        List { key, withdraw, upsert, order }
    }
}

impl Differences<'_> {
    fn write(&self, to: &mut String) {
        let by_list = |to: &mut String, key: &str, of: &dyn Fn(&List<'_>) -> Vec<String>| {
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
            let set: Vec<String> =
                self.set.iter().map(|(key, text)| format!("{}:{text}", quote(key))).collect();
            to.push_str(&format!(",\"set\":{{{}}}", set.join(",")));
        }
        if !self.fields.is_empty() {
            to.push_str(&format!(",\"fields\":[{}]", quoted(&self.fields).join(",")));
        }
    }
}

fn quoted(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| quote(name)).collect()
}

fn object<'a>(text: Option<&'a str>, place: &str) -> Result<Vec<(Cow<'a, str>, &'a str)>, Fault> {
    text.map_or(Ok(Vec::new()), |text| draft::object(text, place))
}

fn lists<'a>(text: Option<&'a str>, place: &str) -> Result<Vec<scan::Listed<'a>>, Fault> {
    text.map_or(Ok(Vec::new()), |text| draft::lists(text, place))
}

/// Brings things into the order of their names.
fn arrange<T>(things: &mut [T], names: &[Cow<'_, str>], name: impl Fn(&T) -> &str) -> Result<(), Fault> {
    let at: HashMap<&str, usize> = names.iter().enumerate().map(|(at, name)| (name.as_ref(), at)).collect();
    if at.len() != things.len() || !things.iter().all(|thing| at.contains_key(name(thing))) {
        return Err(Cause::Mismatch("orders other things").at("order"));
    }
    things.sort_by_key(|thing| at.get(name(thing)).copied());
    Ok(())
}

/// FNV-1a: finds a patch that was applied to another text of the same revision.
fn sum(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}
