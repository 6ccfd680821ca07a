//! Computes the difference of two configurations and writes it as a patch.

use super::keys::{BASE, DROP, FIELDS, ORDER, SET, SUM, UPSERT, WHOLE, WITHDRAW};
use crate::config::Config;
use crate::document::{Document, FieldValue};
use crate::item_list::ItemList;
use crate::json::string::quote;

impl Config {
    /// Builds the patch, as JSON, that turns this configuration into the newer one. It contains the differences or, if
    /// that is shorter, the complete newer configuration.
    pub fn patch_to(&self, newer: &Config) -> String {
        let head = format!("{{\"{BASE}\":{},\"{SUM}\":\"{:016x}\"", self.revision(), newer.document().hash());
        let mut patch = head.clone();
        DocumentDiff::new(self.document(), newer.document()).write(&mut patch);
        patch.push('}');
        let length_with_whole = head.len() + format!(",\"{WHOLE}\":}}").len() + newer.json_length();
        if patch.len() > length_with_whole {
            format!("{head},\"{WHOLE}\":{}}}", newer.to_json())
        } else {
            patch
        }
    }
}

/// The differences between two documents.
#[derive(Default)]
struct DocumentDiff<'a> {
    lists: Vec<ListDiff<'a>>,
    /// The keys of the fields that the newer document does not contain.
    dropped: Vec<&'a str>,
    /// The fields that are new or changed, except lists of items that both documents contain.
    set: Vec<(&'a str, &'a FieldValue)>,
    /// The keys of all fields in order; empty if the order follows from the other parts of the patch.
    fields: Vec<&'a str>,
}

/// The differences between two lists of items.
struct ListDiff<'a> {
    key: &'a str,
    /// The names of the items that the newer list does not contain.
    withdraw: Vec<&'a str>,
    /// The texts of the items that are new or changed.
    upsert: Vec<&'a str>,
    /// The names of all items in order; empty if the order follows from the other parts of the patch.
    order: Vec<&'a str>,
}

impl<'a> DocumentDiff<'a> {
    fn new(older: &'a Document, newer: &'a Document) -> Self {
        let mut diff = DocumentDiff::default();
        let (kept, dropped): (Vec<&str>, Vec<&str>) = older.keys().partition(|key| newer.get(key).is_some());
        diff.dropped = dropped;
        for field in newer.fields() {
            match (older.get(&field.key), &field.value) {
                (Some(FieldValue::Items(before)), FieldValue::Items(after)) => {
                    diff.lists.push(ListDiff::new(&field.key, before, after));
                }
                (Some(before), after) if before.has_same_text(after) => {}
                _ => diff.set.push((&field.key, &field.value)),
            }
        }
        let added = newer.keys().filter(|key| older.get(key).is_none());
        if !kept.into_iter().chain(added).eq(newer.keys()) {
            diff.fields = newer.keys().collect();
        }
        diff
    }

    /// Appends the fields of the patch.
    fn write(&self, output: &mut String) {
        self.write_by_list(output, WITHDRAW, |list| quote_all(&list.withdraw));
        self.write_by_list(output, UPSERT, |list| list.upsert.iter().map(|text| text.to_string()).collect());
        self.write_by_list(output, ORDER, |list| quote_all(&list.order));
        if !self.dropped.is_empty() {
            output.push_str(&format!(",\"{DROP}\":[{}]", quote_all(&self.dropped).join(",")));
        }
        if !self.set.is_empty() {
            self.write_set(output);
        }
        if !self.fields.is_empty() {
            output.push_str(&format!(",\"{FIELDS}\":[{}]", quote_all(&self.fields).join(",")));
        }
    }

    /// Appends a field with an object that has the elements by list, for the lists that have any.
    fn write_by_list(
        &self,
        output: &mut String,
        key: &str,
        elements_of: impl Fn(&ListDiff<'_>) -> Vec<String>,
    ) {
        let lists = self.lists.iter().map(|list| (list.key, elements_of(list)));
        let lists = lists.filter(|(_, elements)| !elements.is_empty());
        let lists: Vec<String> =
            lists.map(|(list, elements)| format!("{}:[{}]", quote(list), elements.join(","))).collect();
        if !lists.is_empty() {
            output.push_str(&format!(",\"{key}\":{{{}}}", lists.join(",")));
        }
    }

    fn write_set(&self, output: &mut String) {
        output.push_str(&format!(",\"{SET}\":{{"));
        for (index, (key, value)) in self.set.iter().enumerate() {
            if index > 0 {
                output.push(',');
            }
            output.push_str(&quote(key));
            output.push(':');
            value.write_json(output);
        }
        output.push('}');
    }
}

impl<'a> ListDiff<'a> {
    fn new(key: &'a str, before: &'a ItemList, after: &'a ItemList) -> Self {
        let mut withdraw = Vec::new();
        let mut upserted = Vec::new();
        before.compare(after, |old, new| match (old, new) {
            (_, Some(new)) => upserted.push(new),
            (Some(old), None) => withdraw.push(old.name()),
            (None, None) => {}
        });
        let order = if after.has_upsert_order(before) {
            Vec::new()
        } else {
            after.iter().map(|item| item.name()).collect()
        };
        // New items are appended in the order in which the patch contains them.
        after.sort_by_position(&mut upserted);
        let upsert = upserted.into_iter().map(|item| item.text()).collect();
        ListDiff { key, withdraw, upsert, order }
    }
}

fn quote_all(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| quote(name)).collect()
}
