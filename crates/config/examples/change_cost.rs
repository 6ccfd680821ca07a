//! Prints what one changed, added or removed route costs, and a thousand more, by the number of routes, in microseconds.
//!
//! `cargo run --release -p mosshead-config --example change_cost`

use std::hint::black_box;
use std::time::Instant;

use mosshead_config::Config;

fn route(number: usize, timeout_ms: u64) -> String {
    format!(
        "{{\"name\":\"r-{number:05}x\",\"host_header\":\"host{:03}.example\",\"path_prefix\":\"/p{number}/\",\
         \"route_type\":\"streaming\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":600,\"priority\":1,\
         \"weighted_backends\":[{{\"backend_service\":\"s1\",\"weight\":90}},{{\"backend_service\":\"s2\",\
         \"weight\":10}}],\"retry_count\":1,\"persistence\":true,\"resume\":false,\"gap_aim_ms\":200}}",
        number % 200
    )
}

fn whole(routes: usize) -> String {
    let list: Vec<String> = (0..routes).map(|number| route(number, 2500)).collect();
    format!(
        "{{\"revision\":1,\"route_entries\":[{}],\"backend_services\":[{{\"name\":\"s1\"}},{{\"name\":\"s2\"}}]}}",
        list.join(",")
    )
}

/// Microseconds of the fastest of several runs.
fn micros<T>(mut run: impl FnMut() -> T) -> f64 {
    let mut best = f64::MAX;
    for _ in 0..25 {
        let start = Instant::now();
        let kept = black_box(run());
        best = best.min(start.elapsed().as_secs_f64() * 1e6);
        drop(kept);
    }
    best
}

/// Resident memory of this process in KiB, 0 where it is not told.
fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// How many routes are added at once.
const MANY: usize = 1_000;

/// How many configurations are held at once to tell the memory of one.
const COPIES: usize = 20;

fn main() -> Result<(), mosshead_config::ConfigError> {
    println!("{:>6} {:>8} {:>10} {:>10}", "routes", "change", "step", "us");
    for routes in [20, 500, 5_000, 10_000] {
        let text = whole(routes);
        let before = resident();
        let held: Vec<Config> =
            (0..COPIES).map(|_| Config::parse(text.as_bytes())).collect::<Result<_, _>>()?;
        println!("{routes:>6} KiB held by one: {}", (resident().saturating_sub(before)) / COPIES);
        drop(held);
        let old = Config::parse(text.as_bytes())?;
        let row = |change: &str, step: &str, micros: f64| {
            println!("{routes:>6} {change:>8} {step:>10} {micros:>10.1}");
        };
        row("-", "read", micros(|| Config::parse(text.as_bytes())));
        let mut next = 0;
        row(
            "-",
            "find",
            micros(|| {
                next = (next + 7919) % routes;
                old.find_route(&format!("host{:03}.example", next % 200), &format!("/p{next}/x")).is_some()
            }),
        );
        let middle = routes / 2;
        let many: Vec<String> = (routes..routes + MANY).map(|number| route(number, 2500)).collect();
        let many = format!("{{\"revision\":2,\"upsert\":{{\"route_entries\":[{}]}}}}", many.join(","));
        let grown = old.modify(many.as_bytes())?;
        let patch = old.patch_to(&grown);
        row("add many", "changed", micros(|| old.modify(many.as_bytes())));
        row("add many", "patch", micros(|| old.patch_to(&grown)));
        row("add many", "patched", micros(|| old.apply_patch(&patch)));
        let changes = [
            ("change", format!("\"upsert\":{{\"route_entries\":[{}]}}", route(middle, 2600))),
            ("add", format!("\"upsert\":{{\"route_entries\":[{}]}}", route(routes, 2500))),
            ("remove", format!("\"withdraw\":{{\"route_entries\":[\"r-{middle:05}x\"]}}")),
        ];
        for (name, change) in changes {
            let change = format!("{{\"revision\":2,{change}}}");
            let new = old.modify(change.as_bytes())?;
            let patch = old.patch_to(&new);
            row(name, "changed", micros(|| old.modify(change.as_bytes())));
            let text = new.to_json();
            row(name, "read_after", micros(|| old.parse_sharing(text.as_bytes())));
            row(name, "to_text", micros(|| new.to_json()));
            row(name, "patch", micros(|| old.patch_to(&new)));
            row(name, "patched", micros(|| old.apply_patch(&patch)));
        }
    }
    Ok(())
}
