//! Scenarios: built in by name, or from a file.

use std::path::Path;

use clap::Args;
use mosshead_world::scenario::Scenario;

use crate::outcome::{Outcome, UsageError};

/// The scenarios of `scenarios/`, by name.
const BUILT_IN: [(&str, &str); 47] = [
    ("calm", include_str!("../../../scenarios/calm.toml")),
    ("churn", include_str!("../../../scenarios/churn.toml")),
    ("cold-fleet", include_str!("../../../scenarios/cold-fleet.toml")),
    ("fast-errors", include_str!("../../../scenarios/fast-errors.toml")),
    ("hang", include_str!("../../../scenarios/hang.toml")),
    ("late-reports", include_str!("../../../scenarios/late-reports.toml")),
    ("long", include_str!("../../../scenarios/long.toml")),
    ("loopback", include_str!("../../../scenarios/loopback.toml")),
    ("minute", include_str!("../../../scenarios/minute.toml")),
    ("neighbour", include_str!("../../../scenarios/neighbour.toml")),
    ("orders-agent", include_str!("../../../scenarios/orders-agent.toml")),
    ("orders-brim", include_str!("../../../scenarios/orders-brim.toml")),
    ("orders-calm", include_str!("../../../scenarios/orders-calm.toml")),
    ("orders-crash", include_str!("../../../scenarios/orders-crash.toml")),
    ("orders-heavy", include_str!("../../../scenarios/orders-heavy.toml")),
    ("orders-neighbour", include_str!("../../../scenarios/orders-neighbour.toml")),
    ("orders-rolling", include_str!("../../../scenarios/orders-rolling.toml")),
    ("orders-stalls", include_str!("../../../scenarios/orders-stalls.toml")),
    ("resets", include_str!("../../../scenarios/resets.toml")),
    ("restarts", include_str!("../../../scenarios/restarts.toml")),
    ("small-instances", include_str!("../../../scenarios/small-instances.toml")),
    ("spoilt", include_str!("../../../scenarios/spoilt.toml")),
    ("stale-discovery", include_str!("../../../scenarios/stale-discovery.toml")),
    ("surge", include_str!("../../../scenarios/surge.toml")),
    ("wide", include_str!("../../../scenarios/wide.toml")),
    ("back-ahead", include_str!("../../../scenarios/back-ahead.toml")),
    ("back-blind", include_str!("../../../scenarios/back-blind.toml")),
    ("back-cut", include_str!("../../../scenarios/back-cut.toml")),
    ("back-herd", include_str!("../../../scenarios/back-herd.toml")),
    ("back-jam", include_str!("../../../scenarios/back-jam.toml")),
    ("back-lost", include_str!("../../../scenarios/back-lost.toml")),
    ("back-overbooked", include_str!("../../../scenarios/back-overbooked.toml")),
    ("back-paused", include_str!("../../../scenarios/back-paused.toml")),
    ("back-restored", include_str!("../../../scenarios/back-restored.toml")),
    ("back-rough", include_str!("../../../scenarios/back-rough.toml")),
    ("back-twice", include_str!("../../../scenarios/back-twice.toml")),
    ("back-clock", include_str!("../../../scenarios/back-clock.toml")),
    ("back-early", include_str!("../../../scenarios/back-early.toml")),
    ("back-crash", include_str!("../../../scenarios/back-crash.toml")),
    ("back-former", include_str!("../../../scenarios/back-former.toml")),
    ("back-image", include_str!("../../../scenarios/back-image.toml")),
    ("back-mute", include_str!("../../../scenarios/back-mute.toml")),
    ("back-oversized", include_str!("../../../scenarios/back-oversized.toml")),
    ("back-replaced", include_str!("../../../scenarios/back-replaced.toml")),
    ("back-spoilt", include_str!("../../../scenarios/back-spoilt.toml")),
    ("back-unsized", include_str!("../../../scenarios/back-unsized.toml")),
    ("back-zone", include_str!("../../../scenarios/back-zone.toml")),
];

/// Lists the scenarios that are built in, or prints one.
#[derive(Args)]
pub(crate) struct Scenarios {
    /// The one to print, to be changed and played from a file.
    name: Option<String>,
}

impl Scenarios {
    pub(crate) fn run(&self) -> anyhow::Result<Outcome> {
        match &self.name {
            Some(name) => print!("{}", read_text(name)?),
            None => {
                for (name, text) in BUILT_IN {
                    println!("{name:16} {}", Scenario::read(text)?.description);
                }
            }
        }
        Ok(Outcome::Passed)
    }
}

fn read_text(name: &str) -> anyhow::Result<String> {
    if let Some((_, text)) = BUILT_IN.iter().find(|(known, _)| *known == name) {
        return Ok((*text).to_owned());
    }
    let path = Path::new(name);
    if path.extension().is_none() && !path.exists() {
        let known: Vec<&str> = BUILT_IN.iter().map(|(name, _)| *name).collect();
        let error = format!("no scenario {name:?}: name a TOML file, or one of {}", known.join(", "));
        return Err(UsageError(error).into());
    }
    Ok(std::fs::read_to_string(path).map_err(|error| UsageError(format!("{name}: {error}")))?)
}

/// Reads a scenario, built in or from a file. An error names the file.
pub(crate) fn read(name: &str) -> anyhow::Result<Scenario> {
    Ok(Scenario::read(&read_text(name)?).map_err(|error| UsageError(format!("{name}: {error}")))?)
}
