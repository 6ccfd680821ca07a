//! The readiness endpoint for the platform's health check, and the status endpoint for operators.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use mosshead_http_links::accept;
use mosshead_time::Duration;
use tokio::net::TcpListener;

const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Answers `GET /readiness` with 200 or 503 (PROTOCOL.md, Ingress), and `GET /status` with the result of `status`,
/// until the future is dropped. It must be polled within a `LocalSet`.
pub async fn serve_readiness<S>(listener: TcpListener, is_ready: impl Fn() -> bool + 'static, status: S)
where
    S: Fn() -> String + 'static,
{
    let (is_ready, status) = (Rc::new(is_ready), Rc::new(status));
    loop {
        let stream = accept(&listener).await;
        let (is_ready, status) = (is_ready.clone(), status.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| respond(request, is_ready.clone(), status.clone()));
            let connection = Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            let _ = connection.await;
        });
    }
}

fn respond<B, S: Fn() -> String>(
    request: Request<B>,
    is_ready: Rc<impl Fn() -> bool>,
    status: Rc<S>,
) -> impl Future<Output = Result<Response<Full<Bytes>>, Infallible>> {
    let (code, body) = match request.uri().path() {
        "/readiness" if is_ready() => (StatusCode::OK, String::new()),
        "/readiness" => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        "/status" => (StatusCode::OK, status()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = code;
    std::future::ready(Ok(response))
}
