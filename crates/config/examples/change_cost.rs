//! Prints the time, in microseconds, for changing, adding or removing one route and for adding a thousand routes, by
//! the number of routes in the configuration.
//!
//! `cargo run --release -p mosshead-config --example change_cost`

use std::hint::black_box;
use std::time::Instant;

use mosshead_config::{Config, ConfigError};

fn route(number: usize, timeout_ms: u64) -> String {
    format!(
        "{{\"name\":\"r-{number:05}x\",\"host_header\":\"host{:03}.example\",\"path_prefix\":\"/p{number}/\",\
         \"route_type\":\"streaming\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":600,\"priority\":1,\
         \"weighted_backends\":[{{\"backend_service\":\"s1\",\"weight\":90}},{{\"backend_service\":\"s2\",\
         \"weight\":10}}],\"retry_count\":1,\"persistence\":true,\"resume\":false,\"gap_aim_ms\":200}}",
        number % 200
    )
}

fn config_text(routes: usize) -> String {
    let list: Vec<String> = (0..routes).map(|number| route(number, 2500)).collect();
    format!(
        "{{\"revision\":1,\"route_entries\":[{}],\"backend_services\":[{{\"name\":\"s1\"}},{{\"name\":\"s2\"}}]}}",
        list.join(",")
    )
}

/// The time of the fastest run, in microseconds.
fn fastest_micros<T>(mut run: impl FnMut() -> T) -> f64 {
    let mut best = f64::MAX;
    for _ in 0..25 {
        let start = Instant::now();
        let result = black_box(run());
        best = best.min(start.elapsed().as_secs_f64() * 1e6);
        drop(result);
    }
    best
}

/// The resident memory of this process in KiB; 0 if the system does not report it.
fn resident_kib() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// The number of routes that are added at once.
const ADDED_ROUTES: usize = 1_000;

/// The number of configurations that are parsed to measure the memory of one.
const COPIES: usize = 20;

fn print_row(routes: usize, change: &str, step: &str, micros: f64) {
    println!("{routes:>6} {change:>8} {step:>13} {micros:>10.1}");
}

/// Prints the memory use of one configuration.
fn print_memory(routes: usize, text: &str) -> Result<(), ConfigError> {
    let before = resident_kib();
    let configs: Vec<Config> =
        (0..COPIES).map(|_| Config::parse(text.as_bytes())).collect::<Result<_, _>>()?;
    println!(
        "{routes:>6} KiB of one configuration: {}",
        resident_kib().saturating_sub(before) / configs.len()
    );
    Ok(())
}

fn print_lookup(routes: usize, config: &Config) {
    let mut next = 0;
    let find = || {
        next = (next + 7919) % routes;
        config.find_route(&format!("host{:03}.example", next % 200), &format!("/p{next}/x")).is_some()
    };
    print_row(routes, "-", "find_route", fastest_micros(find));
}

/// Prints the time for adding many routes at once.
fn print_many(routes: usize, old: &Config) -> Result<(), ConfigError> {
    let added: Vec<String> = (routes..routes + ADDED_ROUTES).map(|number| route(number, 2500)).collect();
    let change = format!("{{\"revision\":2,\"upsert\":{{\"route_entries\":[{}]}}}}", added.join(","));
    let new = old.modify(change.as_bytes())?;
    let patch = old.patch_to(&new);
    print_row(routes, "add many", "modify", fastest_micros(|| old.modify(change.as_bytes())));
    print_row(routes, "add many", "patch_to", fastest_micros(|| old.patch_to(&new)));
    print_row(routes, "add many", "apply_patch", fastest_micros(|| old.apply_patch(&patch)));
    Ok(())
}

/// Prints the time of each step that a change goes through.
fn print_change(routes: usize, old: &Config, name: &str, change: &str) -> Result<(), ConfigError> {
    let change = format!("{{\"revision\":2,{change}}}");
    let new = old.modify(change.as_bytes())?;
    let patch = old.patch_to(&new);
    let text = new.to_json();
    print_row(routes, name, "modify", fastest_micros(|| old.modify(change.as_bytes())));
    print_row(routes, name, "parse_sharing", fastest_micros(|| old.parse_sharing(text.as_bytes())));
    print_row(routes, name, "to_json", fastest_micros(|| new.to_json()));
    print_row(routes, name, "patch_to", fastest_micros(|| old.patch_to(&new)));
    print_row(routes, name, "apply_patch", fastest_micros(|| old.apply_patch(&patch)));
    Ok(())
}

fn main() -> Result<(), ConfigError> {
    println!("{:>6} {:>8} {:>13} {:>10}", "routes", "change", "step", "us");
    for routes in [20, 500, 5_000, 10_000] {
        let text = config_text(routes);
        print_memory(routes, &text)?;
        let old = Config::parse(text.as_bytes())?;
        print_row(routes, "-", "parse", fastest_micros(|| Config::parse(text.as_bytes())));
        print_lookup(routes, &old);
        print_many(routes, &old)?;
        let middle = routes / 2;
        let upsert = |route: String| format!("\"upsert\":{{\"route_entries\":[{route}]}}");
        print_change(routes, &old, "change", &upsert(route(middle, 2600)))?;
        print_change(routes, &old, "add", &upsert(route(routes, 2500)))?;
        let withdraw = format!("\"withdraw\":{{\"route_entries\":[\"r-{middle:05}x\"]}}");
        print_change(routes, &old, "remove", &withdraw)?;
    }
    Ok(())
}
