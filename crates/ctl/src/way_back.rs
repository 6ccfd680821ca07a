//! `mossheadctl way-back`: how far proxies have come since their start, as their operators' addresses tell.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use anyhow::{Context, bail};
use clap::Args;
use serde_json::Value;
use tabled::builder::Builder;
use tabled::settings::{Alignment, Style, object::Columns};

use crate::End;

/// A proxy answers within this, or it does not answer.
const PATIENCE: Duration = Duration::from_secs(2);
/// Its answer is no longer.
const LONGEST: u64 = 64 * 1024;

/// Asks proxies how far they have come since their start: cold, listed, warming, full. Exit code 1 unless all are full.
#[derive(Args)]
pub(crate) struct WayBack {
    /// The operators' address of each proxy.
    #[arg(required = true)]
    at: Vec<SocketAddr>,
    /// One JSON object a proxy, a line each.
    #[arg(long)]
    json: bool,
}

impl WayBack {
    pub(crate) fn run(&self) -> anyhow::Result<End> {
        let all: Vec<(SocketAddr, anyhow::Result<Value>)> = std::thread::scope(|scope| {
            let asked: Vec<_> = self.at.iter().map(|&at| (at, scope.spawn(move || ask(at)))).collect();
            let answer = |asked: std::thread::ScopedJoinHandle<anyhow::Result<Value>>| {
                asked.join().unwrap_or_else(|_| Err(anyhow::anyhow!("not asked")))
            };
            asked.into_iter().map(|(at, asked)| (at, answer(asked))).collect()
        });
        let full = |state: &anyhow::Result<Value>| state.as_ref().is_ok_and(|state| state["stage"] == "full");
        if self.json {
            for (at, state) in &all {
                let mut line = match state {
                    Ok(state) => state.clone(),
                    Err(fault) => serde_json::json!({"stage": null, "wants": format!("{fault:#}")}),
                };
                line["at"] = at.to_string().into();
                println!("{line}");
            }
        } else {
            let head = ["at", "stage", "waits for", "for", "full after", "up", "life", "draining"];
            let rows = all.iter().map(|(at, state)| row(*at, state));
            let mut table = Builder::from_iter(std::iter::once(head.map(str::to_owned)).chain(rows)).build();
            table.with(Style::markdown()).modify(Columns::new(3..), Alignment::right());
            println!("{table}");
            println!(
                "{} of {} in full service",
                all.iter().filter(|(_, state)| full(state)).count(),
                all.len()
            );
        }
        Ok(if all.iter().all(|(_, state)| full(state)) { End::Kept } else { End::Broken })
    }
}

fn row(at: SocketAddr, state: &anyhow::Result<Value>) -> [String; 8] {
    let at = at.to_string();
    let state = match state {
        Ok(state) => state,
        Err(fault) => {
            return [at, "-".to_owned(), format!("{fault:#}")]
                .into_iter()
                .chain(std::iter::repeat_n(String::new(), 5))
                .collect::<Vec<_>>()
                .try_into()
                .unwrap_or_default();
        }
    };
    let text = |name: &str| state[name].as_str().unwrap_or_default().to_owned();
    let seconds = |name: &str| state[name].as_f64().map_or("-".to_owned(), |span| format!("{span:.1} s"));
    let life = state["life"].as_u64().map_or("-".to_owned(), |life| life.to_string());
    let draining = if state["draining"] == true { "yes" } else { "no" }.to_owned();
    [
        at,
        text("stage"),
        text("wants"),
        seconds("for_s"),
        seconds("full_after_s"),
        seconds("up_s"),
        life,
        draining,
    ]
}

/// One call to a proxy's operators' address.
fn ask(at: SocketAddr) -> anyhow::Result<Value> {
    let mut stream = TcpStream::connect_timeout(&at, PATIENCE).context("no connection")?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_write_timeout(Some(PATIENCE))?;
    stream.write_all(
        format!("GET /ops/state HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n").as_bytes(),
    )?;
    let mut text = String::new();
    stream.take(LONGEST).read_to_string(&mut text).context("no answer")?;
    let Some((head, body)) = text.split_once("\r\n\r\n") else { bail!("no answer") };
    if !head.starts_with("HTTP/1.1 200") {
        bail!("it does not know of this call: {}", head.lines().next().unwrap_or_default());
    }
    serde_json::from_str(body).context("an answer that cannot be read")
}
