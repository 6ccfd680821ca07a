//! Random edits of a configuration, and the bodies of `Configuration.Modify` for them.

use quickcheck::{Arbitrary, Gen};

use crate::common::{Items, choose, join_texts};
use crate::model::{ROUTES, SERVICES, forwards_to, route, service, service_name};

/// The number of routes that [`Edit::RemoveManyRoutes`] removes: more than a chunk holds.
const MANY_ROUTES: usize = 90;

/// One edit within a change.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Edit {
    UpsertRoute { route: usize, timeout_ms: u64, service: usize },
    SwapMatches { one: usize, other: usize },
    TakeMatch { of: usize, by: usize },
    RemoveRoute { route: usize },
    RemoveManyRoutes { from: usize },
    UpsertService { service: usize, connections: u64 },
    RemoveService { service: usize },
    ZeroTimeout { route: usize },
    ZeroWeight { route: usize },
    UnknownService { route: usize },
}

impl Edit {
    /// True if the edit makes a single item invalid. A full parse reports that at another location, so that only the
    /// codes of the errors can be compared.
    pub(crate) fn is_invalid_item(self) -> bool {
        matches!(self, Edit::ZeroTimeout { .. } | Edit::ZeroWeight { .. })
    }
}

impl Arbitrary for Edit {
    fn arbitrary(g: &mut Gen) -> Self {
        let below = |g: &mut Gen, end: usize| usize::arbitrary(g) % end;
        let (route, other, service) = (below(g, ROUTES), below(g, ROUTES), below(g, SERVICES));
        match below(g, 60) {
            0..30 => Edit::UpsertRoute { route, timeout_ms: 1 + u64::from(u8::arbitrary(g)), service },
            30..35 => Edit::SwapMatches { one: route, other },
            35..37 => Edit::TakeMatch { of: route, by: other },
            37..46 => Edit::RemoveRoute { route },
            46..49 => Edit::RemoveManyRoutes { from: route },
            49..52 => Edit::UpsertService { service, connections: 1 + u64::from(u8::arbitrary(g)) },
            52..55 => Edit::RemoveService { service },
            55 => Edit::ZeroTimeout { route },
            56 => Edit::ZeroWeight { route },
            _ => Edit::UnknownService { route },
        }
    }
}

/// The number of routes at the start, and a sequence of changes, each of several edits.
#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub(crate) initial_routes: usize,
    pub(crate) changes: Vec<Vec<Edit>>,
}

impl Arbitrary for Scenario {
    fn arbitrary(g: &mut Gen) -> Self {
        let change = |g: &mut Gen| {
            let mut edits: Vec<Edit> =
                (0..choose(g, &[1, 1, 1, 2, 3, 8, 60])).map(|_| Edit::arbitrary(g)).collect();
            // If two items are invalid, the one parsed first is reported, and changes and full texts are parsed in
            // different orders.
            let mut has_invalid_item = false;
            edits.retain(|edit| !edit.is_invalid_item() || !std::mem::replace(&mut has_invalid_item, true));
            edits
        };
        Scenario {
            initial_routes: choose(g, &[0, 1, 20, 70, 130, 200]),
            changes: (0..choose(g, &[1, 3, 10, 25])).map(|_| change(g)).collect(),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let initial_routes = self.initial_routes;
        Box::new(self.changes.shrink().map(move |changes| Scenario { initial_routes, changes }))
    }
}

/// The body of `Configuration.Modify` as lists of items.
#[derive(Default)]
pub(crate) struct Change {
    pub(crate) routes: Items,
    pub(crate) services: Items,
    pub(crate) withdrawn_routes: Vec<String>,
    pub(crate) withdrawn_services: Vec<String>,
}

impl Change {
    pub(crate) fn new(edits: &[Edit]) -> Self {
        let mut change = Change::default();
        for edit in edits {
            change.add(*edit);
        }
        change
    }

    fn add(&mut self, edit: Edit) {
        match edit {
            Edit::UpsertRoute { route: number, timeout_ms, service } => {
                self.upsert_route(route(number, number, timeout_ms, &forwards_to(&service_name(service))));
            }
            Edit::SwapMatches { one, other } => {
                self.upsert_route(route(one, other, 9, &forwards_to("s0")));
                self.upsert_route(route(other, one, 9, &forwards_to("s0")));
            }
            Edit::TakeMatch { of, by } => self.upsert_route(route(by, of, 9, &forwards_to("s0"))),
            Edit::RemoveRoute { route } => self.withdraw_routes(route..route + 1),
            Edit::RemoveManyRoutes { from } => self.withdraw_routes(from..from + MANY_ROUTES),
            Edit::UpsertService { service: number, connections } => {
                let new = service(number, connections);
                if self.services.iter().all(|(name, _)| *name != new.0) {
                    self.services.push(new);
                }
            }
            Edit::RemoveService { service } => self.withdrawn_services.push(service_name(service)),
            Edit::ZeroTimeout { route: number } => {
                self.upsert_route(route(number, number, 0, &forwards_to("s0")));
            }
            Edit::ZeroWeight { route: number } => {
                let weights = "\"weighted_backends\":[{\"backend_service\":\"s0\",\"weight\":0}]";
                self.upsert_route(route(number, number, 9, weights));
            }
            Edit::UnknownService { route: number } => {
                self.upsert_route(route(number, number, 9, &forwards_to("unknown")));
            }
        }
    }

    /// Adds a route unless the change already has one with its name.
    fn upsert_route(&mut self, route: (String, String)) {
        if self.routes.iter().all(|(name, _)| *name != route.0) {
            self.routes.push(route);
        }
    }

    fn withdraw_routes(&mut self, numbers: std::ops::Range<usize>) {
        self.withdrawn_routes.extend(numbers.map(|number| route(number, 0, 1, "").0));
    }

    pub(crate) fn text(&self, revision: u64) -> String {
        format!(
            "{{\"revision\":{revision},\"upsert\":{{\"route_entries\":[{}],\"backend_services\":[{}]}},\
             \"withdraw\":{{\"route_entries\":{:?},\"backend_services\":{:?}}}}}",
            join_texts(&self.routes),
            join_texts(&self.services),
            self.withdrawn_routes,
            self.withdrawn_services,
        )
    }
}
