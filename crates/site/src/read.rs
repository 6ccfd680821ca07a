//! KDL to a site: includes, named values, overrides, units. Faults are gathered, not stopped at.

use std::collections::BTreeMap;
use std::sync::Arc;

use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};
use miette::{NamedSource, SourceSpan};
use mosshead_units::{Fraction, Quantity};

use crate::fault::{Fault, Faults};
use crate::files::{Files, beside};
use crate::model::*;

/// No file is larger, no site has more files, no include stands deeper.
const FILE_LIMIT: usize = 1 << 20;
const FILES_LIMIT: usize = 64;
const DEPTH_LIMIT: usize = 16;

/// A file of a site.
#[derive(Clone, Debug)]
pub(crate) struct Source {
    pub(crate) text: Arc<NamedSource<String>>,
    /// Where each line after the first begins: a large site asks for thousands of places.
    lines: Arc<[usize]>,
    /// Where it is included: the file's place among the sources, and the span there.
    from: Option<(usize, SourceSpan)>,
}

impl Source {
    fn new(text: Arc<NamedSource<String>>, from: Option<(usize, SourceSpan)>) -> Self {
        let starts = text.inner().bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let lines = starts.map(|(at, _)| at + 1).collect();
        Self { text, lines, from }
    }

    fn line(&self, offset: usize) -> usize {
        self.lines.partition_point(|start| *start <= offset) + 1
    }
}

/// A statement and the file that it stands in.
type Stated = (usize, KdlNode);

pub(crate) struct Reader<'a> {
    files: &'a dyn Files,
    sources: Vec<Source>,
    faults: Vec<Fault>,
    values: BTreeMap<String, (String, usize, SourceSpan)>,
}

/// Where the includes of a file stand, the innermost first.
fn chain(sources: &[Source], mut file: usize) -> Vec<String> {
    let mut links = Vec::new();
    while let Some((parent, span)) = sources[file].from {
        let source = &sources[parent];
        links.push(format!("{}:{}", source.text.name(), source.line(span.offset())));
        file = parent;
    }
    links
}

impl Site {
    /// A fault at the place of something in this site.
    pub(crate) fn fault(&self, place: &Place, message: String, help: &str) -> Fault {
        let source = self.sources[place.source].text.clone();
        let chain = chain(&self.sources, place.source);
        Fault::new(source, place.span.into(), message, Some(help.to_owned()), chain)
    }
}

/// Reads a site, as the instance `name` in `zone` sees it: overrides for others are left out.
///
/// # Errors
///
/// All faults of the site, each with its place.
pub fn read(files: &dyn Files, path: &str, name: &str, zone: &str) -> Result<Site, Faults> {
    let mut reader = Reader { files, sources: Vec::new(), faults: Vec::new(), values: BTreeMap::new() };
    let mut stated = Vec::new();
    reader.file(path, None, 0, &mut stated);
    let site = reader.site(stated, name, zone);
    let mut faults = reader.faults;
    if !faults.is_empty() {
        // In the order in which a person reads: the first file first, from its top.
        let order = |fault: &Fault| {
            let at = reader.sources.iter().position(|source| source.text.name() == fault.file());
            (at, fault.position())
        };
        faults.sort_by_key(order);
        return Err(Faults(faults));
    }
    Ok(Site { sources: reader.sources, ..site })
}

