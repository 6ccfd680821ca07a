//! The client of discovery: it watches the endpoint list with one long-poll call after another.

use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::pin::pin;
use std::str::Utf8Error;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{Request, StatusCode};
use thiserror::Error;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{sleep_until, timeout};

use crate::body::OutboundConnection;
use crate::body::OutgoingBody;
use crate::connection_log::DISCOVERY;
use crate::log::{AdmittedLine, LogLimiter, log_event};
use crate::messages::Message;
use mosshead_http_links::{BodyError, CloseReason, read_body};
use mosshead_recovery::WatchReopening;
use mosshead_settings::{self as settings, JsonError, JsonField};
use mosshead_snapshot::server_list::{ServerList, read_server_list};

/// How long discovery may hold a watch open. Discovery counts an update as delivered 2 s after the end of that time, and
/// 6 s after the update in any case, so a call that discovery has lost must have ended by then.
const WATCH_TIMEOUT: Duration = Duration::from_millis(4000);
/// The timeout of a call, counted from the end of its wait.
const RESPONSE_GRACE: Duration = Duration::from_millis(1500);
/// The minimum interval after a call without an update. Otherwise a discovery that answers immediately would be called
/// in a tight loop.
pub const MIN_CALL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a list with a lower version than an earlier one is rejected as stale: discovery was then restored with old
/// state. If its lists stay older for longer than this they are accepted, since discovery has nothing newer.
pub const STALE_LIST_PERIOD: Duration = Duration::from_secs(30);
/// The delay before the next call after a stale list.
const STALE_LIST_RETRY_DELAY: Duration = Duration::from_millis(1000);
/// The maximum length of a list. A list of all servers is larger than other bodies.
const MAX_LIST_BYTES: usize = 1024 * 1024;

/// A message to the actor.
pub enum ListCommand {
    /// Start to watch, unless a watch is in progress.
    Watch,
    /// Discovery has moved to this address.
    Move(SocketAddr),
}

/// Sends commands to the actor.
#[derive(Clone)]
pub struct EndpointList(UnboundedSender<ListCommand>);

impl EndpointList {
    /// Creates the handle and the mailbox that [`run`] reads.
    pub fn new() -> (Self, UnboundedReceiver<ListCommand>) {
        let (mailbox, commands) = unbounded_channel();
        (Self(mailbox), commands)
    }

    /// Starts a watch, which continues until a call fails.
    pub fn watch(&self) {
        let _ = self.0.send(ListCommand::Watch);
    }

    /// Moves to another address and watches there.
    pub fn move_to(&self, discovery: SocketAddr) {
        let _ = self.0.send(ListCommand::Move(discovery));
    }
}

/// Runs the actor: on each command it watches until a call fails. It reports each list and each failure to `balancer`.
///
/// `version` is the version of the list from which discovery is to continue; none if the current list is not from
/// discovery.
pub async fn run(
    discovery: SocketAddr,
    version: Option<u64>,
    connect_timeout: Duration,
    commands: UnboundedReceiver<ListCommand>,
    balancer: UnboundedSender<Message>,
) {
    let connect_timeout = connect_timeout.min(RESPONSE_GRACE);
    let mut watcher = ListWatcher {
        client: DiscoveryClient { discovery, connect_timeout, connection: None },
        version,
        stale_list_filter: StaleListFilter::default(),
        reopening: WatchReopening::default(),
        failure_log: LogLimiter::default(),
        commands,
        balancer,
    };
    while let Some(command) = watcher.commands.recv().await {
        if let ListCommand::Move(discovery) = command {
            watcher.client.move_to(discovery);
        }
        if watcher.watch_until_failure().await.is_break() {
            return;
        }
    }
}

struct ListWatcher {
    client: DiscoveryClient,
    /// The version to continue from. None if the current list is not from discovery, and after an answer that could not
    /// be used; the full list is then requested.
    version: Option<u64>,
    stale_list_filter: StaleListFilter,
    reopening: WatchReopening,
    /// Limits the rate of log lines about failed calls and stale lists.
    failure_log: LogLimiter,
    commands: UnboundedReceiver<ListCommand>,
    balancer: UnboundedSender<Message>,
}

