//! Accepts and serves clients' connections.

use std::cell::Cell;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use mosshead_http_links::{CountGuard, MAX_HEADERS, accept};
use mosshead_time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::sleep;

use crate::client_stream::{ClientStream, ClientStreamHook};
use crate::data_plane::DataPlane;
use crate::guarded_body::GuardedBody;
use crate::head_timer::{HeadTimer, reject_late_head};
use crate::response::{ResponseAborted, ResponseBody};

/// The maximum number of open client connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 2600;
/// The minimum size of a connection's buffer. A head has to fit into the buffer, which keeps its size when the
/// configuration changes.
const MIN_BUFFER_BYTES: usize = 64 * 1024;
/// What a buffer has room for beside the longest head.
const BUFFER_MARGIN_BYTES: usize = 8 * 1024;
/// The idle timeout of connections while no configuration is in force.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// After the shutdown has begun, a connection that has carried no request yet is closed after this time: its first
/// request may be on its way.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// The lower bound of the configured idle timeout.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// After its stream was aborted, a connection is closed after this time. Until then the client may read the events that
/// were queued for it.
const ABORT_LINGER: Duration = Duration::from_millis(250);

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

    /// The size of a new connection's buffer.
    fn buffer_bytes(&self) -> usize {
        let max_header_bytes = self.data_plane.config().map_or(0, |config| config.limits().max_header_bytes);
        max_header_bytes.saturating_add(BUFFER_MARGIN_BYTES).max(MIN_BUFFER_BYTES)
    }

    fn header_timeout(&self) -> Duration {
        let config = self.data_plane.config();
        config.map_or(DEFAULT_IDLE_TIMEOUT, |config| config.limits().header_timeout)
    }

    async fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let data_plane = self.data_plane.clone();
        let state = Rc::new(ConnectionState::default());
        let service = service_fn({
            let state = state.clone();
            move |request: Request<Incoming>| {
                let (data_plane, state) = (data_plane.clone(), state.clone());
                async move {
                    let under_way = Rc::new(state.begin_request());
                    let has_chunked_encoding = request.version() >= Version::HTTP_11;
                    let response = data_plane.handle_request(request, under_way.clone()).await?;
                    state.watch_response(&response, has_chunked_encoding);
                    Ok::<_, ResponseAborted>(response.map(|body| GuardedBody::new(body, under_way)))
                }
            }
        });
        let hook = ClientStreamHook {
            head_timer: state.head_timer.clone(),
            reset_on_drop: state.reset_on_drop.clone(),
        };
        let mut connection = Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.idle_timeout())
            .max_buf_size(self.buffer_bytes())
            .max_headers(MAX_HEADERS)
            .serve_connection(TokioIo::new(ClientStream::new(stream, hook)), service);
        let served = async {
            tokio::select! {
                biased;
                result = &mut connection => result,
                () = self.wait_until_closable(&state.has_received_request) => {
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                    (&mut connection).await
                }
            }
        };
        let end = tokio::select! {
            biased;
            result = served => ConnectionEnd::Closed(result),
            () = state.wait_until_cut_off() => ConnectionEnd::CutOff,
            () = state.head_timer.wait_until_late(|| self.header_timeout()) => ConnectionEnd::HeadTimedOut,
        };
        match end {
            ConnectionEnd::Closed(Ok(())) => state.reset_on_drop.set(false),
            ConnectionEnd::Closed(Err(error)) if error.is_parse_too_large() => {
                self.data_plane.counters.oversized_heads.increment();
            }
            ConnectionEnd::Closed(Err(_)) | ConnectionEnd::CutOff => {}
            ConnectionEnd::HeadTimedOut => {
                self.data_plane.counters.late_heads.increment();
                reject_late_head(connection.into_parts().io.into_inner()).await;
            }
        }
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

/// How the service of a connection ended.
enum ConnectionEnd {
    /// It was closed regularly, or by an error.
    Closed(Result<(), hyper::Error>),
    /// The current response was aborted.
    CutOff,
    /// The head of a request did not arrive in time.
    HeadTimedOut,
}

/// What is known about a client's connection and its current response.
#[derive(Default)]
struct ConnectionState {
    has_received_request: Cell<bool>,
    head_timer: Rc<HeadTimer>,
    /// True while a stream is under way to a client without chunked encoding. It takes the end of the connection for the
    /// end of the body, so an incomplete response would look complete (RULES.md, MIXED), however the connection ends.
    reset_on_drop: Rc<Cell<bool>>,
    /// Notified when the stream of the current response is aborted.
    aborted: Rc<Notify>,
}

impl ConnectionState {
    /// Records that the head of a request is complete. The request is under way until the guard is dropped.
    fn begin_request(&self) -> CountGuard {
        self.has_received_request.set(true);
        self.head_timer.begin_request()
    }

    fn watch_response(&self, response: &Response<ResponseBody>, has_chunked_encoding: bool) {
        let stream = match response.body() {
            ResponseBody::Streaming(stream) => Some(stream),
            ResponseBody::Buffered(_) => None,
        };
        self.reset_on_drop.set(stream.is_some() && !has_chunked_encoding);
        if let Some(stream) = stream {
            stream.notify_on_abort(&self.aborted);
        }
    }

    /// Completes when the current response was aborted and its client has not read what was queued for it in time.
    async fn wait_until_cut_off(&self) {
        self.aborted.notified().await;
        sleep(ABORT_LINGER).await;
    }
}
