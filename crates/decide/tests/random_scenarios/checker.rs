//! What must hold of every action, checked against the events that the balancer was told.

use std::collections::BTreeMap;

use mosshead_decide::interface::*;

/// An attempt whose outcome the balancer has not been told yet.
pub(crate) struct InFlight {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptNumber,
    pub(crate) endpoint: EndpointId,
    pub(crate) sent_at: Seconds,
}

/// A request without a final answer.
pub(crate) struct PendingRequest {
    class: ClassId,
    pub(crate) deadline: Seconds,
    attempts: Vec<(EndpointId, Seconds, Option<Outcome>)>,
}

/// Follows the events, and checks the actions.
pub(crate) struct Checker {
    scale: f64,
    pub(crate) settings: Settings,
    pub(crate) open: BTreeMap<RequestId, PendingRequest>,
    done: BTreeMap<RequestId, ()>,
    ready: BTreeMap<EndpointId, ListEntry>,
    pub(crate) listed: BTreeMap<EndpointId, ListEntry>,
    pub(crate) next_request: u64,
    /// For each server: when it last started, and the attempts sent in its first two seconds.
    starts: BTreeMap<EndpointId, (Seconds, u64)>,
}

impl Checker {
    fn never_ran(&self, outcome: Option<Outcome>) -> bool {
        outcome.is_some_and(|outcome| self.settings.rules.never_ran(outcome))
    }

    pub(crate) fn new(settings: Settings, scale: f64) -> Self {
        Checker {
            scale,
            settings,
            open: BTreeMap::new(),
            done: BTreeMap::new(),
            ready: BTreeMap::new(),
            listed: BTreeMap::new(),
            next_request: 0,
            starts: BTreeMap::new(),
        }
    }

    /// Follows what the balancer is told.
    pub(crate) fn on_event(&mut self, now: Seconds, event: &Event) {
        match event {
            Event::ListUpdated(ListUpdate::Saved(entries) | ListUpdate::Changes(entries)) => {
                entries.iter().for_each(|entry| self.update_entry(now, entry));
            }
            Event::RequestReceived(request) => {
                let deadline = now + request.time_left;
                let pending = PendingRequest { class: request.class, deadline, attempts: Vec::new() };
                self.open.insert(request.id, pending);
            }
            Event::AttemptEnded { request: id, attempt, outcome, settled, .. } => {
                if let Some(request) = self.open.get_mut(id) {
                    request.attempts[attempt.0 as usize].2 = Some(*outcome);
                    if *settled {
                        self.open.remove(id);
                        self.done.insert(*id, ());
                    }
                }
            }
            Event::RequestWithdrawn { request } => {
                self.open.remove(request);
                self.done.insert(*request, ());
            }
            _ => {}
        }
    }

    fn update_entry(&mut self, now: Seconds, entry: &ListEntry) {
        self.listed.insert(entry.endpoint, entry.clone());
        self.starts.remove(&entry.endpoint);
        if let Some(started) = entry.started_at.filter(|started| *started == now) {
            self.starts.insert(entry.endpoint, (started, 0));
        }
        self.ready.remove(&entry.endpoint);
        if entry.readiness == Readiness::Ready {
            self.ready.insert(entry.endpoint, entry.clone());
        }
    }

    /// Checks an action against the guarantees.
    pub(crate) fn on_action(&mut self, now: Seconds, action: Action, in_flight: &mut Vec<InFlight>) {
        match action {
            Action::Send { request: id, endpoint, deadline } => {
                self.check_send(now, id, endpoint, deadline);
                let request = self.open.get_mut(&id).expect("an open request");
                let attempt = AttemptNumber(request.attempts.len() as u32);
                in_flight.push(InFlight { request: id, attempt, endpoint, sent_at: now });
                request.attempts.push((endpoint, now, None));
            }
            Action::Reject { request: id, retry_after } => {
                assert!((0.0..=0.2 * self.scale).contains(&retry_after));
                let request = self.open.remove(&id).expect("one final answer");
                let may_have_run = request.attempts.iter().any(|attempt| !self.never_ran(attempt.2));
                let effect = self.settings.classes[request.class.0].repeat_effect;
                let harmless =
                    matches!(effect, RepeatEffect::Safe | RepeatEffect::Keyed { scope: DedupScope::All, .. });
                assert!(!may_have_run || harmless, "rejected what may have run");
                self.done.insert(id, ());
            }
            Action::Fail { request: id } => {
                assert!(self.open.remove(&id).is_some(), "one final answer");
                self.done.insert(id, ());
            }
            Action::Cancel { .. } => assert!(self.settings.limits.can_cancel),
            Action::Probe { .. } => assert!(self.settings.limits.can_probe),
            Action::WatchList => assert_eq!(self.settings.membership, Membership::Pull),
            Action::CloseIdleConnections { endpoint } => assert!(self.listed.contains_key(&endpoint)),
            Action::SetTimer { delay, .. } => assert!(delay >= 0.0),
        }
    }

    fn check_send(&mut self, now: Seconds, id: RequestId, endpoint: EndpointId, deadline: Seconds) {
        assert!(!self.done.contains_key(&id), "sent after the final answer");
        let request = self.open.get(&id).expect("an open request");
        let class = &self.settings.classes[request.class.0];
        let target = self.ready.get(&endpoint).expect("a ready server");
        assert!(deadline <= request.deadline + 1e-6 && now < request.deadline);
        assert!((request.attempts.len() as u32) < self.settings.limits.max_attempts);
        let other_attempts = request.attempts.iter().filter(|attempt| attempt.2.is_none()).count();
        assert!(other_attempts == 0 || self.settings.limits.can_hedge);
        assert!(class.machine_kinds.as_ref().is_none_or(|kinds| kinds.contains(&target.kind)), "kind");
        assert!(class.zones.as_ref().is_none_or(|zones| zones.contains(&target.zone)), "zone");
        let ran = request.attempts.iter().find(|attempt| !self.never_ran(attempt.2));
        if let Some((first, sent, _)) = ran {
            let first = &self.listed[first];
            match class.repeat_effect {
                RepeatEffect::Safe => {}
                RepeatEffect::Unsafe => panic!("an unsafe request that may have run was sent again"),
                RepeatEffect::Keyed { scope, window } => {
                    assert!(now < sent + window, "past the window");
                    match scope {
                        DedupScope::All => {}
                        DedupScope::Zone => assert_eq!(first.zone, target.zone),
                        DedupScope::Group => assert_eq!(first.group, target.group),
                    }
                }
            }
        }
        if let Some((started, sent)) = self.starts.get_mut(&endpoint)
            && now < *started + 2.0 * self.scale
        {
            *sent += 1;
            // A hundred mean requests a second x 0.8 x a quarter x two seconds; cheap ones may be more.
            assert!(*sent <= 60, "{sent} to a server in slow start since {started}");
        }
    }
}