impl Reader<'_> {
    fn fault(&mut self, file: usize, span: SourceSpan, message: impl Into<String>, help: &str) {
        let help = (!help.is_empty()).then(|| help.to_owned());
        let chain = chain(&self.sources, file);
        self.faults.push(Fault::new(self.sources[file].text.clone(), span, message, help, chain));
    }

    /// Reads a file and what it includes; a fault of the file as a whole stands where it is included.
    fn file(&mut self, path: &str, from: Option<(usize, SourceSpan)>, depth: usize, into: &mut Vec<Stated>) {
        let whole = |reader: &mut Self, message: String, help: &str| match from {
            Some((file, span)) => reader.fault(file, span, message, help),
            None => {
                let text = Arc::new(NamedSource::new(path, String::new()));
                let help = (!help.is_empty()).then(|| help.to_owned());
                reader.sources.push(Source::new(text.clone(), None));
                reader.faults.push(Fault::new(text, (0, 0).into(), message, help, Vec::new()));
            }
        };
        if self.sources.len() >= FILES_LIMIT || depth > DEPTH_LIMIT {
            let message = format!("`{path}` is one include too many");
            let help = format!("a site has at most {FILES_LIMIT} files, included at most {DEPTH_LIMIT} deep");
            return whole(self, message, &help);
        }
        let bytes = match self.files.read(path, FILE_LIMIT) {
            Ok(bytes) => bytes,
            Err(error) => {
                let message = format!("`{path}` cannot be read: {error}");
                return whole(self, message, "includes are relative to the file that includes");
            }
        };
        if bytes.len() > FILE_LIMIT {
            let message = format!("`{path}` is larger than {} KiB", FILE_LIMIT >> 10);
            return whole(self, message, "split it by `include`, or name another file");
        }
        let text = match String::from_utf8(bytes) {
            Ok(text) => text,
            Err(error) => {
                let at = error.utf8_error().valid_up_to();
                let message = format!("`{path}` is not UTF-8: byte {at} starts no character");
                return whole(self, message, "save it as UTF-8");
            }
        };
        let file = self.sources.len();
        let named = Arc::new(NamedSource::new(path, text.clone()));
        self.sources.push(Source::new(named, from));
        let document = match KdlDocument::parse_v2(&text) {
            Ok(document) => document,
            Err(error) => return self.syntax(file, &text, &error),
        };
        for node in document.nodes() {
            match node.name().value() {
                "include" => self.include(file, node, depth, into),
                "let" => self.value(file, node),
                _ => into.push((file, node.clone())),
            }
        }
    }

    /// The parser goes on after a fault, and what it then finds is mostly its consequence: the cause is told.
    fn syntax(&mut self, file: usize, text: &str, error: &kdl::KdlError) {
        let consequence = |of: &kdl::KdlDiagnostic| {
            let message = of.message.as_deref().unwrap_or_default();
            message.starts_with("No closing") || message.starts_with("Closing")
        };
        let cause = error.diagnostics.iter().find(|of| !consequence(of)).or(error.diagnostics.first());
        let Some(cause) = cause else {
            return self.fault(file, (0, 0).into(), "this is not KDL", "");
        };
        let rest = text.get(cause.span.offset()..).unwrap_or_default();
        let word = rest.split(|letter: char| !letter.is_ascii_alphanumeric()).next().unwrap_or_default();
        let (message, help) = match (cause.message.as_deref(), word) {
            (_, "true" | "false" | "null") => (format!("`{word}` needs its `#`"), format!("write `#{word}`")),
            (Some("Expected end of document") | None, _) => {
                let help = "write `name value`, `name key=value`, or `name { ... }`, one a line";
                ("this is no statement".to_owned(), help.to_owned())
            }
            (Some(message), _) => (message.to_owned(), cause.help.clone().unwrap_or_default()),
        };
        self.fault(file, cause.span, message, &help);
    }

    fn include(&mut self, file: usize, node: &KdlNode, depth: usize, into: &mut Vec<Stated>) {
        let Some(path) = self.one_text(file, node, "a file, as in `include \"pools.kdl\"`") else { return };
        let path = beside(self.sources[file].text.name(), &path);
        // The file itself, and every file that led to it.
        let mut above = Some(file);
        while let Some(at) = above {
            if self.sources[at].text.name() == path {
                let message = format!("`{path}` includes itself");
                let help = "take one of the includes of this circle out";
                return self.fault(file, node.span(), message, help);
            }
            above = self.sources[at].from.map(|(parent, _)| parent);
        }
        if self.sources.iter().any(|source| source.text.name() == path) {
            let message = format!("`{path}` is included twice");
            return self.fault(file, node.span(), message, "include each file once");
        }
        self.file(&path, Some((file, node.span())), depth + 1, into);
    }

    fn value(&mut self, file: usize, node: &KdlNode) {
        let arguments: Vec<&KdlEntry> =
            node.entries().iter().filter(|entry| entry.name().is_none()).collect();
        let texts: Vec<&str> = arguments.iter().filter_map(|entry| entry.value().as_string()).collect();
        let [name, value] = texts[..] else {
            let help = "write a name and a value with its unit, as in `let patience \"2s\"`";
            return self.fault(file, node.span(), "a named value is a name and a text", help);
        };
        if let Some((_, other, span)) = self.values.get(name) {
            let source = &self.sources[*other];
            let (file_name, line) = (source.text.name(), source.line(span.offset()));
            let message = format!("the value {name:?} is named twice: first at {file_name}:{line}");
            return self.fault(file, node.span(), message, "give one of the two another name");
        }
        self.values.insert(name.to_owned(), (value.to_owned(), file, node.span()));
    }

    /// A text, or the named value that `$name` stands for.
    fn text(&mut self, file: usize, entry: &KdlEntry) -> Option<String> {
        let Some(text) = entry.value().as_string() else {
            let message = format!("`{}` is no text", shown(entry.value()));
            self.fault(file, entry.span(), message, "write it in quotes");
            return None;
        };
        match text.strip_prefix('$') {
            None => Some(text.to_owned()),
            Some(name) => match self.values.get(name) {
                Some((value, ..)) => Some(value.clone()),
                None => {
                    let message = format!("no value is named {name:?}");
                    let help = format!("name it: `let {name} \"...\"`, before or after, in any file");
                    self.fault(file, entry.span(), message, &help);
                    None
                }
            },
        }
    }

    fn only<'n>(&mut self, file: usize, node: &'n KdlNode, what: &str) -> Option<&'n KdlEntry> {
        let mut entries = node.entries().iter();
        match (entries.next(), entries.next()) {
            (Some(entry), None) if entry.name().is_none() => Some(entry),
            _ => {
                let message = format!("`{}` takes one value", node.name().value());
                self.fault(file, node.span(), message, &format!("write {what}"));
                None
            }
        }
    }

    fn one_text(&mut self, file: usize, node: &KdlNode, what: &str) -> Option<String> {
        let entry = self.only(file, node, what)?;
        self.text(file, entry)
    }

    fn quantity_of<T: Quantity>(&mut self, file: usize, entry: &KdlEntry) -> Option<T> {
        let text = match entry.value() {
            // The message for a bare number names the units that it may have.
            KdlValue::Integer(_) | KdlValue::Float(_) => shown(entry.value()),
            _ => self.text(file, entry)?,
        };
        match T::parse(&text) {
            Ok(value) => Some(value),
            Err(error) => {
                let help = format!("write the figure with its unit, in quotes, in place of `{text}`");
                self.fault(file, entry.span(), error.to_string(), &help);
                None
            }
        }
    }

    fn quantity<T: Quantity>(&mut self, file: usize, node: &KdlNode, what: &str) -> Option<T> {
        let entry = self.only(file, node, what)?;
        self.quantity_of(file, entry)
    }

    fn whole(&mut self, file: usize, node: &KdlNode, least: i128, most: i128) -> Option<u32> {
        let what = format!("a whole number from {least} to {most}");
        let entry = self.only(file, node, &what)?;
        match entry.value().as_integer().filter(|number| (least..=most).contains(number)) {
            Some(number) => Some(number as u32),
            None => {
                let message = format!("`{}` is not {what}", shown(entry.value()));
                self.fault(file, entry.span(), message, &format!("write {what}, without quotes"));
                None
            }
        }
    }

    fn texts(&mut self, file: usize, node: &KdlNode) -> Vec<String> {
        let mut all = Vec::new();
        for entry in node.entries() {
            if let Some(name) = entry.name() {
                let message = format!("`{}` takes no `{}=`", node.name().value(), name.value());
                self.fault(file, entry.span(), message, "write values only, one after the other");
            } else if let Some(text) = self.text(file, entry) {
                all.push(text);
            }
        }
        if node.entries().is_empty() {
            let message = format!("`{}` needs at least one value", node.name().value());
            self.fault(file, node.span(), message, "name one, or take the line out");
        }
        all
    }

    fn place(&self, file: usize, span: SourceSpan) -> Place {
        let source = &self.sources[file];
        let line = source.line(span.offset());
        let span = (span.offset(), span.len());
        Place { file: source.text.name().to_owned(), line, source: file, span }
    }

    fn unknown(&mut self, file: usize, node: &KdlNode, of: &str, known: &[&str]) {
        let name = node.name().value();
        let message = format!("`{name}` is not known in {of}");
        let near = nearest(known.iter().copied(), name);
        let help = match near.is_empty() {
            false => format!("did you mean `{}`?", near.join("` or `")),
            true => format!("there are {}", known.join(", ")),
        };
        self.fault(file, node.name().span(), message, &help);
    }

    fn site(&mut self, stated: Vec<Stated>, name: &str, zone: &str) -> Site {
        let mut merged = self.overridden(stated, name, zone);
        let mut site = Site::default();
        let (mut pools, mut policies, mut routes) = (Vec::new(), Vec::new(), Vec::new());
        for (file, node) in &mut merged {
            let list = match node.name().value() {
                "pool" => &mut pools,
                "policy" => &mut policies,
                "route" => &mut routes,
                _ => {
                    let known = ["include", "let", "override", "policy", "pool", "route"];
                    self.unknown(*file, node, "a site", &known);
                    continue;
                }
            };
            let what = format!("a name, as in `{} \"quick\"`", node.name().value());
            if let Some(name) = self.one_text(*file, node, &what) {
                list.push((*file, node.clone(), name));
            }
        }
        for list in [&pools, &policies, &routes] {
            self.twice(list);
        }
        let index = |list: &[(usize, KdlNode, String)]| -> BTreeMap<String, usize> {
            list.iter().enumerate().map(|(at, (.., name))| (name.clone(), at)).collect()
        };
        let (pool_names, policy_names) = (index(&pools), index(&policies));
        site.pools =
            pools.iter().map(|(file, node, name)| self.pool(*file, node, name, &pool_names)).collect();
        site.policies = policies.iter().map(|(file, node, name)| self.policy(*file, node, name)).collect();
        for (file, node, name) in &routes {
            let route = self.route(*file, node, name, &pool_names, &policy_names);
            site.routes.extend(route);
        }
        site
    }

    fn twice(&mut self, list: &[(usize, KdlNode, String)]) {
        for (at, (file, node, name)) in list.iter().enumerate() {
            if let Some((other, first, _)) = list[..at].iter().find(|(.., earlier)| earlier == name) {
                let place = self.place(*other, first.span());
                let kind = node.name().value();
                let message =
                    format!("the {kind} {name:?} is defined twice: first at {}:{}", place.file, place.line);
                self.fault(*file, node.name().span(), message, "give one of the two another name");
            }
        }
    }

    /// Puts the children of overrides that are for this instance over those of what they name.
    fn overridden(&mut self, stated: Vec<Stated>, name: &str, zone: &str) -> Vec<Stated> {
        let (overrides, mut plain): (Vec<Stated>, Vec<Stated>) =
            stated.into_iter().partition(|(_, node)| node.name().value() == "override");
        for (file, node) in overrides {
            let mut ours = !node.entries().is_empty();
            for entry in node.entries() {
                match entry.name().map(|name| name.value()) {
                    Some("instance") => {
                        ours &= self.text(file, entry).is_some_and(|pattern| fits(&pattern, name));
                    }
                    Some("zone") => ours &= self.text(file, entry).is_some_and(|of| of == zone),
                    _ => {
                        let help = "write `override instance=\"n3\"` or `override zone=\"memphis\"`";
                        self.fault(file, entry.span(), "an override is for an instance or a zone", help);
                    }
                }
            }
            if node.entries().is_empty() {
                let help = "write `override instance=\"n3\"` or `override zone=\"memphis\"`";
                self.fault(file, node.span(), "an override names no instance and no zone", help);
            }
            for over in node.children().map(KdlDocument::nodes).unwrap_or_default() {
                let named = over.get(0).and_then(KdlValue::as_string);
                let same = |other: &&mut Stated| {
                    other.1.name() == over.name() && other.1.get(0).and_then(KdlValue::as_string) == named
                };
                let Some((_, under)) = plain.iter_mut().find(same) else {
                    let what = over.name().value();
                    let message = format!("no {what} {:?} is there to be overridden", named.unwrap_or(""));
                    self.fault(file, over.span(), message, "define it outside of the override first");
                    continue;
                };
                if !ours {
                    continue;
                }
                let fresh = over.children().map(KdlDocument::nodes).unwrap_or_default();
                let children = under.ensure_children();
                children.nodes_mut().retain(|old| fresh.iter().all(|new| new.name() != old.name()));
                children.nodes_mut().extend(fresh.iter().cloned());
            }
        }
        plain
    }

    fn pool(&mut self, file: usize, node: &KdlNode, name: &str, pools: &BTreeMap<String, usize>) -> Pool {
        let place = self.place(file, node.span());
        let mut pool = Pool {
            name: name.to_owned(),
            zones: Vec::new(),
            kinds: Vec::new(),
            ids: Vec::new(),
            least: 0.0,
            panic: 0.0,
            fallback: None,
            place,
        };
        for child in node.children().map(KdlDocument::nodes).unwrap_or_default() {
            match child.name().value() {
                "zone" => pool.zones.extend(self.texts(file, child)),
                "kind" => pool.kinds.extend(self.texts(file, child)),
                "id" => pool.ids.extend(self.texts(file, child)),
                "least" => pool.least = self.part(file, child).unwrap_or_default(),
                "panic" => pool.panic = self.part(file, child).unwrap_or_default(),
                "fallback" => {
                    if let Some(of) = self.one_text(file, child, "a pool, as in `fallback \"all\"`") {
                        pool.fallback = self.named(file, child.span(), "pool", &of, pools);
                    }
                }
                _ => {
                    let known = ["fallback", "id", "kind", "least", "panic", "zone"];
                    self.unknown(file, child, "a pool", &known);
                }
            }
        }
        pool
    }

    fn part(&mut self, file: usize, node: &KdlNode) -> Option<f64> {
        let part: Fraction = self.quantity(file, node, "a share, as in `\"30%\"`")?;
        if part.0 > 1.0 {
            let message = format!("`{}` is above the whole", node.name().value());
            self.fault(file, node.span(), message, "write a share from `0%` to `100%`");
            return None;
        }
        Some(part.0)
    }

    fn named(
        &mut self,
        file: usize,
        span: SourceSpan,
        what: &str,
        name: &str,
        known: &BTreeMap<String, usize>,
    ) -> Option<usize> {
        let found = known.get(name).copied();
        if found.is_none() {
            let quoted = |names: Vec<&str>, between: &str| {
                names.iter().map(|name| format!("{name:?}")).collect::<Vec<_>>().join(between)
            };
            let near = nearest(known.keys().map(String::as_str), name);
            let help = match (near.is_empty(), known.is_empty()) {
                (false, _) => format!("did you mean {}?", quoted(near, " or ")),
                (true, true) => format!("define it: `{what} \"{name}\" {{ }}`"),
                (true, false) => {
                    format!("there are {}", quoted(known.keys().map(String::as_str).collect(), ", "))
                }
            };
            self.fault(file, span, format!("no {what} is named {name:?}"), &help);
        }
        found
    }

    fn policy(&mut self, file: usize, node: &KdlNode, name: &str) -> Policy {
        let mut limits = Limits::default();
        for child in node.children().map(KdlDocument::nodes).unwrap_or_default() {
            match child.name().value() {
                "time-limit" => limits.time_limit = self.quantity(file, child, "a time, as in `\"2s\"`"),
                "attempts" => limits.attempts = self.whole(file, child, 1, 100),
                "retry-budget" => {
                    limits.retry_budget = self.quantity(file, child, "a share, as in `\"20%\"`");
                }
                "second-copies" => {
                    let what = "`#true` or `#false`";
                    let Some(entry) = self.only(file, child, what) else { continue };
                    limits.second_copies = entry.value().as_bool();
                    if limits.second_copies.is_none() {
                        let message = format!("`{}` is neither true nor false", shown(entry.value()));
                        self.fault(file, entry.span(), message, &format!("write {what}"));
                    }
                }
                "concurrency" => limits.concurrency = self.whole(file, child, 1, 1_000_000),
                _ => {
                    let known = ["attempts", "concurrency", "retry-budget", "second-copies", "time-limit"];
                    self.unknown(file, child, "a policy", &known);
                }
            }
        }
        Policy { name: name.to_owned(), limits, place: self.place(file, node.span()) }
    }

    fn route(
        &mut self,
        file: usize,
        node: &KdlNode,
        name: &str,
        pools: &BTreeMap<String, usize>,
        policies: &BTreeMap<String, usize>,
    ) -> Option<Route> {
        let place = self.place(file, node.span());
        let (mut matches, mut policy) = (Match::default(), None);
        let mut split: Vec<(usize, Option<f64>)> = Vec::new();
        let mut refuse = None;
        let (mut leads, mut whole) = (false, true);
        for child in node.children().map(KdlDocument::nodes).unwrap_or_default() {
            match child.name().value() {
                "class" => matches.classes.extend(self.texts(file, child)),
                "tenant" => matches.tenants.extend(self.texts(file, child)),
                "path" => matches.paths.extend(self.texts(file, child)),
                "method" => matches.methods.extend(self.texts(file, child)),
                "header" => match &self.texts(file, child)[..] {
                    [name, value] => matches.headers.push((name.to_lowercase(), value.clone())),
                    _ => {
                        let help = "write name and value, as in `header \"x-app\" \"desk\"`";
                        self.fault(file, child.span(), "a header is a name and a value", help);
                    }
                },
                "to" => {
                    leads = true;
                    let to = self.to(file, child, pools);
                    whole &= to.is_some();
                    split.extend(to);
                }
                "refuse" => {
                    leads = true;
                    refuse = self.quantity(file, child, "a come-back time, as in `refuse \"2s\"`");
                    if !split.is_empty() {
                        let help = "a route leads to pools or to a refusal, not to both";
                        self.fault(file, child.span(), format!("the route {name:?} leads two ways"), help);
                    }
                }
                "policy" => {
                    if let Some(of) = self.one_text(file, child, "a policy, as in `policy \"pay\"`") {
                        policy = self.named(file, child.span(), "policy", &of, policies);
                    }
                }
                _ => {
                    let known = ["class", "header", "method", "path", "policy", "refuse", "tenant", "to"];
                    self.unknown(file, child, "a route", &known);
                }
            }
        }
        if !leads {
            let help = "add `to \"POOL\"` or `refuse \"2s\"`";
            self.fault(file, node.span(), format!("the route {name:?} leads nowhere"), help);
        }
        if let Some(wait) = refuse {
            return Some(Route {
                name: name.to_owned(),
                matches,
                target: Target::Refuse(wait),
                policy,
                place,
            });
        }
        // What is wrong with one part would show again in their sum.
        let parts = if whole { self.split(file, node, name, &split)? } else { return None };
        Some(Route { name: name.to_owned(), matches, target: Target::Pools(parts), policy, place })
    }

    fn to(
        &mut self,
        file: usize,
        node: &KdlNode,
        pools: &BTreeMap<String, usize>,
    ) -> Option<(usize, Option<f64>)> {
        let (mut pool, mut part) = (None, None);
        for entry in node.entries() {
            match entry.name().map(|name| name.value()) {
                None if pool.is_none() => {
                    let name = self.text(file, entry)?;
                    pool = Some(self.named(file, entry.span(), "pool", &name, pools)?);
                }
                Some("share") if part.is_none() => part = Some(self.quantity_of::<Fraction>(file, entry)?.0),
                _ => {
                    let help = "write `to \"POOL\"` or `to \"POOL\" share=\"20%\"`";
                    self.fault(file, entry.span(), "`to` takes a pool and its share", help);
                    return None;
                }
            }
        }
        if pool.is_none() {
            let help = "write `to \"POOL\"` or `to \"POOL\" share=\"20%\"`";
            self.fault(file, node.span(), "`to` names no pool", help);
        }
        Some((pool?, part))
    }

    /// The parts of a split sum to the whole; one pool alone has it all.
    fn split(
        &mut self,
        file: usize,
        node: &KdlNode,
        name: &str,
        split: &[(usize, Option<f64>)],
    ) -> Option<Vec<Weighted>> {
        if let [(pool, None)] = split {
            return Some(vec![Weighted { pool: *pool, part: 1.0 }]);
        }
        if split.is_empty() {
            return None;
        }
        let sum: f64 = split.iter().filter_map(|(_, part)| *part).sum();
        if split.iter().any(|(_, part)| part.is_none()) {
            let message = format!("the route {name:?} splits, but not every pool has its share");
            self.fault(file, node.span(), message, "add `share=\"...%\"` to each `to`");
            return None;
        }
        if (sum - 1.0).abs() > 1e-6 {
            let message = format!("the shares of the route {name:?} sum to {}%", (sum * 1e6).round() / 1e4);
            self.fault(file, node.span(), message, "make them sum to 100%");
            return None;
        }
        Some(split.iter().map(|(pool, part)| Weighted { pool: *pool, part: part.unwrap_or(0.0) }).collect())
    }
}

