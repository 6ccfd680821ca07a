//! The replacement of a process that serves: the old one hands the new one its listening socket, the endpoint list
//! and a part of its permits over a Unix socket in `$TMPDIR`. `docs/design/0003-operators.md` says why.
//!
//! The link stays open until one of them ends. The old process says `grant F B` and `stopping`, the new one
//! `accepting`; whose end comes has died or stopped, and the other one has all permits again.

use std::cell::{Cell, RefCell};
use std::fs::{self, File, Permissions};
use std::future::pending;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::os::fd::{AsFd, AsRawFd, OwnedFd};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::string::FromUtf8Error;
use std::sync::Arc;
use std::time::Duration;

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg, sockopt::socket_acceptconn,
};
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{interval, timeout};

use crate::balancer_actor::BalancerHandle;
use crate::budget::DescriptorBudget;
use crate::lifecycle::Lifecycle;
use crate::log::say;
use mosshead_settings::{self as settings, JsonError, JsonField};
use mosshead_snapshot::server_list::{ServerList, read_server_list, write_server_list};

/// A predecessor hands over within this time, or there is none.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1000);
/// How often permits are moved.
const GRANT_INTERVAL: Duration = Duration::from_millis(20);
/// What a new process opens before it has any permit; kept from both sides at all times.
pub(crate) const STARTUP_DESCRIPTORS: u64 = 16;
/// What it opens beyond that while it serves: taken from each side once it has come, and told to nobody.
const SERVING_DESCRIPTORS: usize = 8;
/// A line of the link, and the list, are no longer than this.
const MAX_LINE_BYTES: u64 = 64;
const MAX_LIST_BYTES: u64 = 1024 * 1024;
/// The longest path that a Unix socket's address holds.
const MAX_SOCKET_PATH_BYTES: usize = 100;

/// Where a process that listens at `listen` waits for its successor.
pub(crate) fn socket_path(listen: SocketAddr) -> PathBuf {
    let name = listen.to_string().replace(|letter: char| !letter.is_ascii_alphanumeric(), "_");
    std::env::temp_dir().join(format!("mosshead-{name}.sock"))
}

/// The same place by a path that fits an address. The folder has to stay open meanwhile.
fn short_path(path: &Path) -> io::Result<(PathBuf, Option<File>)> {
    match (path.parent(), path.file_name()) {
        (Some(folder), Some(name)) if path.as_os_str().len() > MAX_SOCKET_PATH_BYTES => {
            let folder = File::open(folder)?;
            let short = Path::new("/proc/self/fd").join(folder.as_raw_fd().to_string()).join(name);
            Ok((short, Some(folder)))
        }
        _ => Ok((path.to_owned(), None)),
    }
}

/// Why a predecessor that answers has not handed over; the new process then starts without it.
#[derive(Debug, Error)]
pub(crate) enum HandoverError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("the predecessor did not answer")]
    NoReply,
    #[error("what was handed over does not listen")]
    NotListening,
    #[error("what was handed over listens at {0}")]
    WrongAddress(SocketAddr),
    #[error("the predecessor has ended")]
    PredecessorEnded,
    #[error("the list has no length")]
    NoListLength,
    #[error(transparent)]
    NotText(#[from] FromUtf8Error),
    /// The list is not JSON, or not one of servers; the message names the key.
    #[error(transparent)]
    InvalidList(#[from] JsonError),
}

/// What a predecessor has handed over.
pub(crate) struct HandedOver {
    pub(crate) listener: StdTcpListener,
    pub(crate) known: ServerList,
    pub(crate) link: (BufReader<OwnedReadHalf>, OwnedWriteHalf),
}

/// Asks the process that serves at `listen` to hand over; none where there is no such process.
pub(crate) async fn request_handover(
    path: &Path,
    listen: SocketAddr,
) -> Result<Option<HandedOver>, HandoverError> {
    let asked = timeout(HANDOVER_TIMEOUT, connect_and_receive(path, listen)).await;
    asked.unwrap_or_else(|_| Err(HandoverError::NoReply))
}

async fn connect_and_receive(path: &Path, listen: SocketAddr) -> Result<Option<HandedOver>, HandoverError> {
    let (short, _folder) = short_path(path)?;
    let mut stream = match UnixStream::connect(short).await {
        Ok(stream) => stream,
        Err(error) if matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) => {
            return Ok(None);
        }
        Err(error) => return Err(error.into()),
    };
    stream.write_all(b"take 1\n").await?;
    let socket = loop {
        stream.readable().await?;
        match stream.try_io(Interest::READABLE, || receive_socket(&stream)) {
            Ok(socket) => break socket,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error.into()),
        }
    };
    // Whoever can write into the folder could hand over any socket, so it is checked before it is used.
    if !socket_acceptconn(&socket).map_err(io::Error::from)? {
        return Err(HandoverError::NotListening);
    }
    let listener = StdTcpListener::from(socket);
    let at = listener.local_addr()?;
    if at.ip() != listen.ip() || (listen.port() != 0 && at.port() != listen.port()) {
        return Err(HandoverError::WrongAddress(at));
    }
    listener.set_nonblocking(true)?;
    let (reader, writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    let line = read_line(&mut reader).await?.ok_or(HandoverError::PredecessorEnded)?;
    let length = line.strip_prefix("list ").and_then(|length| length.parse::<u64>().ok());
    let length = length.filter(|length| *length <= MAX_LIST_BYTES).ok_or(HandoverError::NoListLength)?;
    let mut text = vec![0; length as usize];
    reader.read_exact(&mut text).await?;
    let text = String::from_utf8(text)?;
    let json = settings::parse_json(&text)?;
    let known = read_server_list(&JsonField::root(&json))?;
    Ok(Some(HandedOver { listener, known, link: (reader, writer) }))
}

