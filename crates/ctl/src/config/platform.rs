//! The platform that a site is checked against.

use std::io::{self, Read};
use std::path::{Path, PathBuf};

use clap::Args;
use mosshead_site::{Files, Platform, PlatformServer, RequestClass};
use mosshead_world::{ListEntry, Time, World};
use serde_json::{Value, json};

use crate::outcome::UsageError;
use crate::scenarios;

/// The scenario whose platform is taken where no configuration is given.
const DEFAULT_SCENARIO: &str = "calm";

/// What a site is checked against, and as whom it is read.
#[derive(Args)]
pub(super) struct PlatformOptions {
    /// A proxy's configuration, for the platform's classes, tenants, zones and servers; without it, those of
    /// the scenario `calm`.
    #[arg(long)]
    platform: Option<PathBuf>,
    /// The instance that reads the site.
    #[arg(long, default_value = "n0")]
    pub(super) instance: String,
    /// One JSON object.
    #[arg(long)]
    pub(super) json: bool,
}

impl PlatformOptions {
    /// The platform, and the zone of the instance.
    pub(super) fn read(&self) -> anyhow::Result<(Platform, String)> {
        let config = match &self.platform {
            Some(path) => read_config(path)?,
            None => default_config()?,
        };
        let platform = parse_platform(&config);
        if platform.classes.is_empty() {
            let error = "--platform: no `settings.classes` in that file";
            return Err(UsageError(error.to_owned()).into());
        }
        Ok((platform, text(&config["settings"]["zone"])))
    }
}

fn read_config(path: &Path) -> Result<Value, UsageError> {
    let usage_error = |error: &dyn std::fmt::Display| UsageError(format!("{}: {error}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| usage_error(&error))?;
    serde_json::from_str(&text).map_err(|error| usage_error(&error))
}

/// The configuration of a proxy of the default scenario, as far as it is read here.
fn default_config() -> anyhow::Result<Value> {
    let world = World::new(&scenarios::read(DEFAULT_SCENARIO)?, 1);
    let server = |shown: &ListEntry| {
        let (traits, scenario) = (world.server_traits(shown.server), world.scenario());
        json!({
            "id": format!("s-{}", shown.server.0),
            "zone": scenario.zones[traits.zone],
            "kind": scenario.kinds[traits.kind].name,
        })
    };
    let servers: Vec<Value> = world.current_list().entries.iter().map(server).collect();
    let settings = mosshead_simulate::proxy_settings::to_json(&world, 0);
    Ok(json!({"settings": settings, "known": {"servers": servers}}))
}

/// Reads what is there of a configuration; what is missing is empty.
fn parse_platform(config: &Value) -> Platform {
    let settings = &config["settings"];
    let class = |class: &Value| RequestClass {
        name: text(&class["name"]),
        deadline: Time::from_seconds(class["deadline_s"].as_f64().unwrap_or_default()),
        may_execute_twice: class["effect"] == "free",
    };
    let server = |server: &Value| PlatformServer {
        zone: text(&server["zone"]),
        kind: text(&server["kind"]),
        id: text(&server["id"]),
    };
    Platform {
        classes: items(&settings["classes"]).map(class).collect(),
        tenants: items(&settings["tenants"]).map(|tenant| text(&tenant["name"])).collect(),
        zones: items(&settings["zones"]).map(text).collect(),
        kinds: items(&settings["machine_types"]).map(text).collect(),
        servers: items(&config["known"]["servers"]).map(server).collect(),
        max_attempts: settings["limits"]["send_cap"].as_u64().unwrap_or(u64::from(u32::MAX)) as u32,
    }
}

fn items(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

/// The files of this machine.
pub(super) struct FileSystem;

impl Files for FileSystem {
    fn read(&self, path: &str, limit: usize) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        // One byte beyond the limit tells the reader that the file is too long.
        std::fs::File::open(path)?.take(limit as u64 + 1).read_to_end(&mut bytes)?;
        Ok(bytes)
    }
}
