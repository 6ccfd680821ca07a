//! Discovery's client: a watch on the machine list, one call after the other.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::timeout;

use crate::connection_log::{Reason, Side};
use crate::duration;
use crate::flow::Flow;
use crate::http::{self, Link};
use crate::listing::{Listing, read_listing};
use crate::log::say;
use crate::messages::Mail;
use mosshead_decide::interface::Seconds;
use mosshead_settings::{self as settings, Found};

/// How long a watch may wait. What discovery has to tell counts as told 2 s after that, and 6 s after it
/// arose in any case: a call that discovery has forgotten must be over by then.
const HOLD: Duration = Duration::from_millis(4000);
/// So long after its wait a call is given up.
const LATE: Duration = Duration::from_millis(1500);
/// A list of all machines is larger than other bodies.
const LIST_LIMIT: usize = 1024 * 1024;

/// What comes into the list's mailbox.
pub(crate) enum Ask {
    /// Watch, if that is not being done.
    Watch,
    /// The list is kept at another address from now on.
    Move(SocketAddr),
}

/// The way to the list's actor.
#[derive(Clone)]
pub(crate) struct MachineList(UnboundedSender<Ask>);

impl MachineList {
    pub(crate) fn new() -> (Self, UnboundedReceiver<Ask>) {
        let (mailbox, asked) = unbounded_channel();
        (Self(mailbox), asked)
    }

    /// Asks for a watch. It goes on by itself until a call fails.
    pub(crate) fn watch(&self) {
        let _ = self.0.send(Ask::Watch);
    }

    /// Moves to another address, and watches there.
    pub(crate) fn move_to(&self, discovery: SocketAddr) {
        let _ = self.0.send(Ask::Move(discovery));
    }
}

/// The actor: whenever it is asked, it watches until a call fails, and says so.
pub(crate) async fn run(
    discovery: SocketAddr,
    version: u64,
    connect_timeout: Seconds,
    mut mailbox: UnboundedReceiver<Ask>,
    home: UnboundedSender<Mail>,
) {
    let connect_timeout = duration(connect_timeout).min(LATE);
    let mut caller = Caller { discovery, connect_timeout, link: None };
    // The version to go on from; none after an answer that made no sense: then the whole list is due.
    let mut held = Some(version);
    while let Some(ask) = mailbox.recv().await {
        if let Ask::Move(to) = ask {
            caller.move_to(to);
        }
        loop {
            match watch(&mut caller, held, &mut mailbox).await {
                Watched::Closed => return,
                // Danger: the old address falls silent soon, and what it would have told counts as told.
                Watched::Moved(to) => caller.move_to(to),
                Watched::Answered(Ok(listing)) => {
                    held = Some(listing.version);
                    let _ = home.send(Mail::List(Some(listing)));
                }
                Watched::Answered(Err(fault)) => {
                    say!(why = %fault.why, "machine-list failed");
                    if fault.nonsense {
                        held = None;
                    }
                    caller.link = None;
                    let _ = home.send(Mail::List(None));
                    break;
                }
            }
        }
    }
}

enum Watched {
    Answered(Result<Listing, Fault>),
    Moved(SocketAddr),
    Closed,
}

/// One call, unless the list moves meanwhile.
async fn watch(caller: &mut Caller, held: Option<u64>, mailbox: &mut UnboundedReceiver<Ask>) -> Watched {
    let discovery = caller.discovery;
    let mut call = pin!(caller.call(held));
    loop {
        tokio::select! {
            biased;
            ask = mailbox.recv() => match ask {
                Some(Ask::Move(to)) if to != discovery => return Watched::Moved(to),
                Some(_) => {}
                None => return Watched::Closed,
            },
            answer = &mut call => return Watched::Answered(answer),
        }
    }
}

struct Fault {
    why: String,
    /// It answered, but nothing that can be read.
    nonsense: bool,
}

struct Caller {
    discovery: SocketAddr,
    connect_timeout: Duration,
    link: Option<Link>,
}

impl Caller {
    fn move_to(&mut self, discovery: SocketAddr) {
        if let Some(link) = self.link.take() {
            link.record.because(Reason::Reloaded);
        }
        self.discovery = discovery;
    }

    async fn call(&mut self, held: Option<u64>) -> Result<Listing, Fault> {
        let wait = held.map_or(Duration::ZERO, |_| HOLD);
        let late = || Fault { why: "no answer in time".to_owned(), nonsense: false };
        let text = timeout(wait + LATE, self.fetch(held)).await.map_err(|_| late())??;
        let nonsense = |why| Fault { why, nonsense: true };
        let text = str::from_utf8(&text).map_err(|error| nonsense(error.to_string()))?;
        let json = settings::json(text).map_err(nonsense)?;
        let listing = read_listing(&Found::top(&json)).map_err(nonsense)?;
        match held {
            None if !listing.full => Err(nonsense("changes in place of the whole list".to_owned())),
            Some(held) if !listing.full && listing.version < held => {
                Err(nonsense(format!("version {} after {held}", listing.version)))
            }
            _ => Ok(listing),
        }
    }

    async fn fetch(&mut self, held: Option<u64>) -> Result<Bytes, Fault> {
        let fault = |why: &str| Fault { why: why.to_owned(), nonsense: false };
        if let Some(link) = &mut self.link
            && !link.ready().await
        {
            self.link = None;
        }
        if self.link.is_none() {
            self.link = Link::open(Side::MachineList, self.discovery, self.connect_timeout, ()).await;
        }
        let link = self.link.as_mut().ok_or_else(|| fault("no connection"))?;
        let target = match held {
            Some(version) => format!("/catalog/members?from={version}&hold_ms={}", HOLD.as_millis()),
            None => "/catalog/members".to_owned(),
        };
        let request = Request::get(target).header("host", self.discovery.to_string());
        let request = request.body(Flow::from(Bytes::new())).map_err(|error| fault(&error.to_string()))?;
        link.record.otherwise(Reason::GivenUp);
        let answer = link.send(request, 0).await.map_err(|error| fault(&error.to_string()))?;
        if answer.status() != StatusCode::OK {
            return Err(fault(&format!("answered {}", answer.status().as_u16())));
        }
        let body = http::whole(answer.into_body(), LIST_LIMIT).await;
        let body = body.map_err(|error| Fault { why: format!("body {error:?}"), nonsense: true })?;
        link.record.otherwise(Reason::ClosedByPeer);
        Ok(body)
    }
}