/// A line without its end; none where the link has ended.
async fn read_line(reader: &mut BufReader<OwnedReadHalf>) -> io::Result<Option<String>> {
    let mut line = String::new();
    reader.take(MAX_LINE_BYTES).read_line(&mut line).await?;
    Ok(line.strip_suffix('\n').map(str::to_owned))
}

fn receive_socket(stream: &UnixStream) -> io::Result<OwnedFd> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut byte = [0];
    recvmsg(stream, &mut [IoSliceMut::new(&mut byte)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let sockets = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(sockets) => Some(sockets),
        _ => None,
    });
    sockets.flatten().next().ok_or_else(|| io::Error::other("no socket was handed over"))
}

fn send_socket(stream: &UnixStream, socket: &impl AsFd) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let sockets = [socket.as_fd()];
    control.push(SendAncillaryMessage::ScmRights(&sockets));
    sendmsg(stream, &[IoSlice::new(b"M")], &mut control, SendFlags::empty())?;
    Ok(())
}

/// The permits of both sides, of which a part may be another process's.
pub(crate) struct BudgetShares {
    sides: [DescriptorBudget; 2],
    whole: [usize; 2],
    lent: Cell<[usize; 2]>,
}

impl BudgetShares {
    /// All of the limits is this process's, or, after a predecessor, nothing yet.
    pub(crate) fn new(sides: [DescriptorBudget; 2], taken: bool) -> Self {
        let whole = sides.each_ref().map(DescriptorBudget::size);
        if taken {
            sides.iter().zip(whole).for_each(|(side, count)| {
                side.give(count);
            });
        }
        Self { sides, whole, lent: Cell::default() }
    }

    fn add(&self, more: [usize; 2]) {
        self.sides.iter().zip(more).for_each(|(side, more)| side.add(more));
    }

    /// Takes up to so many free permits from each side, for another process.
    fn lend(&self, most: [usize; 2]) -> [usize; 2] {
        let given = [0, 1].map(|at| self.sides[at].give(most[at]));
        let lent = self.lent.get();
        self.lent.set([0, 1].map(|at| lent[at] + given[at]));
        given
    }

    /// The other process has ended with what it was lent.
    fn return_lent(&self, given: [usize; 2]) {
        let lent = self.lent.get();
        self.lent.set([0, 1].map(|at| lent[at] - given[at]));
        self.add(given);
    }

    /// The predecessor has ended: the rest is this process's.
    fn take_over_rest(&self) {
        let (lent, whole) = (self.lent.get(), self.whole);
        self.add([0, 1].map(|at| whole[at].saturating_sub(self.sides[at].size() + lent[at])));
    }
}

