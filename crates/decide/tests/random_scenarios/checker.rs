//! Checks each action of the balancer against the guarantees, given the events before it.

use std::collections::{BTreeMap, BTreeSet};

use mosshead_decide::interface::*;

/// An attempt whose outcome has not been passed to the balancer.
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
    attempts: Vec<Attempt>,
}

struct Attempt {
    endpoint: EndpointId,
    sent_at: Seconds,
    /// `None` while it is in flight.
    outcome: Option<Outcome>,
}

/// A start of a server during the scenario.
struct ServerStart {
    started_at: Seconds,
    /// The number of attempts sent to it in its first two seconds of unscaled time.
    attempts: u64,
}

/// Tracks events and checks actions.
pub(crate) struct Checker {
    /// The factor by which all times are multiplied.
    scale: f64,
    pub(crate) settings: Settings,
    pub(crate) pending: BTreeMap<RequestId, PendingRequest>,
    ended: BTreeSet<RequestId>,
    ready: BTreeMap<EndpointId, ListEntry>,
    pub(crate) listed: BTreeMap<EndpointId, ListEntry>,
    pub(crate) next_request: u64,
    /// The servers that have started during the scenario and were not updated since.
    starts: BTreeMap<EndpointId, ServerStart>,
}

impl Checker {
    fn never_ran(&self, outcome: Option<Outcome>) -> bool {
        outcome.is_some_and(|outcome| self.settings.rules.never_ran(outcome))
    }

    pub(crate) fn new(settings: Settings, scale: f64) -> Self {
        Checker {
            scale,
            settings,
            pending: BTreeMap::new(),
            ended: BTreeSet::new(),
            ready: BTreeMap::new(),
            listed: BTreeMap::new(),
            next_request: 0,
            starts: BTreeMap::new(),
        }
    }

    /// Tracks an event that is passed to the balancer.
    pub(crate) fn on_event(&mut self, now: Seconds, event: &Event) {
        match event {
            Event::ListUpdated(ListUpdate::Saved(entries) | ListUpdate::Changes(entries)) => {
                entries.iter().for_each(|entry| self.update_entry(now, entry));
            }
            Event::RequestReceived(request) => {
                let deadline = now + request.time_left;
                let pending = PendingRequest { class: request.class, deadline, attempts: Vec::new() };
                self.pending.insert(request.id, pending);
            }
            Event::AttemptEnded { request: id, attempt, outcome, settled, .. } => {
                if let Some(request) = self.pending.get_mut(id) {
                    request.attempts[attempt.0 as usize].outcome = Some(*outcome);
                    if *settled {
                        self.pending.remove(id);
                        self.ended.insert(*id);
                    }
                }
            }
            Event::RequestWithdrawn { request } => {
                self.pending.remove(request);
                self.ended.insert(*request);
            }
            _ => {}
        }
    }

    fn update_entry(&mut self, now: Seconds, entry: &ListEntry) {
        self.listed.insert(entry.endpoint, entry.clone());
        self.starts.remove(&entry.endpoint);
        if let Some(started_at) = entry.started_at.filter(|started_at| *started_at == now) {
            self.starts.insert(entry.endpoint, ServerStart { started_at, attempts: 0 });
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
                let request = self.pending.get_mut(&id).expect("the request is pending");
                let attempt = AttemptNumber(request.attempts.len() as u32);
                in_flight.push(InFlight { request: id, attempt, endpoint, sent_at: now });
                request.attempts.push(Attempt { endpoint, sent_at: now, outcome: None });
            }
            Action::Reject { request: id, retry_after } => {
                assert!((0.0..=0.2 * self.scale).contains(&retry_after));
                let request = self.pending.remove(&id).expect("one final answer");
                let may_have_run = request.attempts.iter().any(|attempt| !self.never_ran(attempt.outcome));
                let effect = self.settings.classes[request.class.0].repeat_effect;
                let is_harmless =
                    matches!(effect, RepeatEffect::Safe | RepeatEffect::Keyed { scope: DedupScope::All, .. });
                assert!(!may_have_run || is_harmless, "a request that may have run was rejected");
                self.ended.insert(id);
            }
            Action::Fail { request: id } => {
                assert!(self.pending.remove(&id).is_some(), "one final answer");
                self.ended.insert(id);
            }
            Action::Cancel { .. } => assert!(self.settings.limits.can_cancel),
            Action::Probe { .. } => assert!(self.settings.limits.can_probe),
            Action::WatchList => assert_eq!(self.settings.membership, Membership::Pull),
            Action::CloseIdleConnections { endpoint } => assert!(self.listed.contains_key(&endpoint)),
            Action::SetTimer { delay, .. } => assert!(delay >= 0.0),
        }
    }

    fn check_send(&mut self, now: Seconds, id: RequestId, endpoint: EndpointId, deadline: Seconds) {
        assert!(!self.ended.contains(&id), "sent after the final answer");
        let request = self.pending.get(&id).expect("the request is pending");
        let class = &self.settings.classes[request.class.0];
        let target = self.ready.get(&endpoint).expect("the server is ready");
        assert!(deadline <= request.deadline + 1e-6 && now < request.deadline);
        assert!((request.attempts.len() as u32) < self.settings.limits.max_attempts);
        let other_attempts = request.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count();
        assert!(other_attempts == 0 || self.settings.limits.can_hedge);
        assert!(class.machine_kinds.as_ref().is_none_or(|kinds| kinds.contains(&target.kind)), "kind");
        assert!(class.zones.as_ref().is_none_or(|zones| zones.contains(&target.zone)), "zone");
        let possible_execution = request.attempts.iter().find(|attempt| !self.never_ran(attempt.outcome));
        if let Some(Attempt { endpoint: first, sent_at, .. }) = possible_execution {
            let first = &self.listed[first];
            match class.repeat_effect {
                RepeatEffect::Safe => {}
                RepeatEffect::Unsafe => panic!("an unsafe request that may have run was sent again"),
                RepeatEffect::Keyed { scope, window } => {
                    assert!(now < sent_at + window, "repeated after the window");
                    match scope {
                        DedupScope::All => {}
                        DedupScope::Zone => assert_eq!(first.zone, target.zone),
                        DedupScope::Group => assert_eq!(first.group, target.group),
                    }
                }
            }
        }
        if let Some(ServerStart { started_at, attempts }) = self.starts.get_mut(&endpoint)
            && now < *started_at + 2.0 * self.scale
        {
            *attempts += 1;
            // 100 mean requests per second x 0.8 x 1/4 x 2 s = 40; there may be more cheap ones.
            assert!(*attempts <= 60, "{attempts} attempts at a server in slow start since {started_at}");
        }
    }
}
