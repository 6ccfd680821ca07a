//! Accepts TCP connections.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// The delay after a failed accept. Without it the loop would spin while no file descriptor is free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Waits for the next connection. A failed accept is retried after a delay.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}