/// How a call ended.
enum CallEnd {
    Answered(Result<ServerList, ListError>),
    /// Discovery has moved to another address; the call was dropped.
    Moved(SocketAddr),
    /// No sender of commands is left: the process is about to exit.
    Closed,
}

impl ListWatcher {
    /// Repeats calls until one fails and is not to be repeated. Returns `Break` if the process is about to exit.
    async fn watch_until_failure(&mut self) -> ControlFlow<()> {
        let mut next_call_at = Instant::now();
        loop {
            let called_at = Instant::now().max(next_call_at);
            match self.call_unless_moved(next_call_at).await {
                CallEnd::Closed => return ControlFlow::Break(()),
                // The old address will soon stop answering, and what it would have sent counts as delivered.
                CallEnd::Moved(discovery) => self.client.move_to(discovery),
                CallEnd::Answered(Ok(list)) => next_call_at = self.on_list(list, called_at),
                CallEnd::Answered(Err(error)) => {
                    self.log_failure(&error);
                    self.client.connection = None;
                    if error.is_silent_watch() && self.reopening.should_reopen() {
                        next_call_at = Instant::now();
                        continue;
                    }
                    if error.is_unusable_response() {
                        self.version = None;
                    }
                    let _ = self.balancer.send(Message::ListCallFailed);
                    return ControlFlow::Continue(());
                }
            }
        }
    }

    /// Makes one call at `start`, unless discovery moves before it ends.
    async fn call_unless_moved(&mut self, start: Instant) -> CallEnd {
        let Self { client, version, commands, .. } = self;
        let discovery = client.discovery;
        let mut call = pin!(async {
            sleep_until(start.into()).await;
            client.call(*version).await
        });
        loop {
            tokio::select! {
                biased;
                command = commands.recv() => match command {
                    Some(ListCommand::Move(to)) if to != discovery => return CallEnd::Moved(to),
                    Some(ListCommand::Move(_) | ListCommand::Watch) => {}
                    None => return CallEnd::Closed,
                },
                answer = &mut call => return CallEnd::Answered(answer),
            }
        }
    }

    /// Passes a list on to the balancer unless it is stale. Returns when to call next.
    fn on_list(&mut self, list: ServerList, called_at: Instant) -> Instant {
        if !self.stale_list_filter.accept(&list, called_at) {
            if let Some(AdmittedLine { left_out }) = self.failure_log.admit() {
                let newest = self.stale_list_filter.newest_version();
                log_event!(version = list.version, held = newest, left_out, "machine-list older");
            }
            return called_at + STALE_LIST_RETRY_DELAY;
        }
        self.reopening.on_answer();
        let is_update = self.version.is_none_or(|known| list.version > known);
        let next_call_at = if is_update { Instant::now() } else { called_at + MIN_CALL_INTERVAL };
        self.version = Some(list.version);
        let _ = self.balancer.send(Message::ListUpdated(list));
        next_call_at
    }

    fn log_failure(&self, error: &ListError) {
        if let Some(AdmittedLine { left_out }) = self.failure_log.admit() {
            log_event!(why = %error, left_out, "machine-list failed");
        }
    }
}

/// Detects lists that are older than one that discovery has sent to this incarnation. If such a list were accepted as
/// new, servers that drain or have ended would become targets again. The version of a saved list does not count: it may
/// come from another discovery.
#[derive(Default)]
pub struct StaleListFilter {
    newest_version: u64,
    /// Since when the received lists have been older than `newest_version`.
    stale_since: Option<Instant>,
}

impl StaleListFilter {
    /// The newest version that was accepted.
    pub fn newest_version(&self) -> u64 {
        self.newest_version
    }

    /// Returns true if a list is to be used: it is not older than the newest one, or lists have been older for
    /// [`STALE_LIST_PERIOD`].
    pub fn accept(&mut self, list: &ServerList, now: Instant) -> bool {
        let is_accepted = list.version >= self.newest_version
            || now >= *self.stale_since.get_or_insert(now) + STALE_LIST_PERIOD;
        if is_accepted {
            (self.newest_version, self.stale_since) = (list.version, None);
        }
        is_accepted
    }
}

