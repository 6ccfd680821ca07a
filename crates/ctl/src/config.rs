//! `mossheadctl config`: check, format, explain and compare sites.

mod explain;
mod format;
mod platform;
mod report;

use clap::{Args, Subcommand};
use mosshead_site::{Platform, Site, SiteError};
use serde_json::json;

use crate::outcome::Outcome;
use platform::PlatformOptions;

/// In place of a file: no site at all.
const NO_SITE: &str = "none";

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
    Fmt(format::Fmt),
    /// Says what behaviour changes between two versions of a site.
    Diff(Diff),
    /// Says what happens to a job: the route, the pools with their servers, the limits, each with its line.
    Explain(explain::Explain),
}

#[derive(Args)]
struct Check {
    /// The site.
    file: String,
    #[command(flatten)]
    platform: PlatformOptions,
}

#[derive(Args)]
struct Diff {
    /// The version in force; `none` for no site at all.
    old: String,
    /// The version to come.
    new: String,
    #[command(flatten)]
    platform: PlatformOptions,
}

impl Config {
    pub(crate) fn run(&self) -> anyhow::Result<Outcome> {
        match &self.command {
            Command::Check(check) => check.run(),
            Command::Fmt(fmt) => fmt.run(),
            Command::Diff(diff) => diff.run(),
            Command::Explain(explain) => explain.run(),
        }
    }
}

/// Reads a site and checks it against its platform. `instance` reads it, in `zone`.
fn read_site(path: &str, instance: &str, platform: &Platform, zone: &str) -> Result<Site, Vec<SiteError>> {
    if path == NO_SITE {
        return Ok(Site::default());
    }
    let site = mosshead_site::read(&platform::FileSystem, path, instance, zone).map_err(|errors| errors.0)?;
    let errors = mosshead_site::check(&site, platform);
    if errors.is_empty() { Ok(site) } else { Err(errors) }
}

impl Check {
    fn run(&self) -> anyhow::Result<Outcome> {
        let (platform, zone) = self.platform.read()?;
        match read_site(&self.file, &self.platform.instance, &platform, &zone) {
            Ok(_) if self.platform.json => println!("{}", json!({"faults": []})),
            Ok(site) => println!(
                "{}: fit: {} pools, {} policies, {} routes",
                self.file,
                site.pools.len(),
                site.policies.len(),
                site.routes.len()
            ),
            Err(errors) => {
                report::print_errors(&errors, self.platform.json);
                return Ok(Outcome::Failed);
            }
        }
        Ok(Outcome::Passed)
    }
}

impl Diff {
    fn run(&self) -> anyhow::Result<Outcome> {
        let (platform, zone) = self.platform.read()?;
        let read = |path: &str| read_site(path, &self.platform.instance, &platform, &zone);
        let (old, new) = match read(&self.old).and_then(|old| Ok((old, read(&self.new)?))) {
            Ok(sites) => sites,
            Err(errors) => {
                report::print_errors(&errors, self.platform.json);
                return Ok(Outcome::Failed);
            }
        };
        let changes = mosshead_site::diff(&old, &new, &platform);
        if self.platform.json {
            println!("{}", json!({"changes": changes}));
        } else if changes.is_empty() {
            println!("no change of behaviour");
        } else {
            changes.iter().for_each(|change| println!("{change}"));
        }
        Ok(Outcome::Passed)
    }
}
