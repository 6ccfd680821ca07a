//! Discovery's client: a watch on the endpoint list, one call after the other.

use std::net::SocketAddr;
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
use crate::connection_log::MACHINE_LIST;
use crate::duration;
use crate::log::{LogLimiter, say};
use crate::messages::Message;
use mosshead_decide::interface::Seconds;
use mosshead_http_links::{BodyError, CloseReason, read_body};
use mosshead_recovery::WatchReopening;
use mosshead_settings::{self as settings, JsonError, JsonField};
use mosshead_snapshot::server_list::{ServerList, read_server_list};

/// How long a watch may wait. What discovery has to tell counts as told 2 s after that, and 6 s after it
/// arose in any case: a call that discovery has forgotten must be over by then.
const WATCH_TIMEOUT: Duration = Duration::from_millis(4000);
/// How long after the end of its wait a call times out.
const RESPONSE_GRACE: Duration = Duration::from_millis(1500);
/// Whoever answers at once though nothing is new is called again after this. One that does not wait would
/// be called without end.
pub const MIN_CALL_INTERVAL: Duration = Duration::from_millis(50);
/// A whole list with a version below one that discovery has told of itself is of a discovery that came back with old
/// state: so long it is taken for that. After this it is taken as it is, for then nobody knows any better.
pub const STALE_LIST_PERIOD: Duration = Duration::from_secs(30);
/// The delay before the next call after such a list.
const STALE_LIST_RETRY_DELAY: Duration = Duration::from_millis(1000);
/// A list of all machines is larger than other bodies.
const MAX_LIST_BYTES: usize = 1024 * 1024;

/// What comes into the list's mailbox.
pub enum ListCommand {
    /// Watch, if that is not being done.
    Watch,
    /// The list is kept at another address from now on.
    Move(SocketAddr),
}

/// The way to the list's actor.
#[derive(Clone)]
pub struct EndpointList(UnboundedSender<ListCommand>);

impl EndpointList {
    pub fn new() -> (Self, UnboundedReceiver<ListCommand>) {
        let (mailbox, asked) = unbounded_channel();
        (Self(mailbox), asked)
    }

    /// Asks for a watch. It goes on by itself until a call fails.
    pub fn watch(&self) {
        let _ = self.0.send(ListCommand::Watch);
    }

    /// Moves to another address, and watches there.
    pub fn move_to(&self, discovery: SocketAddr) {
        let _ = self.0.send(ListCommand::Move(discovery));
    }
}

/// The actor: whenever it is asked, it watches until a call fails, and says so.
pub async fn run(
    discovery: SocketAddr,
    version: Option<u64>,
    connect_timeout: Seconds,
    mut mailbox: UnboundedReceiver<ListCommand>,
    home: UnboundedSender<Message>,
) {
    let connect_timeout = duration(connect_timeout).min(RESPONSE_GRACE);
    let mut caller = DiscoveryClient { discovery, connect_timeout, link: None };
    // The version to go on from; none where the list held is none of discovery's, as after an answer that made no sense: then
    // the whole list is due.
    let mut held = version;
    let mut told = ToldVersion::default();
    let mut silence = WatchReopening::default();
    let failed = LogLimiter::default();
    while let Some(ask) = mailbox.recv().await {
        if let ListCommand::Move(to) = ask {
            caller.move_to(to);
        }
        let mut from = Instant::now();
        loop {
            let called = Instant::now().max(from);
            match watch(&mut caller, held, from, &mut mailbox).await {
                WatchOutcome::Closed => return,
                // The old address falls silent soon, and what it would have told counts as told.
                WatchOutcome::Moved(to) => caller.move_to(to),
                WatchOutcome::Answered(Ok(listing)) if told.is_older(&listing, called) => {
                    if let Some(left_out) = failed.admit() {
                        let left_out = (left_out > 0).then_some(left_out);
                        say!(version = listing.version, held = told.version, left_out, "machine-list older");
                    }
                    from = called + STALE_LIST_RETRY_DELAY;
                }
                WatchOutcome::Answered(Ok(listing)) => {
                    silence.on_answer();
                    let news = held.is_none_or(|held| listing.version > held);
                    from = if news { Instant::now() } else { called + MIN_CALL_INTERVAL };
                    held = Some(listing.version);
                    let _ = home.send(Message::ListUpdate(Some(listing)));
                }
                WatchOutcome::Answered(Err(error)) => {
                    if let Some(left_out) = failed.admit() {
                        let left_out = (left_out > 0).then_some(left_out);
                        say!(why = %error, left_out, "machine-list failed");
                    }
                    if error.is_silent_watch() && silence.should_reopen() {
                        caller.link = None;
                        from = Instant::now();
                        continue;
                    }
                    if error.is_unusable_response() {
                        held = None;
                    }
                    caller.link = None;
                    let _ = home.send(Message::ListUpdate(None));
                    break;
                }
            }
        }
    }
}

