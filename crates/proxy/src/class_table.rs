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
const FORMER_BINDING_PERIOD: Duration = Duration::from_millis(1000);
/// A place that no name points to is used again after this: whoever read it before has sent its request by then.
const SLOT_REUSE_DELAY: Duration = Duration::from_secs(60);
/// More places than this within that time are too many changes.
pub(crate) const MAX_CLASS_SLOTS: usize = 1024;

/// What a name stands for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ClassBinding {
    pub(crate) class: ClassId,
    pub(crate) effect: RepeatEffect,
    until: Option<Instant>,
}

/// What clients may name at present.
#[derive(Debug)]
pub(crate) struct AcceptedNames {
    classes: HashMap<String, Vec<ClassBinding>>,
    tenants: NameTable,
}

impl AcceptedNames {
    /// What a class's name stands for now, its present terms first.
    pub(crate) fn class(&self, name: &str, now: Instant) -> impl Iterator<Item = &ClassBinding> {
        let terms = self.classes.get(name).map(Vec::as_slice).unwrap_or_default();
        terms.iter().filter(move |term| term.until.is_none_or(|until| now < until))
    }

    pub(crate) fn tenant(&self, name: &str) -> Option<TenantId> {
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
pub(crate) struct ClassTable {
    places: Vec<ClassSlot>,
    tenants: NameTable,
    shares: Vec<Tenant>,
}

/// A change, whole: nothing of it is in force before the balancer takes it.
pub(crate) struct SettingsChange {
    pub(crate) settings: Settings,
    pub(crate) names: AcceptedNames,
    /// The places that names point to.
    pub(crate) open: Vec<ClassId>,
    /// What is learnt at the first of two places goes for the second.
    pub(crate) heirs: Vec<(ClassId, ClassId)>,
}

impl ClassTable {
    /// The table as the balancer starts with it: in the order of the settings.
    /// The names of all classes, by their numbers.
    pub(crate) fn names(&self) -> Vec<&str> {
        self.places.iter().map(|place| place.name.as_str()).collect()
    }

    pub(crate) fn new(named: &NamedSettings) -> (Self, AcceptedNames) {
        let names = (0..named.settings.classes.len()).map(|at| named.classes.name(at).to_owned());
        let classes = named.settings.classes.iter().cloned();
        let places = names.zip(classes).map(|(name, class)| ClassSlot { name, class, idle: None }).collect();
        let (tenants, shares) = (named.tenants.clone(), named.settings.tenants.clone());
        let mut class_table = Self { places, tenants, shares };
        let names = class_table.accepted_names(Instant::now());
        (class_table, names)
    }

    /// Takes other settings up. `held` says whether a job holds a place; zones and kinds are numbered as in `named`.
    pub(crate) fn change(
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

#[cfg(test)]
mod tests {
    use super::*;
    use mosshead_settings::{JsonField, parse_json, read_settings};

    fn named(classes: &[(&str, &str, f64)]) -> NamedSettings {
        let classes = classes.iter().map(|(name, effect, deadline)| {
            format!(
                r#"{{"name":"{name}","target_s":0.5,"deadline_s":{deadline},"gain":1,"effect":"{effect}"}}"#
            )
        });
        let text = format!(
            r#"{{"classes":[{}],"limits":{{"may_cancel":true,"probes":true,"second_copies":true,"send_cap":4,
            "connect_timeout_s":5}},"membership_mode":"ask","tick_s":0.005,"reporting":{{"how":"silent"}},
            "weights":"silent","zone":"z","zones":["z"],"rules":{{"ask_within_s":10,"cold_from":0.35,
            "fall_multiple":3,"fall_s":3,"warm_up_s":8}}}}"#,
            classes.collect::<Vec<_>>().join(",")
        );
        read_settings(&JsonField::root(&parse_json(&text).expect("JSON"))).expect("settings")
    }

