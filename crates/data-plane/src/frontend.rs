//! Where clients come in, and where the platform asks whether a proxy is ready.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Duration, sleep};

use crate::client_stream::ClientStream;
use crate::data_plane::DataPlane;

/// Clients' connections at once.
const MOST: usize = 2600;
/// The most of a head.
const HEAD: usize = 64 * 1024;

/// The door for clients.
pub struct Frontend {
    data_plane: Rc<DataPlane>,
    open: Rc<Cell<usize>>,
    close: watch::Sender<bool>,
}

impl Frontend {
    /// A door to this data plane.
    pub fn new(data_plane: Rc<DataPlane>) -> Rc<Self> {
        Rc::new(Self { data_plane, open: Rc::default(), close: watch::Sender::new(false) })
    }

    /// Connections of clients.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Lets the answers under way end and closes the connections that wait.
    pub fn shut_down(&self) {
        self.close.send_replace(true);
    }

    /// Takes connections for as long as it is polled.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.open.get() < MOST => {
                    let door = self.clone();
                    door.open.set(door.open.get() + 1);
                    tokio::task::spawn_local(async move {
                        door.connection(stream).await;
                        door.open.set(door.open.get().saturating_sub(1));
                    });
                }
                Ok(_) => {}
                // Danger: out of descriptors, accept fails at once, again and again.
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        }
    }

    async fn connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let idle = self
            .data_plane
            .config()
            .map_or(Duration::from_secs(15), |config| config.limits.idle_timeout.max(Duration::from_secs(3)));
        let data_plane = self.data_plane.clone();
        let (resets, without_chunks) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
        let told = without_chunks.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            told.set(request.version() < Version::HTTP_11);
            data_plane.clone().answer(request)
        });
        let stream = ClientStream::new(stream, resets.clone());
        let connection = Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .max_buf_size(HEAD)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut close = self.close.subscribe();
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            _ = close.wait_for(|close| *close) => {
                connection.as_mut().graceful_shutdown();
                connection.as_mut().await
            }
        };
        // Danger: to a client that knows no chunks the end of the connection is the end of the body, and what was cut
        // off would look complete.
        resets.set(without_chunks.get() && ended.is_err_and(|fault| fault.is_user()));
    }
}

/// Answers the platform's `GET /readiness`, and `GET /status` with what `status` says.
pub async fn serve_readiness<S>(listener: TcpListener, ready: impl Fn() -> bool + 'static, status: S)
where
    S: Fn() -> String + 'static,
{
    let (ready, status) = (Rc::new(ready), Rc::new(status));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let (ready, status) = (ready.clone(), status.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| says(request, ready.clone(), status.clone()));
            let connection = Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs(20))
                .serve_connection(TokioIo::new(stream), service);
            let _ = connection.await;
        });
    }
}

fn says<B, S: Fn() -> String>(
    request: Request<B>,
    ready: Rc<impl Fn() -> bool>,
    status: Rc<S>,
) -> impl Future<Output = Result<Response<Full<Bytes>>, Infallible>> {
    let (code, body) = match request.uri().path() {
        "/readiness" if ready() => (StatusCode::OK, String::new()),
        "/readiness" => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        "/status" => (StatusCode::OK, status()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = code;
    std::future::ready(Ok(response))
}
