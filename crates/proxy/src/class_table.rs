//! Maps class names to slots in the balancer's class table across changes of the settings. No I/O.
//!
//! A request is judged by the definition that its class had at its arrival. So a definition never changes in its slot:
//! a class that is redefined gets another slot.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use mosshead_decide::NameTable;
use mosshead_decide::interface::*;
use mosshead_settings::NamedSettings;

use crate::errors::ApplySettingsError;

/// How long a name keeps its previous meaning after a change, since clients learn of the change a moment later.
pub const FORMER_BINDING_PERIOD: Duration = Duration::from_millis(1000);
/// A slot without a name is reused after this delay. By then, requests that were read under its name have reached the
/// balancer.
pub const SLOT_REUSE_DELAY: Duration = Duration::from_secs(60);
/// The maximum number of slots. It is exceeded only if the settings change too often.
pub const MAX_CLASS_SLOTS: usize = 1024;

/// What a name refers to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassBinding {
    pub class: ClassId,
    pub effect: RepeatEffect,
    /// When this meaning of the name expires; none if it is the current one.
    until: Option<Instant>,
}

/// The names that clients may use.
#[derive(Debug)]
pub struct AcceptedNames {
    /// The current meaning of a name comes first.
    classes: HashMap<String, Vec<ClassBinding>>,
    tenants: NameTable,
}

impl AcceptedNames {
    /// The meanings of a class name at `now`, the current one first.
    pub fn class(&self, name: &str, now: Instant) -> impl Iterator<Item = &ClassBinding> {
        let bindings = self.classes.get(name).map(Vec::as_slice).unwrap_or_default();
        bindings.iter().filter(move |binding| binding.until.is_none_or(|until| now < until))
    }

    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.find_number(name).map(TenantId)
    }
}

/// One slot of the table.
#[derive(Clone, Debug)]
struct ClassSlot {
    name: String,
    class: Class,
    /// Since when the slot has no name; none if it has one.
    unbound_since: Option<Instant>,
}

/// The classes, in the order of the balancer's numbers, and the tenants.
#[derive(Clone, Debug)]
pub struct ClassTable {
    slots: Vec<ClassSlot>,
    tenant_names: NameTable,
    tenants: Vec<Tenant>,
}

/// A change of the settings. It takes effect only once the balancer has accepted it.
pub struct SettingsChange {
    pub settings: Settings,
    pub names: AcceptedNames,
    /// The classes that have a name.
    pub active_classes: Vec<ClassId>,
    pub redefinitions: Vec<ClassRedefinition>,
}

impl ClassTable {
    /// The initial table, in the order of the settings.
    pub fn new(settings: &NamedSettings) -> (Self, AcceptedNames) {
        let classes = settings.settings.classes.iter().cloned().enumerate();
        let slots = classes.map(|(index, class)| {
            let name = settings.classes.name(index).to_owned();
            ClassSlot { name, class, unbound_since: None }
        });
        let class_table = Self {
            slots: slots.collect(),
            tenant_names: settings.tenants.clone(),
            tenants: settings.settings.tenants.clone(),
        };
        let names = class_table.accepted_names(Instant::now());
        (class_table, names)
    }

    /// The names of all classes, by their numbers.
    pub fn names(&self) -> Vec<&str> {
        self.slots.iter().map(|slot| slot.name.as_str()).collect()
    }

    /// Builds the table for new settings. `is_in_use` returns true if a pending request has the class; zones and
    /// machine kinds are numbered as in `settings`.
    ///
    /// # Errors
    /// The settings have changed so often that no slot is left. The table then stays as it was.
    pub fn change(
        &mut self,
        settings: &NamedSettings,
        is_in_use: impl Fn(ClassId) -> bool,
        now: Instant,
    ) -> Result<SettingsChange, ApplySettingsError> {
        let mut next = self.clone();
        let redefinitions = next.redefine_classes(settings, is_in_use, now);
        if next.slots.len() > MAX_CLASS_SLOTS {
            return Err(ApplySettingsError::TooManyClassDefinitions);
        }
        next.redefine_tenants(settings);
        let (names, active_classes) = (next.accepted_names(now), next.active_classes());
        let settings = Settings {
            classes: next.slots.iter().map(|slot| slot.class.clone()).collect(),
            tenants: next.tenants.clone(),
            ..settings.settings.clone()
        };
        *self = next;
        Ok(SettingsChange { settings, names, active_classes, redefinitions })
    }

