//! Classes that only some servers may run.

mod common;
use common::*;
use mosshead_decide::interface::*;

/// A fleet of twelve whose last four are of the kind that `UNSAFE` is bound to.
fn with_bound_class() -> Host {
    let mut all = settings();
    all.machine_kinds = 2;
    all.classes[UNSAFE.0].machine_kinds = Some(vec![MachineKindId(1)]);
    let kind =
        |entry: ListEntry| ListEntry { kind: MachineKindId(usize::from(entry.endpoint.0 >= 8)), ..entry };
    Host::new(all, fleet(12).into_iter().map(kind).collect())
}

/// Regression: work that may go anywhere displaces what is bound to a few servers.
#[test]
fn unrestricted_work_leaves_reserved_servers_their_share() {
    for bound in [0, 6] {
        let mut host = with_bound_class();
        let mut there = 0;
        for at in 0..400 {
            let class = if at % 10 < bound { UNSAFE } else { SAFE };
            let sent = host.place_request(class);
            there += usize::from(class == SAFE && at >= 200 && sent.endpoint.0 >= 8);
            host.now += 0.01;
            host.serve(sent);
        }
        // A third of the servers; 6 of 10 requests are bound to them, or none.
        assert_eq!(
            there == 0,
            bound == 6,
            "{there} unrestricted ones to reserved servers with {bound} of 10 bound"
        );
    }
}

/// Regression: a restricted class's crowded servers are taken for as idle as the rest of their zone, and the other way round.
#[test]
fn loads_of_reserved_servers_are_kept_apart() {
    let mut host = with_bound_class();
    for endpoint in 0..3 {
        end_probe(&mut host, EndpointId(endpoint), 0.001, load_report(0.5, 0.0));
        end_probe(&mut host, EndpointId(8 + endpoint), 0.001, load_report(30.0, 29.0));
    }
    host.now += 5.0;
    let rejections = |host: &mut Host, class: ClassId| {
        let refused_here = (0..40).filter(|_| {
            let (job, actions) = request_as_and_take_back(host, class);
            is_rejected(&actions, job)
        });
        refused_here.count()
    };
    let (bound, other) = (rejections(&mut host, UNSAFE), rejections(&mut host, SAFE));
    assert!(bound >= 30 && other <= 5, "{bound} and {other} of 40 rejected");
}
