//! `mossheadctl fleet status`: the whole fleet in one call.

use std::thread;
use std::time::Duration;

use clap::Args;
use serde_json::Value;

use super::ControlNodes;
use super::view::{FleetView, NodeReport};
use crate::day_tables::render_table;
use crate::outcome::Outcome;

const NODE_COLUMNS: [&str; 7] =
    ["control node", "role", "state", "heard", "in touch for", "term", "revision"];
const FIRST_NODE_NUMBER: usize = 3;
const SERVER_COLUMNS: [&str; 4] = ["service", "stage", "state", "servers"];
const FIRST_SERVER_NUMBER: usize = 3;
const STAGE_COLUMNS: [&str; 3] = ["service", "prefill share wanted", "reports behind it"];
const FIRST_STAGE_NUMBER: usize = 1;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Tells the status of the fleet. Exit code 1 unless one more machine may be lost.
#[derive(Args)]
pub(super) struct Status {
    #[command(flatten)]
    control_nodes: ControlNodes,
    /// One JSON object.
    #[arg(long)]
    json: bool,
    /// Again and again, each so many seconds, until Ctrl-C.
    #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "2")]
    watch: Option<u64>,
}

impl Status {
    pub(super) fn run(&self) -> anyhow::Result<Outcome> {
        let addresses = self.control_nodes.resolve()?;
        loop {
            let view = FleetView::fetch(&addresses);
            if self.json {
                println!("{}", view.to_json());
            } else {
                print_view(&view);
            }
            let Some(seconds) = self.watch else {
                return Ok(Outcome::passed_if(view.tolerates_a_loss().is_ok()));
            };
            thread::sleep(Duration::from_secs(seconds.max(1)));
        }
    }
}

fn print_view(view: &FleetView) {
    let members = view.members();
    let nodes = view.reports.iter().map(|report| node_cells(report, &members));
    print_table(&NODE_COLUMNS, nodes, FIRST_NODE_NUMBER);
    let versions: Vec<String> = view
        .proxies_by_revision()
        .iter()
        .map(|(revision, count)| format!("{count} at revision {revision}"))
        .collect();
    println!("proxies: {}", if versions.is_empty() { "none".to_owned() } else { versions.join(", ") });
    let servers = view.list("servers");
    print_table(&SERVER_COLUMNS, servers.iter().map(server_cells), FIRST_SERVER_NUMBER);
    let stages = view.list("stages");
    if !stages.is_empty() {
        print_table(&STAGE_COLUMNS, stages.iter().map(stage_cells), FIRST_STAGE_NUMBER);
    }
    match view.tolerates_a_loss() {
        Ok(()) => println!("one more machine may be lost now"),
        Err(risk) => println!("no further machine may be lost now: {risk}"),
    }
}

fn print_table<const N: usize>(
    columns: &[&str; N],
    rows: impl Iterator<Item = [String; N]>,
    first_number: usize,
) {
    let header = columns.map(str::to_owned);
    println!("{}", render_table(std::iter::once(header).chain(rows), first_number));
}

fn node_cells(report: &NodeReport, members: &[Value]) -> [String; NODE_COLUMNS.len()] {
    let address = report.address.to_string();
    let ip = report.address.ip().to_string();
    let is_this = |member: &&Value| {
        member["address"].as_str().and_then(|address| address.split(':').next()) == Some(ip.as_str())
    };
    let member = members.iter().find(is_this);
    let role = member.map_or("-", |member| member["role"].as_str().unwrap_or("-")).to_owned();
    let state = match member.map(|member| member["healthy"] == true) {
        Some(true) => "healthy",
        Some(false) => "unhealthy",
        None => "no member",
    };
    let heard = seconds(member.map(|member| &member["silence_ms"]));
    match &report.status {
        Ok(status) => [
            address,
            role,
            state.to_owned(),
            heard,
            seconds(Some(&status["in_touch_ms"])),
            whole(&status["term"]),
            whole(&status["revision"]),
        ],
        Err(error) => [address, role, format!("{error:#}"), heard, "-".into(), "-".into(), "-".into()],
    }
}

fn server_cells(group: &Value) -> [String; SERVER_COLUMNS.len()] {
    [text(&group["service"]), text(&group["stage"]), text(&group["state"]), whole(&group["count"])]
}

fn stage_cells(target: &Value) -> [String; STAGE_COLUMNS.len()] {
    let share = target["prefill_share"].as_f64().map_or("-".to_owned(), |share| format!("{share:.2}"));
    [text(&target["service"]), share, whole(&target["reports"])]
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or("-").to_owned()
}

fn whole(value: &Value) -> String {
    value.as_f64().map_or("-".to_owned(), |number| format!("{number:.0}"))
}

fn seconds(millis: Option<&Value>) -> String {
    let millis = millis.and_then(Value::as_f64);
    millis.map_or("-".to_owned(), |millis| format!("{:.1} s", millis / MILLIS_PER_SECOND))
}