/// This process's part in replacements: a successor of one, a predecessor of others.
pub(crate) struct Handover {
    path: PathBuf,
    balancer: BalancerHandle,
    shares: BudgetShares,
    lifecycle: Arc<Lifecycle>,
    listener: RefCell<Option<Rc<TcpListener>>>,
    waiting: RefCell<Option<AbortHandle>>,
    /// The predecessor stops or has ended, or there was none.
    alone: watch::Sender<bool>,
    begun: watch::Sender<bool>,
    stopping: watch::Sender<bool>,
    /// How many successors accept at the same address.
    relieved: watch::Sender<usize>,
}

impl Handover {
    pub(crate) fn new(
        path: PathBuf,
        balancer: BalancerHandle,
        shares: BudgetShares,
        lifecycle: Arc<Lifecycle>,
        listener: Rc<TcpListener>,
        taken: Option<(BufReader<OwnedReadHalf>, OwnedWriteHalf)>,
    ) -> Rc<Self> {
        let handover = Rc::new(Self {
            path,
            balancer,
            shares,
            lifecycle,
            listener: RefCell::new(Some(listener)),
            waiting: RefCell::default(),
            alone: watch::Sender::new(taken.is_none()),
            begun: watch::Sender::new(false),
            stopping: watch::Sender::new(false),
            relieved: watch::Sender::new(0),
        });
        if let Some((reader, writer)) = taken {
            spawn_local(handover.clone().serve_as_successor(reader, writer));
        }
        handover
    }

    /// Waits until connections are to be accepted. One that is accepted by a process that dies before its
    /// first yes is lost, and its predecessor would have served it.
    pub(crate) async fn wait_until_accepting(self: &Rc<Self>) {
        let (mut asked, mut alone) = (self.lifecycle.subscribe_readiness_confirmed(), self.alone.subscribe());
        tokio::select! {
            _ = asked.wait_for(|asked| *asked) => {}
            _ = alone.wait_for(|alone| *alone) => {}
        }
        self.listen_for_successor();
        self.begun.send_replace(true);
    }

    /// This process stops: successors are to accept, if they don't yet.
    pub(crate) fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Waits until a successor accepts at the same address.
    pub(crate) async fn wait_for_successor(&self) {
        if self.relieved.subscribe().wait_for(|count| *count > 0).await.is_err() {
            pending::<()>().await;
        }
    }

    /// No further connection is accepted here, and no successor finds anything.
    pub(crate) fn close(&self) {
        self.listener.borrow_mut().take();
        if let Some(waiting) = self.waiting.borrow_mut().take() {
            waiting.abort();
            if *self.relieved.borrow() == 0 {
                let _ = fs::remove_file(&self.path);
            }
        }
    }

    /// Waits for successors from now on, under the name that all know.
    fn listen_for_successor(self: &Rc<Self>) {
        match self.bind() {
            Ok(listener) => {
                let waiting = spawn_local(self.clone().accept_successors(listener)).abort_handle();
                if let Some(before) = self.waiting.borrow_mut().replace(waiting) {
                    before.abort();
                }
            }
            Err(error) => say!(path = %self.path.display(), why = %error, "handover shut"),
        }
    }

    fn bind(&self) -> io::Result<UnixListener> {
        let mut own = self.path.clone().into_os_string();
        own.push(format!(".{}", std::process::id()));
        let own = PathBuf::from(own);
        let _ = fs::remove_file(&own);
        let (short, _folder) = short_path(&own)?;
        let listener = UnixListener::bind(short)?;
        fs::set_permissions(&own, Permissions::from_mode(0o600))?;
        // The name changes hands at once: whoever asks finds the old process or this one.
        fs::rename(&own, &self.path).inspect_err(|_| drop(fs::remove_file(&own)))?;
        Ok(listener)
    }