    /// Binds each name to the slot with its definition, or to another slot if it is redefined.
    fn redefine_classes(
        &mut self,
        settings: &NamedSettings,
        is_in_use: impl Fn(ClassId) -> bool,
        now: Instant,
    ) -> Vec<ClassRedefinition> {
        let bound = self.slots.iter().enumerate().filter(|(_, slot)| slot.unbound_since.is_none());
        let former_classes: HashMap<String, ClassId> =
            bound.map(|(index, slot)| (slot.name.clone(), ClassId(index))).collect();
        for slot in &mut self.slots {
            slot.unbound_since.get_or_insert(now);
        }
        let mut redefinitions = Vec::new();
        for (index, class) in settings.settings.classes.iter().enumerate() {
            let name = settings.classes.name(index);
            if let Some(same) = self.slots.iter_mut().find(|slot| slot.name == name && slot.class == *class) {
                same.unbound_since = None;
                continue;
            }
            let slot = ClassSlot { name: name.to_owned(), class: class.clone(), unbound_since: None };
            let new = self.store_class(slot, &is_in_use, now);
            let former = former_classes.get(name).copied();
            redefinitions.extend(former.map(|former| ClassRedefinition { former, new }));
        }
        redefinitions
    }

    /// Stores a class in a reusable slot, or in a new one.
    fn store_class(
        &mut self,
        class: ClassSlot,
        is_in_use: impl Fn(ClassId) -> bool,
        now: Instant,
    ) -> ClassId {
        let is_reusable = |(index, slot): (usize, &ClassSlot)| {
            let is_old = slot
                .unbound_since
                .is_some_and(|since| now.saturating_duration_since(since) >= SLOT_REUSE_DELAY);
            is_old && !is_in_use(ClassId(index))
        };
        let index = self.slots.iter().enumerate().position(is_reusable);
        match index {
            Some(index) => self.slots[index] = class,
            None => self.slots.push(class),
        }
        ClassId(index.unwrap_or(self.slots.len() - 1))
    }

    /// Sets the shares of the tenants. A tenant keeps its number and its name. A removed tenant has a share of 0, so
    /// all of its further requests exceed its share.
    fn redefine_tenants(&mut self, settings: &NamedSettings) {
        self.tenants.iter_mut().for_each(|tenant| tenant.share = 0.0);
        for (index, tenant) in settings.settings.tenants.iter().enumerate() {
            let number = self.tenant_names.intern(settings.tenants.name(index));
            if number == self.tenants.len() {
                self.tenants.push(tenant.clone());
            }
            self.tenants[number] = tenant.clone();
        }
    }

    /// The classes that have a name.
    fn active_classes(&self) -> Vec<ClassId> {
        let bound = self.slots.iter().enumerate().filter(|(_, slot)| slot.unbound_since.is_none());
        bound.map(|(index, _)| ClassId(index)).collect()
    }

    fn accepted_names(&self, now: Instant) -> AcceptedNames {
        let mut classes: HashMap<String, Vec<ClassBinding>> = HashMap::new();
        for (index, slot) in self.slots.iter().enumerate() {
            let until = slot.unbound_since.map(|since| since + FORMER_BINDING_PERIOD);
            let binding = ClassBinding { class: ClassId(index), effect: slot.class.repeat_effect, until };
            let bindings = classes.entry(slot.name.clone()).or_default();
            match until {
                None => bindings.insert(0, binding),
                Some(until) if now < until => bindings.push(binding),
                Some(_) => {}
            }
        }
        AcceptedNames { classes, tenants: self.tenant_names.clone() }
    }
}
