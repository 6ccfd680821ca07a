//! Waits until the proxies serve.

use std::time::Duration;

use hyper::StatusCode;
use tokio::time::{Instant, sleep};

use crate::error::FleetEmulatorError;
use crate::http::exchange;
use crate::machines::Ports;

/// Within this the proxies are ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Waits until each of so many proxies says that it is ready.
///
/// # Errors
///
/// One is not ready in time.
pub(crate) async fn wait_until_ready(ports: &Ports, proxies: usize) -> Result<(), FleetEmulatorError> {
    let deadline = Instant::now() + START_TIMEOUT;
    for proxy in 0..proxies {
        let to = ports.readiness_of(proxy);
        loop {
            let response = exchange(to, "GET", "/readiness", &[], "", CALL_TIMEOUT).await;
            if response.is_some_and(|(status, _)| status == StatusCode::OK) {
                break;
            }
            if Instant::now() > deadline {
                return Err(FleetEmulatorError::NotReady("a proxy is not ready"));
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}