/// The newest version that discovery itself has sent to this incarnation. The version of a saved list does not count: it may be
/// of another discovery.
#[derive(Default)]
pub struct ToldVersion {
    version: u64,
    /// Since when its answers have been older than that.
    older: Option<Instant>,
}

impl ToldVersion {
    /// Whether a list is older than what was told before. Taken for new, it makes servers that drain or have gone
    /// into targets again.
    pub fn is_older(&mut self, listing: &ServerList, now: Instant) -> bool {
        if listing.version >= self.version {
            (self.version, self.older) = (listing.version, None);
            return false;
        }
        let since = *self.older.get_or_insert(now);
        let older = now < since + STALE_LIST_PERIOD;
        if !older {
            (self.version, self.older) = (listing.version, None);
        }
        older
    }
}

enum WatchOutcome {
    Answered(Result<ServerList, ListError>),
    Moved(SocketAddr),
    Closed,
}

/// One call, at `from`, unless the list moves meanwhile.
async fn watch(
    caller: &mut DiscoveryClient,
    held: Option<u64>,
    from: Instant,
    mailbox: &mut UnboundedReceiver<ListCommand>,
) -> WatchOutcome {
    let discovery = caller.discovery;
    let mut call = pin!(async {
        sleep_until(from.into()).await;
        caller.call(held).await
    });
    loop {
        tokio::select! {
            biased;
            ask = mailbox.recv() => match ask {
                Some(ListCommand::Move(to)) if to != discovery => return WatchOutcome::Moved(to),
                Some(_) => {}
                None => return WatchOutcome::Closed,
            },
            response = &mut call => return WatchOutcome::Answered(response),
        }
    }
}

/// Why a call for the list has failed.
#[derive(Debug, Error)]
enum ListError {
    /// No response in time; whether the call was a watch, which discovery has to answer, or one for the whole list, which
    /// may still wait for its turn.
    #[error("no answer in time")]
    TimedOut { watching: bool },
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
    /// The body is not JSON, or not a list of servers; the message names the key.
    #[error(transparent)]
    InvalidList(#[from] JsonError),
    #[error("changes in place of the whole list")]
    ChangesForWholeList,
    #[error("version {found} after {held}")]
    OlderChanges { found: u64, held: u64 },
}

impl ListError {
    /// Whether discovery has responded, with something that can't be used.
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

    /// Whether a watch was up and nothing came of it.
    fn is_silent_watch(&self) -> bool {
        matches!(self, Self::TimedOut { watching: true })
    }
}

struct DiscoveryClient {
    discovery: SocketAddr,
    connect_timeout: Duration,
    link: Option<OutboundConnection>,
}

impl DiscoveryClient {
    fn move_to(&mut self, discovery: SocketAddr) {
        if let Some(link) = self.link.take() {
            link.record.set_close_reason(CloseReason::ConfigReloaded);
        }
        self.discovery = discovery;
    }

    async fn call(&mut self, held: Option<u64>) -> Result<ServerList, ListError> {
        let wait = held.map_or(Duration::ZERO, |_| WATCH_TIMEOUT);
        let timed_out = ListError::TimedOut { watching: held.is_some() };
        let text = timeout(wait + RESPONSE_GRACE, self.fetch(held)).await.map_err(|_| timed_out)??;
        let text = str::from_utf8(&text)?;
        let json = settings::parse_json(text)?;
        let listing = read_server_list(&JsonField::root(&json))?;
        match held {
            None if !listing.is_complete => Err(ListError::ChangesForWholeList),
            Some(held) if !listing.is_complete && listing.version < held => {
                Err(ListError::OlderChanges { found: listing.version, held })
            }
            _ => Ok(listing),
        }
    }

    async fn fetch(&mut self, held: Option<u64>) -> Result<Bytes, ListError> {
        if let Some(link) = &mut self.link
            && !link.ready().await
        {
            self.link = None;
        }
        if self.link.is_none() {
            self.link =
                OutboundConnection::open(MACHINE_LIST, self.discovery, self.connect_timeout, ()).await;
        }
        let link = self.link.as_mut().ok_or(ListError::NoConnection)?;
        let target = match held {
            Some(version) => format!("/catalog/members?from={version}&hold_ms={}", WATCH_TIMEOUT.as_millis()),
            None => "/catalog/members".to_owned(),
        };
        let request = Request::get(target).header("host", self.discovery.to_string());
        let request = request.body(OutgoingBody::from(Bytes::new()))?;
        link.record.set_default_close_reason(CloseReason::Abandoned);
        let response = link.send(request, 0).await?;
        if response.status() != StatusCode::OK {
            return Err(ListError::Status(response.status()));
        }
        let body = read_body(response.into_body(), MAX_LIST_BYTES).await;
        let body = body.map_err(ListError::Body)?;
        link.record.set_default_close_reason(CloseReason::ClosedByPeer);
        Ok(body)
    }
}
