//! An ejected server is readmitted by a single trial request. The trial must end however its request ends: a trial that
//! stays open when its client disconnects would keep the server out forever.

mod common;

use std::cell::Cell;
use std::rc::Rc;

use common::{
    Behavior, NOT_RESUMABLE, Proxy, ReceivedRequest, SEAL, StubServer, events, handle_response, not_executed,
    run,
};
use mosshead_registry::Stage;
use mosshead_time::Duration;
use tokio::time::sleep;

/// After this time the first ejection of a server is over.
const EJECTION: Duration = Duration::from_millis(520);

/// A proxy with two prefill and two decode servers.
struct Fleet {
    proxy: Proxy,
    prefill: [Rc<StubServer>; 2],
    decode: [Rc<StubServer>; 2],
    /// While set, prefill servers never respond.
    prefill_hangs: Rc<Cell<bool>>,
}

impl Fleet {
    /// Starts a fleet in which one server of the stage is ejected and due for a trial. It was ejected because it
    /// rejected the stage's first request with 421.
    async fn with_ejected(stage: Stage) -> Self {
        let prefill_hangs = Rc::new(Cell::new(false));
        let (is_first, ejected_stage) = (Rc::new(Cell::new(true)), stage);
        let script = |stage: Stage| {
            let (is_first, hangs) = (is_first.clone(), prefill_hangs.clone());
            move |_: &ReceivedRequest| {
                if stage == ejected_stage && is_first.replace(false) {
                    return not_executed(421);
                }
                match stage {
                    Stage::Prefill if hangs.get() => Behavior::Hang,
                    Stage::Prefill => handle_response(),
                    Stage::Decode => Behavior::Stream { ids: 1..=2, seal: SEAL, breaks_off: false },
                }
            }
        };
        let start = |id: &'static str, stage: Stage| StubServer::start(id, "llm", Some(stage), script(stage));
        let prefill = [start("p-1", Stage::Prefill).await, start("p-2", Stage::Prefill).await];
        let decode = [start("d-1", Stage::Decode).await, start("d-2", Stage::Decode).await];
        let stubs = [&prefill[0], &prefill[1], &decode[0], &decode[1]];
        let proxy = Proxy::with_servers(1, &stubs.map(|stub| &stub.server)).await;
        let fleet = Self { proxy, prefill, decode, prefill_hangs };
        fleet.complete_prompt().await;
        sleep(EJECTION).await;
        fleet
    }

    async fn complete_prompt(&self) {
        let response = self.proxy.post_prompt(NOT_RESUMABLE, &[]).await;
        assert_eq!((response.status, response.body.as_str()), (200, events(1..=2).as_str()));
    }

    /// Sends a prompt whose client disconnects during the prefill.
    async fn disconnect_during_prefill(&self) {
        self.prefill_hangs.set(true);
        let received = self.prefill_requests();
        tokio::select! {
            _ = self.proxy.post_prompt(NOT_RESUMABLE, &[]) => panic!("unexpected response"),
            () = self.wait_for_prefill_after(received) => {}
        }
        self.prefill_hangs.set(false);
        sleep(Duration::from_millis(20)).await;
    }

    fn prefill_requests(&self) -> usize {
        self.prefill.iter().map(|stub| count_requests(stub)).sum()
    }

    async fn wait_for_prefill_after(&self, received: usize) {
        while self.prefill_requests() == received {
            sleep(Duration::from_millis(1)).await;
        }
    }
}

/// The number of clients' requests that the server received; calls that free handles don't count.
fn count_requests(stub: &StubServer) -> usize {
    stub.received().iter().filter(|request| request.method != "DELETE").count()
}

/// Sends prompts; true if each of the servers gets a request for at least one of them.
async fn all_get_requests(fleet: &Fleet, servers: &[Rc<StubServer>; 2]) -> bool {
    let before = [count_requests(&servers[0]), count_requests(&servers[1])];
    for _ in 0..40 {
        fleet.complete_prompt().await;
    }
    servers.iter().zip(before).all(|(server, before)| count_requests(server) > before)
}

#[test]
fn an_ejected_prefill_server_is_readmitted_after_the_client_of_its_trial_disconnected() {
    run(async {
        let fleet = Fleet::with_ejected(Stage::Prefill).await;
        for _ in 0..10 {
            fleet.disconnect_during_prefill().await;
        }
        assert!(all_get_requests(&fleet, &fleet.prefill).await);
    });
}

#[test]
fn an_ejected_decode_server_is_readmitted_after_the_client_of_its_trial_disconnected_during_the_prefill() {
    run(async {
        let fleet = Fleet::with_ejected(Stage::Decode).await;
        for _ in 0..10 {
            fleet.disconnect_during_prefill().await;
        }
        assert!(all_get_requests(&fleet, &fleet.decode).await);
    });
}

#[test]
fn an_ejected_server_is_readmitted_after_a_completed_trial() {
    run(async {
        for stage in [Stage::Prefill, Stage::Decode] {
            let fleet = Fleet::with_ejected(stage).await;
            let servers = if stage == Stage::Prefill { &fleet.prefill } else { &fleet.decode };
            assert!(all_get_requests(&fleet, servers).await, "{stage:?}");
        }
    });
}
