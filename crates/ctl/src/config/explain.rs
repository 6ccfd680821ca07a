//! `mossheadctl config explain`.

use clap::Args;
use mosshead_site::{Behaviour, RequestDescription};

use super::platform::PlatformOptions;
use super::{read_site, report};
use crate::outcome::{Outcome, UsageError};

#[derive(Args)]
pub(super) struct Explain {
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
    platform: PlatformOptions,
}

impl Explain {
    pub(super) fn run(&self) -> anyhow::Result<Outcome> {
        let (platform, zone) = self.platform.read()?;
        let Some(class) = platform.classes.iter().find(|class| class.name == self.class) else {
            let names: Vec<&str> = platform.classes.iter().map(|class| class.name.as_str()).collect();
            let error = format!("no class {:?}: there are {}", self.class, names.join(", "));
            return Err(UsageError(error).into());
        };
        let site = match read_site(&self.file, &self.platform.instance, &platform, &zone) {
            Ok(site) => site,
            Err(errors) => {
                report::print_errors(&errors, self.platform.json);
                return Ok(Outcome::Failed);
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
        if self.platform.json {
            println!("{}", serde_json::to_string(&behaviour)?);
        } else {
            print_behaviour(&request, &behaviour, platform.servers.len());
        }
        Ok(Outcome::Passed)
    }
}

/// Prints the route, the pools and the limits of a request, each with the line of the site that says so.
fn print_behaviour(request: &RequestDescription, behaviour: &Behaviour, server_count: usize) {
    match &behaviour.route {
        None => println!("{request}: no route fits; all {server_count} servers, as without a site"),
        Some(route) => {
            println!("{request}: route {:?} ({}:{})", route.text, route.location.file, route.location.line);
        }
    }
    if let Some(wait) = behaviour.rejected_for_seconds {
        println!("  refused, to come back after {wait} s");
    }
    for reached in &behaviour.pools {
        let fallback = reached.fallback.as_ref();
        let fallback = fallback.map(|pool| format!(", which falls back on {pool:?}")).unwrap_or_default();
        println!(
            "  {:.2} % to pool {:?}{fallback} ({}:{}): {}",
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
}
