//! What a day does to the processes of proxies that run.

use std::rc::Rc;
use std::time::{Duration, Instant};

use mosshead_world::{Input, Time};
use rustix::process::Signal;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::config_file::write_config;
use super::launch::start;
use crate::harness::Harness;
use crate::proxy_links::{ProcessEvent, ProcessSignal};

/// A proxy ends this long after the longest deadline at the latest.
const SHUTDOWN_SLACK: Time = Time::from_millis(700);
/// How often it is looked whether a process has ended.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(5);

fn signal(harness: &Harness, proxy: usize, signal: ProcessSignal) {
    harness.proxies.signal(proxy, signal);
    harness.links.on_process_event(proxy, ProcessEvent::Signalled(signal));
}

/// SIGSTOP: the process is suspended, and is not notified of that.
pub(crate) fn suspend(harness: &Harness, proxy: usize) {
    signal(harness, proxy, ProcessSignal::Suspend);
}

/// SIGCONT: the process goes on.
pub(crate) fn resume(harness: &Harness, proxy: usize) {
    signal(harness, proxy, ProcessSignal::Resume);
}

/// SIGTERM: the proxy is to complete the requests in flight, and to exit with 0.
pub(crate) fn terminate(harness: &Harness, proxy: usize) {
    harness.proxies.request_stop(proxy);
    signal(harness, proxy, ProcessSignal::Terminate);
}

/// SIGKILL: the referee excuses the requests that the proxy had in flight.
pub(crate) fn kill(harness: &Rc<Harness>, proxy: usize) {
    harness.proxies.request_stop(proxy);
    // The world is notified before the signal: what clients see of the end is an effect of the day, not of the proxy.
    harness.apply(Input::ProxyStopped { proxy });
    signal(harness, proxy, ProcessSignal::Kill);
}

/// Starts a proxy again; a process that should have ended by now is killed.
pub(crate) fn restart(harness: &Rc<Harness>, proxy: usize) {
    if harness.proxies.is_running(proxy) {
        kill_overdue(harness, proxy);
    }
    let harness = harness.clone();
    spawn_local(async move {
        while harness.proxies.is_running(proxy) {
            sleep(END_CHECK_INTERVAL).await;
        }
        match start(&harness, proxy).await {
            Ok(()) => harness.apply(Input::ProxyStarted { proxy }),
            Err(_) => harness.report_misbehaviour(proxy, "it did not get ready after a restart"),
        }
    });
}

/// Writes a new configuration, and sends SIGHUP.
pub(crate) fn reload(harness: &Harness, proxy: usize) {
    if write_config(harness, proxy).is_ok() {
        harness.proxies.send_signal(proxy, Signal::HUP);
    }
}

fn kill_overdue(harness: &Harness, proxy: usize) {
    harness.report_misbehaviour(proxy, "it did not end in time after SIGTERM");
    harness.proxies.signal(proxy, ProcessSignal::Kill);
}

/// The day is over: every process that still runs is terminated, and its end is awaited.
pub(crate) async fn shut_down_all(harness: &Rc<Harness>) {
    let proxies = &harness.proxies;
    proxies.is_day_over.set(true);
    let longest_deadline =
        harness.with_world(|world| world.scenario().classes.iter().map(|class| class.deadline).max());
    let shutdown_timeout = Duration::from_micros((longest_deadline.unwrap_or_default() + SHUTDOWN_SLACK).0);
    for proxy in 0..proxies.count() {
        // A suspended process does not receive SIGTERM before it is resumed.
        proxies.signal(proxy, ProcessSignal::Resume);
        terminate(harness, proxy);
    }
    let until = Instant::now() + shutdown_timeout;
    for proxy in 0..proxies.count() {
        while proxies.is_running(proxy) {
            if Instant::now() > until {
                kill_overdue(harness, proxy);
                break;
            }
            sleep(END_CHECK_INTERVAL).await;
        }
        let supervisor = proxies.processes.borrow_mut()[proxy].supervisor.take();
        if let Some(supervisor) = supervisor {
            // A supervisor neither panics nor is aborted, and a killed process ends.
            let _ = supervisor.await;
        }
    }
}
