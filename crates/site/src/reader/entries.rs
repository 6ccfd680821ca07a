//! The values of a statement: texts, quantities with units, whole numbers, and names of pools and policies.

use kdl::{KdlEntry, KdlNode, KdlValue};
use miette::SourceSpan;
use mosshead_units::{Fraction, Quantity};

use super::suggestions::nearest_names;
use super::{FileId, NameIndex, Reader};

/// A value as messages show it.
pub(super) fn displayed(value: &KdlValue) -> String {
    match value {
        KdlValue::String(text) => text.clone(),
        KdlValue::Integer(number) => number.to_string(),
        KdlValue::Float(number) => number.to_string(),
        KdlValue::Bool(boolean) => format!("#{boolean}"),
        KdlValue::Null => "#null".to_owned(),
    }
}

impl Reader<'_> {
    /// A text, or the named value that `$name` stands for.
    pub(super) fn text(&mut self, file: FileId, entry: &KdlEntry) -> Option<String> {
        let Some(text) = entry.value().as_string() else {
            let message = format!("`{}` is no text", displayed(entry.value()));
            self.report(file, entry.span(), message, "write it in quotes");
            return None;
        };
        let Some(name) = text.strip_prefix('$') else { return Some(text.to_owned()) };
        if let Some(value) = self.values.get(name) {
            return Some(value.text.clone());
        }
        let message = format!("no value is named {name:?}");
        let help = format!("name it: `let {name} \"...\"`, before or after, in any file");
        self.report(file, entry.span(), message, &help);
        None
    }

    /// The one value of a statement; `expected` completes "write ..." in the help text.
    pub(super) fn single_entry<'n>(
        &mut self,
        file: FileId,
        node: &'n KdlNode,
        expected: &str,
    ) -> Option<&'n KdlEntry> {
        let mut entries = node.entries().iter();
        match (entries.next(), entries.next()) {
            (Some(entry), None) if entry.name().is_none() => Some(entry),
            _ => {
                let message = format!("`{}` takes one value", node.name().value());
                self.report(file, node.span(), message, &format!("write {expected}"));
                None
            }
        }
    }

    pub(super) fn single_text(&mut self, file: FileId, node: &KdlNode, expected: &str) -> Option<String> {
        let entry = self.single_entry(file, node, expected)?;
        self.text(file, entry)
    }

    pub(super) fn entry_quantity<T: Quantity>(&mut self, file: FileId, entry: &KdlEntry) -> Option<T> {
        let text = match entry.value() {
            // The message for a bare number names the units that it may have.
            KdlValue::Integer(_) | KdlValue::Float(_) => displayed(entry.value()),
            _ => self.text(file, entry)?,
        };
        match T::parse(&text) {
            Ok(value) => Some(value),
            Err(error) => {
                let help = format!("write the figure with its unit, in quotes, in place of `{text}`");
                self.report(file, entry.span(), error.to_string(), &help);
                None
            }
        }
    }

    pub(super) fn quantity<T: Quantity>(
        &mut self,
        file: FileId,
        node: &KdlNode,
        expected: &str,
    ) -> Option<T> {
        let entry = self.single_entry(file, node, expected)?;
        self.entry_quantity(file, entry)
    }

    /// A share from 0 to 1.
    pub(super) fn share(&mut self, file: FileId, node: &KdlNode) -> Option<f64> {
        let share: Fraction = self.quantity(file, node, "a share, as in `\"30%\"`")?;
        if share.0 > 1.0 {
            let message = format!("`{}` is above the whole", node.name().value());
            self.report(file, node.span(), message, "write a share from `0%` to `100%`");
            return None;
        }
        Some(share.0)
    }

    pub(super) fn integer(&mut self, file: FileId, node: &KdlNode, min: u32, max: u32) -> Option<u32> {
        let expected = format!("a whole number from {min} to {max}");
        let entry = self.single_entry(file, node, &expected)?;
        let number = entry.value().as_integer().and_then(|number| u32::try_from(number).ok());
        let number = number.filter(|number| (min..=max).contains(number));
        if number.is_none() {
            let message = format!("`{}` is not {expected}", displayed(entry.value()));
            self.report(file, entry.span(), message, &format!("write {expected}, without quotes"));
        }
        number
    }

    /// All values of a statement, of which there has to be one.
    pub(super) fn texts(&mut self, file: FileId, node: &KdlNode) -> Vec<String> {
        let mut texts = Vec::new();
        for entry in node.entries() {
            if let Some(name) = entry.name() {
                let message = format!("`{}` takes no `{}=`", node.name().value(), name.value());
                self.report(file, entry.span(), message, "write values only, one after the other");
            } else if let Some(text) = self.text(file, entry) {
                texts.push(text);
            }
        }
        if node.entries().is_empty() {
            let message = format!("`{}` needs at least one value", node.name().value());
            self.report(file, node.span(), message, "name one, or take the line out");
        }
        texts
    }

    /// The index of the pool or policy (`kind`) of a name.
    pub(super) fn find_named(
        &mut self,
        file: FileId,
        span: SourceSpan,
        kind: &str,
        name: &str,
        known: &NameIndex,
    ) -> Option<usize> {
        let found = known.get(name).copied();
        if found.is_none() {
            let quoted = |names: Vec<&str>, separator: &str| {
                names.iter().map(|name| format!("{name:?}")).collect::<Vec<_>>().join(separator)
            };
            let nearest = nearest_names(known.keys().map(String::as_str), name);
            let help = if !nearest.is_empty() {
                format!("did you mean {}?", quoted(nearest, " or "))
            } else if known.is_empty() {
                format!("define it: `{kind} \"{name}\" {{ }}`")
            } else {
                format!("there are {}", quoted(known.keys().map(String::as_str).collect(), ", "))
            };
            self.report(file, span, format!("no {kind} is named {name:?}"), &help);
        }
        found
    }

    /// Reports a statement that has no meaning there; `context` says where, and `known` which ones have.
    pub(super) fn report_unknown_statement(
        &mut self,
        file: FileId,
        node: &KdlNode,
        context: &str,
        known: &[&str],
    ) {
        let name = node.name().value();
        let message = format!("`{name}` is not known in {context}");
        let nearest = nearest_names(known.iter().copied(), name);
        let help = if nearest.is_empty() {
            format!("there are {}", known.join(", "))
        } else {
            format!("did you mean `{}`?", nearest.join("` or `"))
        };
        self.report(file, node.name().span(), message, &help);
    }
}
