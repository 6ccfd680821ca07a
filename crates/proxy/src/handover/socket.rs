//! The Unix socket at which successors connect, and the transfer of the listening socket over it.

use std::fs::{self, File, Permissions};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::os::fd::{AsFd, AsRawFd, OwnedFd};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg, sockopt::socket_acceptconn,
};
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream};

use super::error::HandoverError;

/// The maximum path length in the address of a Unix socket, with some reserve.
const MAX_SOCKET_PATH_BYTES: usize = 100;
/// A descriptor can be sent only together with at least one byte of data.
const DESCRIPTOR_MARK: &[u8] = b"M";

/// The path at which a process that listens at `listen` accepts its successor.
pub(crate) fn socket_path(listen: SocketAddr) -> PathBuf {
    let name = listen.to_string().replace(|letter: char| !letter.is_ascii_alphanumeric(), "_");
    std::env::temp_dir().join(format!("mosshead-{name}.sock"))
}

/// The path of a socket, shortened if it is too long for a socket address.
struct ShortPath {
    path: PathBuf,
    /// The opened folder of a shortened path, which is valid only while this is open.
    _folder: Option<File>,
}

impl ShortPath {
    fn of(path: &Path) -> io::Result<Self> {
        match (path.parent(), path.file_name()) {
            (Some(folder), Some(name)) if path.as_os_str().len() > MAX_SOCKET_PATH_BYTES => {
                let folder = File::open(folder)?;
                let path = Path::new("/proc/self/fd").join(folder.as_raw_fd().to_string()).join(name);
                Ok(Self { path, _folder: Some(folder) })
            }
            _ => Ok(Self { path: path.to_owned(), _folder: None }),
        }
    }
}

/// Connects to the process that accepts successors at `path`; returns none if there is no such process.
pub(super) async fn connect(path: &Path) -> io::Result<Option<UnixStream>> {
    let short = ShortPath::of(path)?;
    match UnixStream::connect(&short.path).await {
        Ok(stream) => Ok(Some(stream)),
        Err(error) if matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) => {
            Ok(None)
        }
        Err(error) => Err(error),
    }
}

/// Listens at `path` and replaces any previous listener. Only this user can connect.
pub(super) fn bind_replacing(path: &Path) -> io::Result<UnixListener> {
    let mut own = path.to_owned().into_os_string();
    own.push(format!(".{}", std::process::id()));
    let own = PathBuf::from(own);
    let _ = fs::remove_file(&own);
    let short = ShortPath::of(&own)?;
    let listener = UnixListener::bind(&short.path)?;
    fs::set_permissions(&own, Permissions::from_mode(0o600))?;
    // Since the rename is atomic, the path always leads either to the old process or to this one.
    fs::rename(&own, path).inspect_err(|_| drop(fs::remove_file(&own)))?;
    Ok(listener)
}

/// True if the process at the other end belongs to this user or to root.
pub(super) fn is_peer_trusted(stream: &UnixStream) -> bool {
    let own = rustix::process::getuid().as_raw();
    stream.peer_cred().is_ok_and(|peer| peer.uid() == own || peer.uid() == 0)
}

/// Passes a socket to the other end.
pub(super) async fn send_socket(stream: &UnixStream, socket: &impl AsFd) -> io::Result<()> {
    loop {
        stream.writable().await?;
        match stream.try_io(Interest::WRITABLE, || send_descriptor(stream, socket)) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

/// Receives a socket from the other end.
pub(super) async fn receive_socket(stream: &UnixStream) -> io::Result<OwnedFd> {
    loop {
        stream.readable().await?;
        match stream.try_io(Interest::READABLE, || receive_descriptor(stream)) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

/// Converts a socket that was handed over into a listener, provided that it listens at `listen`.
///
/// Any process that can write to the folder could hand over any socket, so the socket is checked before it is used.
pub(super) fn check_listener(socket: OwnedFd, listen: SocketAddr) -> Result<StdTcpListener, HandoverError> {
    if !socket_acceptconn(&socket).map_err(io::Error::from)? {
        return Err(HandoverError::NotListening);
    }
    let listener = StdTcpListener::from(socket);
    let found = listener.local_addr()?;
    if found.ip() != listen.ip() || (listen.port() != 0 && found.port() != listen.port()) {
        return Err(HandoverError::WrongAddress(found));
    }
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn send_descriptor(stream: &UnixStream, socket: &impl AsFd) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let sockets = [socket.as_fd()];
    control.push(SendAncillaryMessage::ScmRights(&sockets));
    sendmsg(stream, &[IoSlice::new(DESCRIPTOR_MARK)], &mut control, SendFlags::empty())?;
    Ok(())
}

fn receive_descriptor(stream: &UnixStream) -> io::Result<OwnedFd> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut mark = [0; DESCRIPTOR_MARK.len()];
    recvmsg(stream, &mut [IoSliceMut::new(&mut mark)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let sockets = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(sockets) => Some(sockets),
        _ => None,
    });
    sockets.flatten().next().ok_or_else(|| io::Error::other("no socket was handed over"))
}
