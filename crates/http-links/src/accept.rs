//! Accepted connections.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// The pause after a failed accept: without a free file descriptor it would fail at once, again and again.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Waits for the next connection; failures are retried after a pause.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}
