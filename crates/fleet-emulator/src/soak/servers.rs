//! The model servers of a soak: they leave, crash, and are replaced.

use std::rc::Rc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::configuration::PLAIN_SERVICE;
use crate::error::FleetEmulatorError;
use crate::model_server::{ModelServer, ServerEnvironment, ServerRole, ServerStage};

/// The servers of a small fleet; a large one has some times as many.
const ROLES: [ServerRole; 10] = [
    ServerRole::Prompts(ServerStage::Prefill),
    ServerRole::Prompts(ServerStage::Prefill),
    ServerRole::Prompts(ServerStage::Decode),
    ServerRole::Prompts(ServerStage::Decode),
    ServerRole::Prompts(ServerStage::Decode),
    ServerRole::Prompts(ServerStage::Decode),
    ServerRole::Plain(PLAIN_SERVICE),
    ServerRole::Plain(PLAIN_SERVICE),
    ServerRole::Plain(PLAIN_SERVICE),
    ServerRole::Plain(PLAIN_SERVICE),
];
/// So many proxies need the servers of a small fleet.
const PROXIES_PER_SET: usize = 40;
/// Of 100 servers that take another one's place, so many begin at the other stage, so that the fleet has to order changes.
const OTHER_STAGE_PERCENT: u32 = 40;
/// The pause after a crash until the next server starts.
const CRASH_PAUSE: Duration = Duration::from_millis(400);

/// The running servers.
pub(super) struct Servers {
    environment: ServerEnvironment,
    running: Vec<Rc<ModelServer>>,
    /// Servers so far; each has an address of its own.
    started: usize,
    random: Pcg64Mcg,
}

impl Servers {
    /// Starts the servers for so many proxies.
    pub(super) async fn start(
        environment: ServerEnvironment,
        proxies: usize,
        seed: u64,
    ) -> Result<Servers, FleetEmulatorError> {
        let random = Pcg64Mcg::seed_from_u64(seed);
        let mut servers = Servers { environment, running: Vec::new(), started: 0, random };
        for role in ROLES.repeat(proxies.div_ceil(PROXIES_PER_SET)) {
            servers.add(role).await?;
        }
        Ok(servers)
    }

    /// A server drains and leaves while another one takes its place.
    pub(super) async fn replace(&mut self) -> Result<(), FleetEmulatorError> {
        let leaving = self.remove_any();
        let role = self.draw_successor(leaving.role());
        self.add(role).await?;
        tokio::task::spawn_local(leaving.shut_down());
        Ok(())
    }

    /// A server ends without a word; another one takes its place after a pause.
    pub(super) async fn crash(&mut self) -> Result<(), FleetEmulatorError> {
        let crashing = self.remove_any();
        crashing.end();
        tokio::time::sleep(CRASH_PAUSE).await;
        let role = self.draw_successor(crashing.role());
        self.add(role).await
    }

    /// What the server that takes the place of another one does.
    fn draw_successor(&mut self, role: ServerRole) -> ServerRole {
        let is_other = self.random.random_range(0..100) < OTHER_STAGE_PERCENT;
        match role {
            ServerRole::Prompts(ServerStage::Prefill) if is_other => ServerRole::Prompts(ServerStage::Decode),
            ServerRole::Prompts(ServerStage::Decode) if is_other => ServerRole::Prompts(ServerStage::Prefill),
            unchanged => unchanged,
        }
    }

    fn remove_any(&mut self) -> Rc<ModelServer> {
        let position = self.random.random_range(0..self.running.len());
        self.running.swap_remove(position)
    }

    async fn add(&mut self, role: ServerRole) -> Result<(), FleetEmulatorError> {
        let number = self.started;
        self.started += 1;
        let server = ModelServer::start(number, number as u64, role, self.environment.clone()).await?;
        self.running.push(server);
        Ok(())
    }
}
