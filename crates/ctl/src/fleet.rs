//! `mossheadctl fleet`: what an operator asks of a router fleet as a whole, and a fleet on loopback to try it on.

mod chart;
mod emulate;
mod found_anew;
mod memory;
mod soak;
mod status;
mod view;

use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::Context;
use clap::{Args, Subcommand};

use crate::outcome::{Outcome, UsageError};

/// The setting that names control nodes, in the settings file of any process of the fleet.
const SEED_SETTING: &str = "seed_nodes";

/// Looks at a router fleet as a whole, founds one anew, and plays one on loopback.
#[derive(Args)]
pub(crate) struct Fleet {
    #[command(subcommand)]
    command: FleetCommand,
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Members, holders of the state, versions in force, servers and stages, and whether one more machine may be lost.
    Status(status::Status),
    /// Plays a fleet of real processes on loopback, amid model servers and clients.
    Emulate(emulate::Emulate),
    /// Measures the memory of a proxy on loopback under mixes of long bodies, slow readers and stalled senders.
    Memory(memory::Memory),
    /// Plays a fleet of real processes on loopback under overlapping signals, restarts and changes, and checks the rules.
    Soak(soak::Soak),
    /// Founds the fleet anew after a majority of its control nodes was lost with their disks.
    FoundAnew(found_anew::FoundAnew),
}

impl Fleet {
    pub(crate) fn run(&self) -> anyhow::Result<Outcome> {
        match &self.command {
            FleetCommand::Status(command) => command.run(),
            FleetCommand::Emulate(command) => command.run(),
            FleetCommand::Memory(command) => command.run(),
            FleetCommand::Soak(command) => command.run(),
            FleetCommand::FoundAnew(command) => command.run(),
        }
    }
}

/// Which control nodes are called.
#[derive(Args)]
struct ControlNodes {
    /// The `control_plane` address of a control node; more than one may be given.
    #[arg(long = "at", value_name = "ADDRESS")]
    addresses: Vec<SocketAddr>,
    /// The settings file of any process of the fleet: its seeds are called.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
}

impl ControlNodes {
    /// The addresses that are named, each once.
    fn resolve(&self) -> anyhow::Result<Vec<SocketAddr>> {
        let mut addresses = self.addresses.clone();
        if let Some(path) = &self.settings {
            let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
            addresses.extend(seeds_of(&text)?);
        }
        addresses.sort_unstable();
        addresses.dedup();
        if addresses.is_empty() {
            return Err(UsageError("no control node is named: --at or --settings".to_owned()).into());
        }
        Ok(addresses)
    }
}

/// The seeds that a settings file names.
fn seeds_of(settings: &str) -> anyhow::Result<Vec<SocketAddr>> {
    let line =
        settings.lines().filter_map(|line| line.split_once('=')).find(|(key, _)| key.trim() == SEED_SETTING);
    let seeds = line.map_or("", |(_, value)| value).split(',').map(str::trim).filter(|seed| !seed.is_empty());
    seeds.map(|seed| seed.parse().with_context(|| format!("{SEED_SETTING}: {seed}"))).collect()
}
