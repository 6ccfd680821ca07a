//! Dispatches events to the modules of the policy that handle them.

use super::balancer::{Balancer, WATCH_LIST_TOKEN};
use crate::interface::{Action, Event, Seconds, TimerToken};

impl Balancer {
    /// Handles one event and appends the resulting actions.
    pub(crate) fn handle_event(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::ListUpdated(update) => self.on_list_update(now, update, actions),
            Event::RequestReceived(request) => self.on_request(now, request, actions),
            Event::HeadReceived(request) => {
                let id = request.id;
                self.on_request(now, request, actions);
                if let Some(request) = self.state.request_mut(id) {
                    request.body_pending = true;
                }
            }
            Event::BodyReceived { request, time_left } => {
                if let Some(pending) = self.state.request_mut(request) {
                    pending.on_body_received(now, time_left);
                }
                if let Some(&token) = self.state.tokens.get(&request) {
                    self.on_timer(now, token, actions);
                }
            }
            Event::AttemptEnded { request, attempt, endpoint, outcome, rtt, settled, report } => {
                self.record_report(now, endpoint, report);
                let token = self.state.tokens.get(&request).copied();
                let attempt = token.map(|token| (token, attempt));
                self.on_attempt_ended(now, attempt, endpoint, outcome, rtt);
                match token {
                    Some(token) if settled => self.end_request(token, None, actions),
                    Some(token) => self.continue_request(now, token, outcome, actions),
                    None => {}
                }
            }
            Event::ResponseStarted { request, attempt } => {
                self.on_response_started(request, attempt, actions);
            }
            Event::ProbeEnded { endpoint, outcome, rtt, report } => {
                self.record_report(now, endpoint, report);
                self.on_probe_ended(now, endpoint, outcome, rtt, actions);
            }
            Event::RequestWithdrawn { request } => {
                if let Some(&token) = self.state.tokens.get(&request) {
                    self.end_request(token, None, actions);
                }
            }
            Event::TimerFired(TimerToken(WATCH_LIST_TOKEN)) => actions.push(Action::WatchList),
            Event::TimerFired(TimerToken(token)) => self.on_timer(now, token, actions),
        }
    }
}
