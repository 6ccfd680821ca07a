//! `mossheadctl way-back`: how far proxies have recovered since their start, as their admin endpoints report.

use std::net::SocketAddr;
use std::thread;

use anyhow::anyhow;
use clap::Args;
use serde_json::{Value, json};

use crate::day_tables::render_table;
use crate::json_call;
use crate::outcome::Outcome;

const COLUMNS: [&str; 8] = ["at", "stage", "waits for", "for", "full after", "up", "life", "draining"];
/// The column from which on the table has numbers.
const FIRST_NUMBER_COLUMN: usize = 3;

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

/// What a proxy reports of itself.
struct LoadReport {
    address: SocketAddr,
    state: anyhow::Result<Value>,
}

impl WayBack {
    pub(crate) fn run(&self) -> anyhow::Result<Outcome> {
        let reports = self.request_reports();
        let in_full_service = reports.iter().filter(|report| report.is_in_full_service()).count();
        if self.json {
            reports.iter().for_each(|report| println!("{}", report.to_json()));
        } else {
            let header = COLUMNS.map(str::to_owned);
            let rows = std::iter::once(header).chain(reports.iter().map(LoadReport::cells));
            println!("{}", render_table(rows, FIRST_NUMBER_COLUMN));
            println!("{in_full_service} of {} in full service", reports.len());
        }
        Ok(Outcome::passed_if(in_full_service == reports.len()))
    }

    /// Calls all proxies at once.
    fn request_reports(&self) -> Vec<LoadReport> {
        thread::scope(|scope| {
            let calls: Vec<_> = self
                .at
                .iter()
                .map(|&address| (address, scope.spawn(move || request_state(address))))
                .collect();
            let join = |(address, call): (SocketAddr, thread::ScopedJoinHandle<anyhow::Result<Value>>)| {
                let state = call.join().unwrap_or_else(|_| Err(anyhow!("not asked")));
                LoadReport { address, state }
            };
            calls.into_iter().map(join).collect()
        })
    }
}

impl LoadReport {
    fn is_in_full_service(&self) -> bool {
        self.state.as_ref().is_ok_and(|state| state["stage"] == "full")
    }

    fn to_json(&self) -> Value {
        let mut json = match &self.state {
            Ok(state) => state.clone(),
            Err(error) => json!({"stage": null, "wants": format!("{error:#}")}),
        };
        json["at"] = self.address.to_string().into();
        json
    }

    fn cells(&self) -> [String; COLUMNS.len()] {
        let address = self.address.to_string();
        let state = match &self.state {
            Ok(state) => state,
            Err(error) => {
                let mut cells: [String; COLUMNS.len()] = Default::default();
                cells[..FIRST_NUMBER_COLUMN].clone_from_slice(&[
                    address,
                    "-".to_owned(),
                    format!("{error:#}"),
                ]);
                return cells;
            }
        };
        let text = |name: &str| state[name].as_str().unwrap_or_default().to_owned();
        let seconds =
            |name: &str| state[name].as_f64().map_or("-".to_owned(), |seconds| format!("{seconds:.1} s"));
        let incarnation =
            state["life"].as_u64().map_or("-".to_owned(), |incarnation| incarnation.to_string());
        let is_draining = if state["draining"] == true { "yes" } else { "no" };
        [
            address,
            text("stage"),
            text("wants"),
            seconds("for_s"),
            seconds("full_after_s"),
            seconds("up_s"),
            incarnation,
            is_draining.to_owned(),
        ]
    }
}

/// One call to a proxy's admin endpoint.
fn request_state(address: SocketAddr) -> anyhow::Result<Value> {
    json_call::get(address, "/ops/state")
}
