//! Prints what each role of the fleet costs at each size.

use std::time::Instant;

use bpaf::{OptionParser, Parser, construct, long};
use mosshead_capacity_bench::fleet::Size;
use mosshead_capacity_bench::{configuration, control_state, listing, membership, memory, registry};

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
    let wants = |one| part == Part::All || part == one;
    // What frees much memory comes last: the next part would take it unseen.
    if wants(Part::ControlState) {
        let routes: &[usize] = if quick { &[200] } else { &[200, 1_400, 5_000] };
        for routes in routes {
            println!("{}", control_state::cost(&[3, 5], if quick { 10_000 } else { 60_000 }, *routes));
        }
    }
    if wants(Part::Registry) {
        for (by, sizes) in sizes(quick) {
            for table in registry::cost(by, &sizes, if quick { 3_000 } else { 10_000 }) {
                println!("{table}");
            }
        }
    }
    if wants(Part::Listing) {
        println!("{}", listing::cost(&[300, 1_000, 3_000, 10_000], if quick { 10 } else { 200 }));
    }
    if wants(Part::Membership) {
        let sizes: &[usize] = if quick { &[30, 100, 300] } else { &[30, 100, 300, 1_000, 2_000] };
        println!("{}", membership::calm(sizes, if quick { 5_000 } else { 20_000 }));
    }
    if wants(Part::Faults) {
        let sizes: &[usize] = if quick { &[30, 100] } else { &[30, 100, 300] };
        println!("{}", membership::faults(sizes, if quick { 30_000 } else { 120_000 }));
    }
    if wants(Part::Configuration) {
        println!("{}", configuration::cost(&[200, 1_400, 5_000], if quick { 5 } else { 40 }));
    }
    let resident = memory::resident() >> 20;
    println!("Took {:.1} s; {resident} MB resident at the end.", start.elapsed().as_secs_f64());
}

fn sizes(quick: bool) -> Vec<(&'static str, Vec<Size>)> {
    if quick {
        let size = |sources| Size { servers: 1_000, sources, pullers: 200, real: 4 };
        return vec![("sources", vec![size(5), size(9)])];
    }
    let size = |servers, sources, pullers| Size { servers, sources, pullers, real: 8.min(pullers) };
    let by = |list: [usize; 4], make: &dyn Fn(usize) -> Size| list.into_iter().map(make).collect();
    vec![
        ("sources", by([5, 9, 17, 33], &|sources| size(10_000, sources, 2_000))),
        ("servers", by([1_000, 3_000, 5_000, 10_000], &|servers| size(servers, 5, 2_000))),
        ("pullers", by([100, 500, 1_000, 2_000], &|pullers| size(10_000, 5, pullers))),
    ]
}
