//! The way to the balancer for the other actors, and a client that waits there.

use std::cell::Cell;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use mosshead_decide::interface::*;
use mosshead_decide::{Balancer, RecoveryBlocker, RecoveryStage};
use mosshead_settings::NamedSettings;
use mosshead_snapshot::server_list::ServerList;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;

use super::BalancerActor;
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

/// The way to the balancer.
#[derive(Clone)]
pub struct BalancerHandle {
    pub(super) mailbox: UnboundedSender<Message>,
    pub(super) requests: Rc<Cell<u64>>,
    pub(super) lifecycle: Arc<Lifecycle>,
}

impl BalancerHandle {
    /// The balancer and its actor, which already knows the saved list.
    pub fn new(
        config: &Config,
        budget: DescriptorBudget,
        list: EndpointList,
        lifecycle: Arc<Lifecycle>,
        stored: Option<StoredState>,
    ) -> Result<(Self, AcceptedNames, impl Future<Output = ()> + use<>), SettingsError> {
        let (class_table, names) = ClassTable::new(&config.named);
        let (mailbox, messages) = unbounded_channel();
        let handle = Self { mailbox, requests: Rc::default(), lifecycle };
        let balancer = Balancer::new(config.named.settings.clone(), config.seed)?;
        let deadlines = config.named.settings.classes.iter().map(|class| class.deadline);
        let longest = deadlines.fold(0.0, f64::max);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut actor = BalancerActor {
            balancer,
            limits: config.named.settings.limits.clone(),
            membership: config.named.settings.membership,
            start: Instant::now(),
            start_unix_ms: unix.as_millis() as f64,
            handle: handle.clone(),
            budget,
            list,
            server_numbers: HashMap::new(),
            free_numbers: Vec::new(),
            zones: config.named.zones.clone(),
            kinds: config.named.kinds.clone(),
            servers: Vec::new(),
            class_table,
            version: config.known.version,
            requests: BTreeMap::new(),
            ids: RequestIds::new(duration(longest)),
            schedule: BinaryHeap::new(),
            order: 0,
            events: VecDeque::new(),
            suspension: None,
            stored,
            recovery: (RecoveryStage::NoServers, RecoveryBlocker::Servers),
        };
        let known = config.known.clone();
        let run = async move {
            let entries = actor.apply_list(known.servers, true);
            if !entries.is_empty() {
                actor.handle.lifecycle.set_ready();
            }
            actor.dispatch_event(Event::ListUpdated(ListUpdate::Saved(entries)));
            actor.restore_learned();
            actor.watch_list();
            actor.run(messages).await;
        };
        Ok((handle, names, run))
    }

    /// Takes a request on; the final answer comes of the returned future. Dropping that withdraws the request.
    pub fn submit(&self, client_request: ClientRequest) -> PendingResponse {
        let id = RequestId(self.requests.get());
        self.requests.set(id.0 + 1);
        let (reply, response) = oneshot::channel();
        self.send(Message::Request(id, client_request, reply));
        PendingResponse { request_id: id, response, answered: false, handle: self.clone() }
    }

    /// Takes other settings up, all or none; gives what clients may name from now on.
    pub async fn apply_settings(&self, named: NamedSettings) -> Result<AcceptedNames, ApplySettingsError> {
        let (reply, names) = oneshot::channel();
        self.send(Message::ApplySettings(Box::new(named), reply));
        names.await.unwrap_or(Err(ApplySettingsError::BalancerStopped))
    }

    /// The endpoint list as it is known now.
    pub async fn current_list(&self) -> Option<ServerList> {
        let (asked, listing) = oneshot::channel();
        self.send(Message::GetList(asked));
        listing.await.ok()
    }

    /// Where the other actors post what they have for the balancer.
    pub fn mailbox(&self) -> UnboundedSender<Message> {
        self.mailbox.clone()
    }

    pub(super) fn send(&self, message: Message) {
        // Only a proxy that is about to exit has no balancer.
        let _ = self.mailbox.send(message);
    }
}

/// A client that waits for the answer to its request.
pub struct PendingResponse {
    request_id: RequestId,
    response: oneshot::Receiver<FinalResponse>,
    answered: bool,
    handle: BalancerHandle,
}

impl Future for PendingResponse {
    type Output = FinalResponse;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<FinalResponse> {
        let response = std::task::ready!(Pin::new(&mut self.response).poll(cx));
        self.answered = true;
        Poll::Ready(response.unwrap_or(FinalResponse::Failed))
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        if !self.answered {
            self.handle.send(Message::Withdrawn(self.request_id));
        }
    }
}