/// A value as it is shown in a message.
fn shown(value: &KdlValue) -> String {
    match value {
        KdlValue::String(text) => text.clone(),
        KdlValue::Integer(number) => number.to_string(),
        KdlValue::Float(number) => number.to_string(),
        KdlValue::Bool(truth) => format!("#{truth}"),
        KdlValue::Null => "#null".to_owned(),
    }
}

/// The names that a mistyped one is nearest to, if it is near any.
fn nearest<'n>(known: impl Iterator<Item = &'n str>, name: &str) -> Vec<&'n str> {
    let known: Vec<(usize, &str)> = known.map(|word| (distance(word, name), word)).collect();
    let least = known.iter().map(|(letters, _)| *letters).min().unwrap_or(usize::MAX);
    // A word of which every letter would change is no near miss.
    let near = least <= 2 && least < name.chars().count();
    known.into_iter().filter(|(letters, _)| near && *letters == least).map(|(_, word)| word).collect()
}

/// How many letters two words differ by.
fn distance(one: &str, other: &str) -> usize {
    let other: Vec<char> = other.chars().collect();
    let mut row: Vec<usize> = (0..=other.len()).collect();
    for (at, letter) in one.chars().enumerate() {
        let mut corner = std::mem::replace(&mut row[0], at + 1);
        for (to, same) in other.iter().enumerate() {
            let change = corner + usize::from(letter != *same);
            corner = row[to + 1];
            row[to + 1] = change.min(corner + 1).min(row[to] + 1);
        }
    }
    row[other.len()]
}