    async fn accept_successors(self: Rc<Self>, listener: UnixListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(spawn_local(self.clone().serve_successor(stream))),
                Err(error) => {
                    say!(why = %error, "accept failed");
                    tokio::time::sleep(GRANT_INTERVAL).await;
                }
            }
        }
    }

    /// Hands over to a successor, and shares the limits with it until either ends.
    async fn serve_successor(self: Rc<Self>, stream: UnixStream) {
        let own = rustix::process::getuid().as_raw();
        if !stream.peer_cred().is_ok_and(|peer| peer.uid() == own || peer.uid() == 0) {
            return say!("handover refused: another user asked");
        }
        let Ok(Some((reader, mut writer))) = timeout(HANDOVER_TIMEOUT, self.send_state(stream)).await else {
            return say!("handover failed");
        };
        say!("handed over");
        let mut lines = reader.lines();
        let (mut given, mut accepts) = ([0; 2], false);
        let (mut tick, mut told) = (interval(GRANT_INTERVAL), false);
        // Each side's free permits at first: a part of them is left to the requests that come meanwhile.
        let first = self.shares.sides.each_ref().map(|side| side.available() / 2);
        let aside = self.shares.lend([SERVING_DESCRIPTORS; 2]);
        loop {
            tokio::select! {
                line = lines.next_line() => match line {
                    Ok(Some(line)) if line == "accepting" && !accepts => {
                        accepts = true;
                        self.relieved.send_modify(|count| *count += 1);
                        // Its name is the successor's now.
                        if let Some(waiting) = self.waiting.borrow_mut().take() {
                            waiting.abort();
                        }
                    }
                    Ok(Some(_)) => {}
                    _ => break,
                },
                _ = tick.tick() => {
                    let stops = *self.stopping.borrow();
                    let whole = self.shares.whole;
                    let due = [0, 1].map(|at| match (stops, accepts) {
                        (true, _) => usize::MAX,
                        (false, true) => whole[at] / 2,
                        (false, false) => first[at].clamp(whole[at] / 8, whole[at] / 2),
                    });
                    let more = self.shares.lend([0, 1].map(|at| due[at].saturating_sub(given[at])));
                    given = [0, 1].map(|at| given[at] + more[at]);
                    // A full process would leave its successor nothing to serve with.
                    for at in [0, 1] {
                        if given[at] < whole[at] / 8 {
                            self.shares.sides[at].request_release();
                        }
                    }
                    let mut words = String::new();
                    if more != [0, 0] {
                        words = format!("grant {} {}\n", more[0], more[1]);
                    }
                    if stops && !told {
                        told = true;
                        words += "stopping\n";
                    }
                    if writer.write_all(words.as_bytes()).await.is_err() {
                        break;
                    }
                }
            }
        }
        self.shares.return_lent([0, 1].map(|at| given[at] + aside[at]));
        say!(accepted = accepts, "successor gone");
        if accepts {
            self.relieved.send_modify(|count| *count -= 1);
            if self.listener.borrow().is_some() && !*self.stopping.borrow() {
                self.listen_for_successor();
            }
        }
    }

    async fn send_state(&self, stream: UnixStream) -> Option<(BufReader<OwnedReadHalf>, OwnedWriteHalf)> {
        let (reader, writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        if read_line(&mut reader).await.ok()?? != "take 1" {
            return None;
        }
        let stream = reader.into_inner().reunite(writer).ok()?;
        let listener = self.listener.borrow().clone()?;
        let list = write_server_list(&self.balancer.current_list().await?)?;
        loop {
            stream.writable().await.ok()?;
            match stream.try_io(Interest::WRITABLE, || send_socket(&stream, &*listener)) {
                Ok(()) => break,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return None,
            }
        }
        let (reader, mut writer) = stream.into_split();
        writer.write_all(format!("list {}\n{list}", list.len()).as_bytes()).await.ok()?;
        Some((BufReader::new(reader), writer))
    }

    /// Takes what the predecessor grants, until it has ended.
    async fn serve_as_successor(
        self: Rc<Self>,
        reader: BufReader<OwnedReadHalf>,
        mut writer: OwnedWriteHalf,
    ) {
        let mut lines = reader.lines();
        let mut begun = self.begun.subscribe();
        let mut told = false;
        loop {
            tokio::select! {
                line = lines.next_line() => match line {
                    Ok(Some(line)) => {
                        let mut words = line.split(' ');
                        match (words.next(), words.next(), words.next()) {
                            (Some("grant"), Some(front), Some(back)) => {
                                let number = |word: &str| word.parse().unwrap_or(0);
                                self.shares.add([number(front), number(back)]);
                            }
                            (Some("stopping"), ..) => drop(self.alone.send_replace(true)),
                            _ => {}
                        }
                    }
                    _ => break,
                },
                Ok(_) = begun.wait_for(|begun| *begun), if !told => {
                    told = true;
                    if writer.write_all(b"accepting\n").await.is_err() {
                        break;
                    }
                }
            }
        }
        say!("predecessor gone");
        self.shares.take_over_rest();
        self.alone.send_replace(true);
    }
}
