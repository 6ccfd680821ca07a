//! Prints what each role of the fleet costs at each size.

use std::time::{Duration, Instant};

use bpaf::{OptionParser, Parser, construct, long};
use mosshead_capacity_bench::registry::VariedPart;
use mosshead_capacity_bench::registry_fleet::FleetSize;
use mosshead_capacity_bench::{configuration, control_state, listing, membership, memory, registry};

/// What is measured: the words of the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Membership,
    Faults,
    Registry,
    Configuration,
    Listing,
    ControlState,
    All,
}

fn command(name: &'static str, part: Part, about: &'static str) -> impl Parser<(Part, bool)> {
    let quick = long("quick").help("Small sizes and short spans").switch();
    quick.map(move |quick| (part, quick)).to_options().descr(about).command(name)
}

fn parser() -> OptionParser<(Part, bool)> {
    let membership = command("membership", Part::Membership, "Members that probe each other, calm");
    let faults = command("faults", Part::Faults, "Members under faults");
    let registry = command("registry", Part::Registry, "Servers, core machines and proxies that pull");
    let configuration = command("configuration", Part::Configuration, "Reading, patching, finding");
    let listing = command("listing", Part::Listing, "A proxy's list of servers, walked whole");
    let control = command("control-state", Part::ControlState, "Primary, backups, witnesses");
    let all = command("all", Part::All, "All parts");
    construct!([membership, faults, registry, listing, configuration, control, all])
        .to_options()
        .descr("Hollow processes: what each role of the fleet costs at each size")
}

fn main() {
    let (part, quick) = parser().run();
    let start = Instant::now();
    let is_selected = |candidate| part == Part::All || part == candidate;
    // The parts that free much memory come last: a part after them would take it again, and its growth would be measured too
    // low.
    if is_selected(Part::ControlState) {
        let routes: &[usize] = if quick { &[200] } else { &[200, 1_400, 5_000] };
        let span = Duration::from_secs(if quick { 10 } else { 60 });
        for routes in routes {
            println!("{}", control_state::measure(&[3, 5], span, *routes));
        }
    }
    if is_selected(Part::Registry) {
        let span = Duration::from_secs(if quick { 3 } else { 10 });
        for (varied_part, sizes) in registry_sizes(quick) {
            for table in registry::measure(varied_part, &sizes, span) {
                println!("{table}");
            }
        }
    }
    if is_selected(Part::Listing) {
        println!("{}", listing::measure(&[300, 1_000, 3_000, 10_000], if quick { 10 } else { 200 }));
    }
    if is_selected(Part::Membership) {
        let sizes: &[usize] = if quick { &[30, 100, 300] } else { &[30, 100, 300, 1_000, 2_000] };
        println!("{}", membership::measure_calm(sizes, Duration::from_secs(if quick { 5 } else { 20 })));
    }
    if is_selected(Part::Faults) {
        let sizes: &[usize] = if quick { &[30, 100] } else { &[30, 100, 300] };
        println!("{}", membership::measure_faults(sizes, Duration::from_secs(if quick { 30 } else { 120 })));
    }
    if is_selected(Part::Configuration) {
        println!("{}", configuration::measure(&[200, 1_400, 5_000], if quick { 5 } else { 40 }));
    }
    let megabytes = memory::resident_bytes() >> 20;
    println!("Took {:.1} s; {megabytes} MB resident at the end.", start.elapsed().as_secs_f64());
}

/// The fleets of each series of rows, in which one part of the size varies.
fn registry_sizes(quick: bool) -> Vec<(VariedPart, Vec<FleetSize>)> {
    if quick {
        let size = |control_nodes| FleetSize {
            servers: 1_000,
            control_nodes,
            proxies: 200,
            proxies_with_registry: 4,
        };
        return vec![(VariedPart::ControlNodes, vec![size(5), size(9)])];
    }
    let size = |servers, control_nodes, proxies| FleetSize {
        servers,
        control_nodes,
        proxies,
        proxies_with_registry: 8.min(proxies),
    };
    let control_nodes = [5, 9, 17, 33].map(|control_nodes| size(10_000, control_nodes, 2_000));
    let servers = [1_000, 3_000, 5_000, 10_000].map(|servers| size(servers, 5, 2_000));
    let proxies = [100, 500, 1_000, 2_000].map(|proxies| size(10_000, 5, proxies));
    vec![
        (VariedPart::ControlNodes, control_nodes.to_vec()),
        (VariedPart::Servers, servers.to_vec()),
        (VariedPart::Proxies, proxies.to_vec()),
    ]
}
