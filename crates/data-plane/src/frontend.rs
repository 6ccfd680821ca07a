//! Accepts and serves clients' connections.

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
use tokio::time::sleep;

use crate::client_stream::{ClientStream, ResetOnDrop};
use crate::data_plane::DataPlane;

/// The maximum number of open client connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 2600;
/// The maximum size of a request's head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The idle timeout of connections while no configuration is in force.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// After the shutdown has begun, a connection that has carried no request yet is closed after this time: its first
/// request may be on its way.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// The lower bound of the configured idle timeout.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Serves the connections of clients.
pub struct Frontend {
    data_plane: Rc<DataPlane>,
    open_connections: Rc<Cell<usize>>,
    shutdown: watch::Sender<bool>,
}

impl Frontend {
    /// Creates a frontend for the clients of this data plane.
    pub fn new(data_plane: Rc<DataPlane>) -> Rc<Self> {
        Rc::new(Self { data_plane, open_connections: Rc::default(), shutdown: watch::Sender::new(false) })
    }

    /// The number of open client connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Closes idle connections at once, those without a request so far after 500 ms, and the others when their response
    /// is complete.
    pub fn shut_down(&self) {
        self.shutdown.send_replace(true);
    }

    /// Accepts connections until the future is dropped. It must be polled within a `LocalSet`.
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
        let lacks_chunked_encoding = Rc::new(Cell::new(false));
        let has_received_request = Rc::new(Cell::new(false));
        let service = service_fn({
            let lacks_chunked_encoding = lacks_chunked_encoding.clone();
            let has_received_request = has_received_request.clone();
            move |request: Request<Incoming>| {
                has_received_request.set(true);
                lacks_chunked_encoding.set(request.version() < Version::HTTP_11);
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
        let result = tokio::select! {
            biased;
            result = connection.as_mut() => result,
            () = self.wait_until_closable(&has_received_request) => {
                connection.as_mut().graceful_shutdown();
                connection.as_mut().await
            }
        };
        // A client without chunked encoding takes the end of the connection for the end of the body, so an aborted
        // response would look complete to it (RULES.md, MIXED). The connection is reset instead.
        let is_aborted = result.is_err_and(|error| error.is_user());
        reset_on_drop.set(lacks_chunked_encoding.get() && is_aborted);
    }

    /// Completes when a connection may be closed between two requests because of the shutdown.
    async fn wait_until_closable(&self, has_received_request: &Cell<bool>) {
        let mut shutdown = self.shutdown.subscribe();
        // The sender lives as long as the frontend.
        let _ = shutdown.wait_for(|is_shut_down| *is_shut_down).await;
        if !has_received_request.get() {
            sleep(FIRST_REQUEST_TIMEOUT).await;
        }
    }
}
