//! `mossheadctl config`: check, format, explain and compare sites.

use std::io::{IsTerminal, Read};
use std::path::{Path, PathBuf};

use anyhow::Context;
use clap::{Args, Subcommand};
use miette::{GraphicalReportHandler, GraphicalTheme};
use mosshead_simulate::proxy_settings;
use mosshead_site::{Files, Platform, PlatformServer, RequestClass, RequestDescription, Site, SiteError};
use mosshead_world::{Time, World};
use serde_json::{Value, json};

use crate::{BadUse, End, scenarios};

/// Checks, formats, explains and compares sites.
#[derive(Args)]
pub(crate) struct Config {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Names every fault of a site: file, line, column, the line, and what to write instead.
    Check(Check),
    /// Writes files in the one form; comments stay.
    Fmt(Fmt),
    /// Says what behaviour changes between two versions of a site.
    Diff(Diff),
    /// Says what happens to a job: the route, the pools with their servers, the limits, each with its line.
    Explain(Explain),
}

/// What a site is checked against, and as whom it is read.
#[derive(Args)]
struct Against {
    /// A proxy's configuration, for the platform's classes, tenants, zones and servers; without it, those of
    /// the scenario `calm`.
    #[arg(long)]
    platform: Option<PathBuf>,
    /// The instance that reads the site.
    #[arg(long, default_value = "n0")]
    instance: String,
    /// One JSON object.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct Check {
    /// The site.
    file: String,
    #[command(flatten)]
    against: Against,
}

#[derive(Args)]
struct Fmt {
    /// The files.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Changes nothing; exits with 1 where a file is not in the one form.
    #[arg(long)]
    check: bool,
}

#[derive(Args)]
struct Diff {
    /// The version in force; `none` for no site at all.
    old: String,
    /// The version to come.
    new: String,
    #[command(flatten)]
    against: Against,
}

#[derive(Args)]
struct Explain {
    /// The site.
    file: String,
    /// The job's class.
    #[arg(long)]
    class: String,
    /// The job's tenant.
    #[arg(long)]
    tenant: Option<String>,
    /// The job's path; `/CLASS` without it.
    #[arg(long)]
    path: Option<String>,
    #[command(flatten)]
    against: Against,
}

/// Files on disk.
struct Disk;

impl Files for Disk {
    fn read(&self, path: &str, limit: usize) -> std::io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        std::fs::File::open(path)?.take(limit as u64 + 1).read_to_end(&mut bytes)?;
        Ok(bytes)
    }
}

impl Against {
    /// The platform, and the zone of the instance.
    fn read(&self) -> anyhow::Result<(Platform, String)> {
        let config: Value = match &self.platform {
            Some(path) => {
                let text = std::fs::read_to_string(path)
                    .map_err(|error| BadUse(format!("{}: {error}", path.display())))?;
                serde_json::from_str(&text).map_err(|error| BadUse(format!("{}: {error}", path.display())))?
            }
            None => {
                let world = World::new(&scenarios::read("calm")?, 1);
                let server = |shown: &mosshead_world::ListEntry| {
                    let (traits, scenario) = (world.server_traits(shown.server), world.scenario());
                    json!({
                        "id": format!("s-{}", shown.server.0),
                        "zone": scenario.zones[traits.zone],
                        "kind": scenario.kinds[traits.kind].name,
                    })
                };
                let servers: Vec<Value> = world.current_list().entries.iter().map(server).collect();
                json!({"settings": proxy_settings::to_json(&world, 0), "known": {"servers": servers}})
            }
        };
        let settings = &config["settings"];
        let list = |value: &Value| value.as_array().cloned().unwrap_or_default();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let class = |class: &Value| RequestClass {
            name: text(&class["name"]),
            deadline: Time::from_seconds(class["deadline_s"].as_f64().unwrap_or_default()),
            may_execute_twice: class["effect"] == "free",
        };
        let classes: Vec<RequestClass> = list(&settings["classes"]).iter().map(class).collect();
        if classes.is_empty() {
            return Err(BadUse("--platform: no `settings.classes` in that file".to_owned()).into());
        }
        let servers = list(&config["known"]["servers"]);
        let server = |server: &Value| PlatformServer {
            zone: text(&server["zone"]),
            kind: text(&server["kind"]),
            id: text(&server["id"]),
        };
        let platform = Platform {
            classes,
            tenants: list(&settings["tenants"]).iter().map(|tenant| text(&tenant["name"])).collect(),
            zones: list(&settings["zones"]).iter().map(text).collect(),
            kinds: list(&settings["machine_types"]).iter().map(text).collect(),
            servers: servers.iter().map(server).collect(),
            max_attempts: settings["limits"]["send_cap"].as_u64().unwrap_or(u64::from(u32::MAX)) as u32,
        };
        Ok((platform, text(&settings["zone"])))
    }

    fn site(&self, path: &str, platform: &Platform, zone: &str) -> Result<Site, Vec<SiteError>> {
        if path == "none" {
            return Ok(Site::default());
        }
        let site = mosshead_site::read(&Disk, path, &self.instance, zone).map_err(|faults| faults.0)?;
        let faults = mosshead_site::check(&site, platform);
        if faults.is_empty() { Ok(site) } else { Err(faults) }
    }

