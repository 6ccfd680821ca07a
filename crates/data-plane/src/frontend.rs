//! Where clients connect.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use mosshead_http_links::{CountGuard, accept};
use mosshead_time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::client_stream::{ClientStream, ResetOnDrop};
use crate::data_plane::DataPlane;

/// How many connections clients may have at once.
const MAX_CONNECTIONS: usize = 2600;
/// The longest head of a request.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// For how long a connection may be idle before a configuration is in force.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// A connection may be idle for at least this long.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// The listener for clients.
pub struct Frontend {
    data_plane: Rc<DataPlane>,
    open_connections: Rc<Cell<usize>>,
    shutdown: watch::Sender<bool>,
}

impl Frontend {
    /// A listener for the clients of this data plane.
    pub fn new(data_plane: Rc<DataPlane>) -> Rc<Self> {
        Rc::new(Self { data_plane, open_connections: Rc::default(), shutdown: watch::Sender::new(false) })
    }

    /// How many connections clients have.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Closes idle connections, and the others once their response is complete.
    pub fn shut_down(&self) {
        self.shutdown.send_replace(true);
    }

    /// Accepts connections for as long as it is polled. Has to be polled within a `LocalSet`.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = accept(&listener).await;
            if self.open_connections.get() >= MAX_CONNECTIONS {
                continue;
            }
            let frontend = self.clone();
            let guard = CountGuard::new(&self.open_connections, 1);
            tokio::task::spawn_local(async move {
                frontend.serve_connection(stream).await;
                drop(guard);
            });
        }
    }

    fn idle_timeout(&self) -> Duration {
        let config = self.data_plane.config();
        config.map_or(DEFAULT_IDLE_TIMEOUT, |config| config.limits().idle_timeout.max(MIN_IDLE_TIMEOUT))
    }

    async fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let data_plane = self.data_plane.clone();
        let lacks_chunks = Rc::new(Cell::new(false));
        let service = service_fn({
            let lacks_chunks = lacks_chunks.clone();
            move |request: Request<Incoming>| {
                lacks_chunks.set(request.version() < Version::HTTP_11);
                data_plane.clone().handle_request(request)
            }
        });
        let reset_on_drop = Rc::new(Cell::new(false));
        let stream = ClientStream::new(stream, ResetOnDrop(reset_on_drop.clone()));
        let connection = Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.idle_timeout())
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        let mut shutdown = self.shutdown.subscribe();
        let result = tokio::select! {
            result = connection.as_mut() => result,
            _ = shutdown.wait_for(|is_shut_down| *is_shut_down) => {
                connection.as_mut().graceful_shutdown();
                connection.as_mut().await
            }
        };
        // To a client that knows no chunks the end of the connection is the end of the body: an aborted response would
        // look complete (RULES.md, MIXED), so the connection is reset instead.
        let is_aborted = result.is_err_and(|error| error.is_user());
        reset_on_drop.set(lacks_chunks.get() && is_aborted);
    }
}
