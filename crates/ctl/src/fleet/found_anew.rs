//! `mossheadctl fleet found-anew`: a new epoch of the control nodes that are left.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::bail;
use clap::Args;
use serde_json::Value;

use super::ControlNodes;
use crate::json_call::{self, JsonResponse};
use crate::outcome::Outcome;

/// The resource of a control node that founds the fleet anew.
const FOUNDING_PATH: &str = "/Fleet.FoundAnew";
const STATUS_PATH: &str = "/Fleet.Status";
/// Within this the founder is primary, or something is wrong.
const FOUNDING_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Says what founding anew would do, and does it with `--yes`. Exit code 1 where no control node may.
#[derive(Args)]
pub(super) struct FoundAnew {
    #[command(flatten)]
    control_nodes: ControlNodes,
    /// Found the fleet anew. What only the lost disks had is lost.
    #[arg(long)]
    yes: bool,
}

/// A control node that may found the fleet anew, and what it would do.
struct Founder {
    address: SocketAddr,
    plan: Value,
}

impl FoundAnew {
    pub(super) fn run(&self) -> anyhow::Result<Outcome> {
        let Some(founder) = find_founder(&self.control_nodes.resolve()?) else {
            println!("no control node may found the fleet anew; nothing was done");
            return Ok(Outcome::Failed);
        };
        founder.print_plan();
        if !self.yes {
            println!("nothing was done; --yes founds the fleet anew");
            return Ok(Outcome::Passed);
        }
        founder.found_anew()?;
        founder.await_primary()
    }
}

/// The control node that knows the newest state, of those that may found anew. What the others say is printed.
fn find_founder(addresses: &[SocketAddr]) -> Option<Founder> {
    let founders =
        addresses.iter().filter_map(|&address| match json_call::call(address, "GET", FOUNDING_PATH) {
            Ok(JsonResponse { status: 200, body }) => Some(Founder { address, plan: body }),
            Ok(JsonResponse { body, .. }) => {
                println!("{address}: refused: {}", body["reason"].as_str().unwrap_or("no reason given"));
                None
            }
            Err(error) => {
                println!("{address}: {error:#}");
                None
            }
        });
    founders.max_by_key(|founder| founder.plan["revision"].as_f64().map(|revision| revision as u64))
}

impl Founder {
    fn print_plan(&self) {
        let addresses = |name: &str| {
            let listed = self.plan[name].as_array().into_iter().flatten().filter_map(Value::as_str);
            listed.collect::<Vec<_>>().join(", ")
        };
        println!("founder: {}", self.address);
        println!("members of the new epoch: {}", addresses("members"));
        println!("lost: {}", addresses("lost"));
        match self.plan["revision"].as_f64() {
            Some(revision) => println!(
                "newest revision known to the founder: {revision:.0}; a newer one that only the lost nodes had is lost"
            ),
            None => println!("no configuration is known to the founder: it starts without one"),
        }
    }

    fn found_anew(&self) -> anyhow::Result<()> {
        let JsonResponse { status, body } = json_call::call(self.address, "POST", FOUNDING_PATH)?;
        if status != 200 {
            bail!("refused: {}", body["reason"].as_str().unwrap_or("no reason given"));
        }
        Ok(())
    }

    /// Waits until the founder speaks for the group.
    fn await_primary(&self) -> anyhow::Result<Outcome> {
        let start = Instant::now();
        while start.elapsed() < FOUNDING_TIMEOUT {
            let status = json_call::get(self.address, STATUS_PATH)?;
            if status["members"].as_array().is_some_and(|members| !members.is_empty()) {
                let number = |name: &str| status[name].as_f64().unwrap_or(0.0);
                println!("founded anew: term {:.0}, revision {:.0}", number("term"), number("revision"));
                return Ok(Outcome::Passed);
            }
            thread::sleep(POLL_INTERVAL);
        }
        println!("{} is not primary after {FOUNDING_TIMEOUT:?}", self.address);
        Ok(Outcome::Failed)
    }
}
