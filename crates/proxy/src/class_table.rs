//! Which place of the balancer's table each class name points to, over changes of the settings. No I/O.
//!
//! A request is judged by the definition that it came under. Definitions never change in their place.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use mosshead_decide::NameTable;
use mosshead_decide::interface::*;
use mosshead_settings::NamedSettings;

use crate::errors::ApplySettingsError;

/// For so long after a change a name still has its former terms: clients learn of it a moment later.
pub const FORMER_BINDING_PERIOD: Duration = Duration::from_millis(1000);
/// A place that no name points to is used again after this: whoever read it before has sent its request by then.
pub const SLOT_REUSE_DELAY: Duration = Duration::from_secs(60);
/// More places than this within that time are too many changes.
pub const MAX_CLASS_SLOTS: usize = 1024;

/// What a name stands for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassBinding {
    pub class: ClassId,
    pub effect: RepeatEffect,
    until: Option<Instant>,
}

/// What clients may name at present.
#[derive(Debug)]
pub struct AcceptedNames {
    classes: HashMap<String, Vec<ClassBinding>>,
    tenants: NameTable,
}

impl AcceptedNames {
    /// What a class's name stands for now, its present terms first.
    pub fn class(&self, name: &str, now: Instant) -> impl Iterator<Item = &ClassBinding> {
        let terms = self.classes.get(name).map(Vec::as_slice).unwrap_or_default();
        terms.iter().filter(move |term| term.until.is_none_or(|until| now < until))
    }

    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.find_number(name).map(TenantId)
    }
}

/// A place of the table.
#[derive(Clone, Debug)]
struct ClassSlot {
    name: String,
    class: Class,
    /// Since when no name points to it.
    idle: Option<Instant>,
}

/// The table, and the names that point into it.
#[derive(Clone, Debug)]
pub struct ClassTable {
    places: Vec<ClassSlot>,
    tenants: NameTable,
    shares: Vec<Tenant>,
}

/// A change, whole: nothing of it is in force before the balancer takes it.
pub struct SettingsChange {
    pub settings: Settings,
    pub names: AcceptedNames,
    /// The places that names point to.
    pub open: Vec<ClassId>,
    /// What is learnt at the first of two places goes for the second.
    pub heirs: Vec<(ClassId, ClassId)>,
}

impl ClassTable {
    /// The table as the balancer starts with it: in the order of the settings.
    /// The names of all classes, by their numbers.
    pub fn names(&self) -> Vec<&str> {
        self.places.iter().map(|place| place.name.as_str()).collect()
    }

    pub fn new(named: &NamedSettings) -> (Self, AcceptedNames) {
        let names = (0..named.settings.classes.len()).map(|at| named.classes.name(at).to_owned());
        let classes = named.settings.classes.iter().cloned();
        let places = names.zip(classes).map(|(name, class)| ClassSlot { name, class, idle: None }).collect();
        let (tenants, shares) = (named.tenants.clone(), named.settings.tenants.clone());
        let mut class_table = Self { places, tenants, shares };
        let names = class_table.accepted_names(Instant::now());
        (class_table, names)
    }

    /// Takes other settings up. `held` says whether a job holds a place; zones and kinds are numbered as in `named`.
    pub fn change(
        &mut self,
        named: &NamedSettings,
        held: impl Fn(ClassId) -> bool,
        now: Instant,
    ) -> Result<SettingsChange, ApplySettingsError> {
        let mut next = self.clone();
        let mut heirs = Vec::new();
        let before: HashMap<&str, usize> = (self.places.iter().enumerate())
            .filter(|(_, place)| place.idle.is_none())
            .map(|(at, place)| (place.name.as_str(), at))
            .collect();
        for place in &mut next.places {
            place.idle.get_or_insert(now);
        }
        for (at, class) in named.settings.classes.iter().enumerate() {
            let name = named.classes.name(at);
            let same = next.places.iter().position(|place| place.name == name && place.class == *class);
            let free = |(at, place): (usize, &ClassSlot)| {
                let rested =
                    place.idle.is_some_and(|since| now.saturating_duration_since(since) >= SLOT_REUSE_DELAY);
                (rested && !held(ClassId(at))).then_some(at)
            };
            let to = match same {
                Some(to) => {
                    next.places[to].idle = None;
                    continue;
                }
                None => next.places.iter().enumerate().find_map(free).unwrap_or(next.places.len()),
            };
            let place = ClassSlot { name: name.to_owned(), class: class.clone(), idle: None };
            if to < next.places.len() {
                next.places[to] = place;
            } else {
                next.places.push(place);
            }
            heirs.extend(before.get(name).map(|from| (ClassId(*from), ClassId(to))));
        }
        if next.places.len() > MAX_CLASS_SLOTS {
            return Err(ApplySettingsError::TooManyClassDefinitions);
        }
        // A tenant keeps its number and its name; one that is dropped has no share: whatever it still sends is beyond it.
        next.shares.iter_mut().for_each(|tenant| tenant.share = 0.0);
        for (at, tenant) in named.settings.tenants.iter().enumerate() {
            let number = next.tenants.intern(named.tenants.name(at));
            if number == next.shares.len() {
                next.shares.push(tenant.clone());
            }
            next.shares[number] = tenant.clone();
        }
        let settings = Settings {
            classes: next.places.iter().map(|place| place.class.clone()).collect(),
            tenants: next.shares.clone(),
            ..named.settings.clone()
        };
        let names = next.accepted_names(now);
        let open = (0..next.places.len()).filter(|at| next.places[*at].idle.is_none()).map(ClassId).collect();
        *self = next;
        Ok(SettingsChange { settings, names, open, heirs })
    }

    fn accepted_names(&mut self, now: Instant) -> AcceptedNames {
        let mut classes: HashMap<String, Vec<ClassBinding>> = HashMap::new();
        for (at, place) in self.places.iter().enumerate() {
            let until = place.idle.map(|since| since + FORMER_BINDING_PERIOD);
            let term = ClassBinding { class: ClassId(at), effect: place.class.repeat_effect, until };
            let terms = classes.entry(place.name.clone()).or_default();
            match until {
                None => terms.insert(0, term),
                Some(until) if now < until => terms.push(term),
                Some(_) => {}
            }
        }
        AcceptedNames { classes, tenants: self.tenants.clone() }
    }
}