/// Why a call for the list has failed.
#[derive(Debug, Error)]
enum ListError {
    #[error("no answer in time")]
    TimedOut {
        /// True if the call was a watch, which discovery must answer in time. A call for the full list may still be
        /// queued at discovery.
        is_watch: bool,
    },
    #[error("no connection")]
    NoConnection,
    #[error(transparent)]
    InvalidRequest(#[from] hyper::http::Error),
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    #[error("answered {}", .0.as_u16())]
    Status(StatusCode),
    #[error("body {0:?}")]
    Body(BodyError),
    #[error(transparent)]
    NotText(#[from] Utf8Error),
    /// The body is not JSON or not a server list; the message names the key.
    #[error(transparent)]
    InvalidList(#[from] JsonError),
    #[error("changes in place of the whole list")]
    ChangesForWholeList,
    #[error("version {found} after {known}")]
    OlderChanges { found: u64, known: u64 },
}

impl ListError {
    /// True if discovery has responded with something that can't be used.
    fn is_unusable_response(&self) -> bool {
        match self {
            Self::Body(_)
            | Self::NotText(_)
            | Self::InvalidList(_)
            | Self::ChangesForWholeList
            | Self::OlderChanges { .. } => true,
            Self::TimedOut { .. }
            | Self::NoConnection
            | Self::InvalidRequest(_)
            | Self::Connection(_)
            | Self::Status(_) => false,
        }
    }

    /// True if a watch was open and nothing arrived.
    fn is_silent_watch(&self) -> bool {
        matches!(self, Self::TimedOut { is_watch: true })
    }
}

/// Calls discovery, over a connection that is kept between calls.
struct DiscoveryClient {
    discovery: SocketAddr,
    connect_timeout: Duration,
    connection: Option<OutboundConnection>,
}

impl DiscoveryClient {
    fn move_to(&mut self, discovery: SocketAddr) {
        if let Some(connection) = self.connection.take() {
            connection.record.set_close_reason(CloseReason::ConfigReloaded);
        }
        self.discovery = discovery;
    }

    /// Watches for changes after version `known`, or fetches the full list if no version is known.
    async fn call(&mut self, known: Option<u64>) -> Result<ServerList, ListError> {
        let wait = known.map_or(Duration::ZERO, |_| WATCH_TIMEOUT);
        let timed_out = ListError::TimedOut { is_watch: known.is_some() };
        let text = timeout(wait + RESPONSE_GRACE, self.fetch(known)).await.map_err(|_| timed_out)??;
        let text = str::from_utf8(&text)?;
        let json = settings::parse_json(text)?;
        let list = read_server_list(&JsonField::root(&json))?;
        match known {
            None if !list.is_complete => Err(ListError::ChangesForWholeList),
            Some(known) if !list.is_complete && list.version < known => {
                Err(ListError::OlderChanges { found: list.version, known })
            }
            _ => Ok(list),
        }
    }

    async fn fetch(&mut self, known: Option<u64>) -> Result<Bytes, ListError> {
        if let Some(connection) = &mut self.connection
            && !connection.ready().await
        {
            self.connection = None;
        }
        if self.connection.is_none() {
            self.connection =
                OutboundConnection::open(DISCOVERY, self.discovery, self.connect_timeout, ()).await;
        }
        let connection = self.connection.as_mut().ok_or(ListError::NoConnection)?;
        let target = match known {
            Some(version) => format!("/catalog/members?from={version}&hold_ms={}", WATCH_TIMEOUT.as_millis()),
            None => "/catalog/members".to_owned(),
        };
        let request = Request::get(target).header("host", self.discovery.to_string());
        let request = request.body(OutgoingBody::from(Bytes::new()))?;
        connection.record.set_default_close_reason(CloseReason::Abandoned);
        let response = connection.send(request, 0).await?;
        if response.status() != StatusCode::OK {
            return Err(ListError::Status(response.status()));
        }
        let body = read_body(response.into_body(), MAX_LIST_BYTES).await;
        let body = body.map_err(ListError::Body)?;
        connection.record.set_default_close_reason(CloseReason::ClosedByPeer);
        Ok(body)
    }
}