    fn tell(&self, faults: &[SiteError]) {
        if self.json {
            let fault = |fault: &SiteError| {
                let (line, column) = fault.position();
                json!({"file": fault.file(), "line": line, "column": column, "message": fault.message(),
                    "source": fault.source_line(), "help": fault.help_text(), "included_at": fault.include_chain()})
            };
            println!("{}", json!({"faults": faults.iter().map(fault).collect::<Vec<_>>()}));
            return;
        }
        let theme = match std::io::stderr().is_terminal() {
            true => GraphicalTheme::unicode(),
            false => GraphicalTheme::unicode_nocolor(),
        };
        let handler = GraphicalReportHandler::new_themed(theme);
        for fault in faults {
            let mut text = String::new();
            // A fault that cannot be drawn is told plainly.
            if handler.render_report(&mut text, fault).is_err() {
                text = fault.to_string();
            }
            eprintln!("{text}");
        }
        eprintln!("{} fault{}", faults.len(), if faults.len() == 1 { "" } else { "s" });
    }
}

impl Config {
    pub(crate) fn run(&self) -> anyhow::Result<End> {
        match &self.command {
            Command::Check(check) => check.run(),
            Command::Fmt(fmt) => fmt.run(),
            Command::Diff(diff) => diff.run(),
            Command::Explain(explain) => explain.run(),
        }
    }
}

impl Check {
    fn run(&self) -> anyhow::Result<End> {
        let (platform, zone) = self.against.read()?;
        match self.against.site(&self.file, &platform, &zone) {
            Ok(_) if self.against.json => println!("{}", json!({"faults": []})),
            Ok(site) => println!(
                "{}: fit: {} pools, {} policies, {} routes",
                self.file,
                site.pools.len(),
                site.policies.len(),
                site.routes.len()
            ),
            Err(faults) => {
                self.against.tell(&faults);
                return Ok(End::Broken);
            }
        }
        Ok(End::Kept)
    }
}

impl Fmt {
    fn run(&self) -> anyhow::Result<End> {
        let mut end = End::Kept;
        for path in &self.files {
            let name = path.display();
            let text = std::fs::read_to_string(path).map_err(|error| BadUse(format!("{name}: {error}")))?;
            let formed = mosshead_site::format(&text).map_err(|_| {
                BadUse(format!("{name}: this is not KDL; `mossheadctl config check` says why"))
            })?;
            if formed == text {
                continue;
            }
            if self.check {
                println!("{name}: not in the one form; `mossheadctl config fmt {name}` writes it");
                end = End::Broken;
            } else {
                write_whole(path, &formed).with_context(|| format!("{name}"))?;
            }
        }
        Ok(end)
    }
}

/// Danger: a file written in place and cut off half-way is a site that is half gone.
fn write_whole(path: &Path, text: &str) -> std::io::Result<()> {
    let fresh = path.with_extension("kdl.new");
    std::fs::write(&fresh, text)?;
    std::fs::rename(fresh, path)
}

impl Diff {
    fn run(&self) -> anyhow::Result<End> {
        let (platform, zone) = self.against.read()?;
        let mut sites = Vec::new();
        for path in [&self.old, &self.new] {
            match self.against.site(path, &platform, &zone) {
                Ok(site) => sites.push(site),
                Err(faults) => {
                    self.against.tell(&faults);
                    return Ok(End::Broken);
                }
            }
        }
        let changes = mosshead_site::diff(&sites[0], &sites[1], &platform);
        if self.against.json {
            println!("{}", json!({"changes": changes}));
        } else if changes.is_empty() {
            println!("no change of behaviour");
        } else {
            changes.iter().for_each(|change| println!("{change}"));
        }
        Ok(End::Kept)
    }
}

impl Explain {
    fn run(&self) -> anyhow::Result<End> {
        let (platform, zone) = self.against.read()?;
        let Some(class) = platform.classes.iter().find(|class| class.name == self.class) else {
            let names: Vec<&str> = platform.classes.iter().map(|class| class.name.as_str()).collect();
            return Err(BadUse(format!("no class {:?}: there are {}", self.class, names.join(", "))).into());
        };
        let site = match self.against.site(&self.file, &platform, &zone) {
            Ok(site) => site,
            Err(faults) => {
                self.against.tell(&faults);
                return Ok(End::Broken);
            }
        };
        let request = RequestDescription {
            class: self.class.clone(),
            tenant: self.tenant.clone(),
            method: if class.may_execute_twice { "GET" } else { "POST" }.to_owned(),
            path: self.path.clone().unwrap_or_else(|| format!("/{}", self.class)),
            headers: Vec::new(),
        };
        let behaviour = mosshead_site::explain(&site, &request, &platform.servers);
        if self.against.json {
            println!("{}", serde_json::to_string(&behaviour)?);
            return Ok(End::Kept);
        }
        match &behaviour.route {
            None => {
                println!(
                    "{request}: no route fits; all {} servers, as without a site",
                    platform.servers.len()
                );
            }
            Some(route) => println!(
                "{request}: route {:?} ({}:{})",
                route.text, route.location.file, route.location.line
            ),
        }
        if let Some(wait) = behaviour.rejected_for_seconds {
            println!("  refused, to come back after {wait} s");
        }
        for reached in &behaviour.pools {
            let instead = reached.fallback.as_ref();
            let instead = instead.map(|pool| format!(", which falls back on {pool:?}")).unwrap_or_default();
            println!(
                "  {:.2} % to pool {:?}{instead} ({}:{}): {}",
                reached.share * 100.0,
                reached.pool,
                reached.location.file,
                reached.location.line,
                if reached.members.is_empty() { "no server".to_owned() } else { reached.members.join(", ") }
            );
        }
        for (name, limit) in &behaviour.limits {
            println!("  {name} {} ({}:{})", limit.text, limit.location.file, limit.location.line);
        }
        Ok(End::Kept)
    }
}
