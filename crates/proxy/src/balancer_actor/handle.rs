//! The handle through which other actors reach the balancer, and the future of a client's response.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use mosshead_decide::interface::*;
use mosshead_decide::{Balancer, RecoveryStatus};
use mosshead_settings::NamedSettings;
use mosshead_snapshot::server_list::ServerList;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;

use super::BalancerActor;
use super::schedule::{Schedule, SuspensionDetector};
use crate::budget::DescriptorBudget;
use crate::class_table::{AcceptedNames, ClassTable};
use crate::config::Config;
use crate::duration;
use crate::endpoint_list::EndpointList;
use crate::errors::ApplySettingsError;
use crate::lifecycle::Lifecycle;
use crate::messages::{ClientRequest, FinalResponse, Message};
use crate::request_ids::RequestIds;
use crate::stored_state::StoredState;

/// Sends messages to the balancer's actor.
#[derive(Clone)]
pub(crate) struct BalancerHandle {
    pub(super) mailbox: UnboundedSender<Message>,
    /// The number of the next request.
    next_request: Rc<Cell<u64>>,
    pub(super) lifecycle: Arc<Lifecycle>,
}

impl BalancerHandle {
    /// Returns a handle, the names that clients may use, and the actor, which the caller has to run. The actor starts
    /// with the list in `config`.
    ///
    /// # Errors
    /// The settings are not valid.
    pub(crate) fn new(
        config: &Config,
        budget: DescriptorBudget,
        list: EndpointList,
        lifecycle: Arc<Lifecycle>,
        stored_state: Option<StoredState>,
    ) -> Result<(Self, AcceptedNames, impl Future<Output = ()> + use<>), SettingsError> {
        let (mailbox, messages) = unbounded_channel();
        let handle = Self { mailbox, next_request: Rc::default(), lifecycle };
        let (mut actor, names) = BalancerActor::new(config, budget, list, handle.clone(), stored_state)?;
        let known = config.known.clone();
        let run = async move {
            actor.start_with(known);
            actor.run(messages).await;
        };
        Ok((handle, names, run))
    }

    /// Submits a request. The returned future resolves to the final response; dropping it withdraws the request.
    pub(crate) fn submit(&self, request: ClientRequest) -> PendingResponse {
        let id = RequestId(self.next_request.get());
        self.next_request.set(id.0 + 1);
        let (reply, response) = oneshot::channel();
        self.send(Message::Request { id, request, reply });
        PendingResponse { request_id: id, response, has_response: false, handle: self.clone() }
    }

    /// Applies new settings, all or none, and returns the names that clients may use from now on.
    ///
    /// # Errors
    /// The settings are not valid or have changed too often, or the actor has ended.
    pub(crate) async fn apply_settings(
        &self,
        settings: NamedSettings,
    ) -> Result<AcceptedNames, ApplySettingsError> {
        let (reply, names) = oneshot::channel();
        self.send(Message::ApplySettings { settings: Box::new(settings), reply });
        names.await.unwrap_or(Err(ApplySettingsError::BalancerStopped))
    }

    /// The current endpoint list; none if the actor has ended.
    pub(crate) async fn current_list(&self) -> Option<ServerList> {
        let (reply, list) = oneshot::channel();
        self.send(Message::GetList(reply));
        list.await.ok()
    }

    /// The mailbox, for the other actors.
    pub(crate) fn mailbox(&self) -> UnboundedSender<Message> {
        self.mailbox.clone()
    }

    fn send(&self, message: Message) {
        // The balancer is gone only when the process is about to exit.
        let _ = self.mailbox.send(message);
    }
}

impl BalancerActor {
    fn new(
        config: &Config,
        budget: DescriptorBudget,
        list: EndpointList,
        handle: BalancerHandle,
        stored_state: Option<StoredState>,
    ) -> Result<(Self, AcceptedNames), SettingsError> {
        let settings = &config.named.settings;
        let (class_table, names) = ClassTable::new(&config.named);
        let longest_deadline = settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let actor = Self {
            balancer: Balancer::new(settings.clone(), config.seed)?,
            limits: settings.limits.clone(),
            membership: settings.membership,
            start: Instant::now(),
            start_unix_ms: since_epoch.as_millis() as f64,
            handle,
            budget,
            list,
            list_version: config.known.version,
            servers: Vec::new(),
            server_indices: HashMap::new(),
            free_indices: Vec::new(),
            zones: config.named.zones.clone(),
            kinds: config.named.kinds.clone(),
            class_table,
            requests: BTreeMap::new(),
            ids: RequestIds::new(duration(longest_deadline)),
            schedule: Schedule::default(),
            pending_events: VecDeque::new(),
            suspension: SuspensionDetector::default(),
            stored_state,
            recovery: RecoveryStatus::AT_START,
        };
        Ok((actor, names))
    }

    /// Starts with a saved list and with the state that a previous incarnation stored.
    fn start_with(&mut self, known: ServerList) {
        let entries = self.apply_list(ServerList { is_complete: true, ..known });
        if !entries.is_empty() {
            self.handle.lifecycle.set_ready();
        }
        self.dispatch_event(Event::ListUpdated(ListUpdate::Saved(entries)));
        self.restore_learned();
        self.watch_pushed_list();
    }
}

/// Resolves to the final response to a request. Dropping it earlier withdraws the request.
pub(crate) struct PendingResponse {
    request_id: RequestId,
    response: oneshot::Receiver<FinalResponse>,
    has_response: bool,
    handle: BalancerHandle,
}

impl Future for PendingResponse {
    type Output = FinalResponse;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<FinalResponse> {
        let response = std::task::ready!(Pin::new(&mut self.response).poll(cx));
        self.has_response = true;
        Poll::Ready(response.unwrap_or(FinalResponse::Failed))
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        if !self.has_response {
            self.handle.send(Message::Withdrawn(self.request_id));
        }
    }
}