    fn now_named(terms: &AcceptedNames, name: &str, at: Instant) -> Vec<usize> {
        terms.class(name, at).map(|term| term.class.0).collect()
    }

    /// Guards open requests: a definition that changes moves to another place, and its name with it.
    #[test]
    fn a_definition_never_changes_in_its_place() {
        let (mut tuning, terms) = ClassTable::new(&named(&[("a", "free", 1.0), ("b", "free", 1.0)]));
        let now = Instant::now();
        assert_eq!(now_named(&terms, "a", now), [0]);
        let other = named(&[("a", "single_shot", 1.0), ("c", "free", 1.0)]);
        let change = tuning.change(&other, |_| true, now).expect("a change");
        assert_eq!(change.settings.classes[0].repeat_effect, RepeatEffect::Safe);
        assert_eq!(
            (change.open.as_slice(), change.heirs.as_slice()),
            ([ClassId(2), ClassId(3)].as_slice(), [(ClassId(0), ClassId(2))].as_slice())
        );
        let later = now + FORMER_BINDING_PERIOD;
        assert_eq!(now_named(&change.names, "a", now), [2, 0]);
        assert_eq!(
            (now_named(&change.names, "a", later), now_named(&change.names, "b", now)),
            (vec![2], vec![1])
        );
        assert!(
            now_named(&change.names, "b", later).is_empty() && now_named(&change.names, "x", now).is_empty()
        );
        // And back: the places are still there.
        let back = named(&[("a", "free", 1.0), ("b", "free", 1.0)]);
        let change = tuning.change(&back, |_| true, later).expect("a change");
        assert_eq!((change.open, change.settings.classes.len()), (vec![ClassId(0), ClassId(1)], 4));
    }

    /// Guards the memory: places that nobody needs are used again, and those that requests hold are not.
    #[test]
    fn places_are_used_again_once_nobody_holds_them() {
        let (mut tuning, _) = ClassTable::new(&named(&[("a", "free", 1.0)]));
        let mut now = Instant::now();
        for turn in 0..100 {
            now += SLOT_REUSE_DELAY;
            let other = named(&[("a", "free", 2.0 + f64::from(turn))]);
            let change = tuning.change(&other, |class| class.0 == 0, now).expect("a change");
            assert!(change.settings.classes.len() <= 3 && change.settings.classes[0].deadline == 1.0);
        }
        let mut flood = (0..2 * MAX_CLASS_SLOTS).map(|turn| {
            tuning.change(&named(&[("a", "free", 500.0 + turn as f64)]), |_| false, now).is_err()
        });
        assert!(flood.any(|refused| refused));
    }

    /// Whatever came between, the last settings stand as they would alone.
    #[test]
    fn any_order_ends_as_the_last_one_alone() {
        let all = [
            named(&[("a", "free", 1.0), ("b", "single_shot", 2.0)]),
            named(&[("b", "free", 2.0)]),
            named(&[("c", "free", 3.0), ("a", "guarded", 1.0)]),
            named(&[("a", "free", 4.0), ("b", "single_shot", 2.0), ("c", "free", 3.0)]),
        ];
        for order in 0..4_usize.pow(4) {
            let (mut tuning, _) = ClassTable::new(&all[0]);
            let now = Instant::now();
            let mut last = None;
            for step in 0..4 {
                let which = order / 4_usize.pow(step) % 4;
                last = Some((which, tuning.change(&all[which], |_| true, now).expect("a change")));
            }
            let Some((which, change)) = last else { continue };
            let mut open: Vec<_> = change.open.iter().map(|at| &change.settings.classes[at.0]).collect();
            for (at, class) in all[which].settings.classes.iter().enumerate() {
                let named =
                    now_named(&change.names, all[which].classes.name(at), now + FORMER_BINDING_PERIOD);
                assert_eq!(named.len(), 1);
                assert_eq!(&change.settings.classes[named[0]], class);
                open.retain(|held| *held != class);
            }
            assert!(open.is_empty());
        }
    }
}
