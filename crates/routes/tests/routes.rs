//! Routing: where jobs lead, that keys stay in their part, that nobody outside of a pool is a candidate.

use std::collections::BTreeSet;
use std::sync::Arc;

use mosshead_routes::*;
use mosshead_site::{Memory, read};
use mosshead_units::Time;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const SITE: &str = r#"
pool "east" { zone "memphis"; least "30%"; fallback "all"; panic "50%" }
pool "west" { zone "nashville" }
pool "all"
policy "pay" { attempts 2; retry-budget "20%"; concurrency 3 }
route "desk" { header "x-app" "desk"; to "west" }
route "payments" { class "pay"; tenant "piano"; to "east" share="SHARE%"; to "west" share="REST%"; policy "pay" }
route "closed" { class "pay"; method "PUT"; refuse "1s" }
route "reads" { path "/look/"; to "all" }
"#;

fn router(share: u32) -> Arc<Router> {
    let text = SITE.replace("SHARE", &share.to_string()).replace("REST", &(100 - share).to_string());
    let site = read(&Memory::one("site.kdl", &text), "site.kdl", "n0", "memphis");
    let site = site.unwrap_or_else(|faults| panic!("{faults}"));
    Router::new(site, &["look".to_owned(), "pay".to_owned()], &["piano".to_owned(), "band".to_owned()], 1)
}

fn job(
    class: usize,
    tenant: Option<usize>,
    method: &'static str,
    path: &'static str,
    key: u64,
) -> Job<'static> {
    Job { class, tenant, method, path, header: &|_| None, key }
}

#[rstest]
#[case::by_tenant(1, Some(0), "POST", "/pay", Some((1, Some(0))))]
#[case::other_tenant(1, Some(1), "POST", "/pay", None)]
#[case::no_tenant(1, None, "POST", "/pay", None)]
#[case::by_path(0, Some(1), "GET", "/look/7", Some((2, None)))]
#[case::path_outside(0, Some(1), "GET", "/looking", None)]
fn the_first_route_that_fits_is_taken(
    #[case] class: usize,
    #[case] tenant: Option<usize>,
    #[case] method: &'static str,
    #[case] path: &'static str,
    #[case] to: Option<(usize, Option<usize>)>,
) {
    // With nothing for the east, the split leads west.
    let routed = router(0).route(&job(class, tenant, method, path, 7));
    assert_eq!(routed, to.map_or(Routed::Open, |(pool, policy)| Routed::Pool { pool, policy }));
}

#[test]
fn headers_and_methods_count() {
    let router = router(50);
    let desk =
        Job { header: &|name| (name == "x-app").then_some("desk"), ..job(1, Some(0), "POST", "/pay", 1) };
    assert_eq!(router.route(&desk), Routed::Pool { pool: 1, policy: None });
    assert_eq!(router.route(&job(1, Some(1), "PUT", "/pay", 1)), Routed::Refused(Time::from_millis(1000)));
}

/// Guards sticky keys: a split that moves from 20 % to 30 % moves a tenth of the keys, and all one way.
#[test]
fn keys_stay_in_their_part_as_weights_move() {
    let east = |share: u32| -> BTreeSet<u64> {
        let router = router(share);
        let leads = |key: &u64| router.route(&job(1, Some(0), "POST", "/pay", *key));
        (0..40_000).filter(|key| leads(key) == Routed::Pool { pool: 0, policy: Some(0) }).collect()
    };
    let (few, more) = (east(20), east(30));
    assert!(few.is_subset(&more), "a key left the part that grew");
    assert!((few.len() as f64 / 40_000.0 - 0.2).abs() < 0.01, "{}", few.len());
    assert!((more.len() as f64 / 40_000.0 - 0.3).abs() < 0.01, "{}", more.len());
    assert!(east(0).is_empty(), "a split of 0 %");
}

fn listed(number: u32, zone: &str, ready: bool) -> Listed {
    Listed { number, zone: zone.to_owned(), kind: "m".to_owned(), id: format!("s-{number}"), ready }
}

#[test]
fn a_pool_emptied_by_drains_falls_back_and_comes_again() {
    let router = router(50);
    let mut members = Members::default();
    let list = vec![listed(0, "memphis", true), listed(1, "memphis", true), listed(2, "nashville", true)];
    members.replace(router.site(), list);
    assert_eq!(members.candidates(0).servers, [0, 1]);
    for number in [0, 1] {
        assert!(members.allows(0, number));
        members.change(router.site(), number, Some(listed(number, "memphis", false)));
        assert!(!members.allows(0, number), "it drains");
    }
    let now = members.candidates(0);
    assert_eq!((now.servers, now.pool), (&[2][..], 2), "the fallback has one that is ready");
    // A server that changes pools while a job is held: it is no candidate any more.
    members.change(router.site(), 2, Some(listed(2, "birmingham", true)));
    assert!(!members.allows(1, 2) && members.candidates(1).servers.is_empty());
    members.change(router.site(), 0, Some(listed(0, "memphis", true)));
    assert_eq!(members.candidates(0).servers, [0]);
}

/// Guards the few: where most of a pool is held for sick, all share the load again, but none that drains.
#[test]
fn a_pool_in_panic_uses_all_that_do_not_drain() {
    let router = router(50);
    let mut members = Members::default();
    let list = (0..5).map(|number| listed(number, "memphis", number != 4)).collect();
    members.replace(router.site(), list);
    members.shun(router.site(), vec![0]);
    assert_eq!((members.candidates(0).servers, members.candidates(0).panic), (&[1, 2, 3][..], false));
    members.shun(router.site(), vec![0, 1, 2]);
    assert_eq!((members.candidates(0).servers, members.candidates(0).panic), (&[0, 1, 2, 3][..], true));
}

#[test]
fn a_policy_bounds_jobs_attempts_and_retries() {
    let router = router(50);
    let mut ledger = Ledger::new(router.limits(Some(0)));
    let taken: Vec<Taken> = (0..3).filter_map(|_| ledger.take(Time::ZERO)).collect();
    assert!(taken.len() == 3 && ledger.take(Time::ZERO).is_none());
    assert!(!ledger.retry(Time::ZERO, 2), "the policy allows two attempts");
    taken.into_iter().for_each(|taken| ledger.done(taken));
    assert_eq!(ledger.out(), 0);
    for at in 0..1000 {
        let taken = ledger.take(Time::from_millis(at)).expect("room");
        ledger.done(taken);
    }
    let granted = (0..1000).filter(|_| ledger.retry(Time::from_millis(1000), 1)).count();
    assert!((180..=200).contains(&granted), "{granted} for 20 % of about 950 recent tries");
    assert!(Ledger::new(Default::default()).retry(Time::ZERO, 99), "no policy, no limit here");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Whatever the list does, a candidate is a ready member of the pool in use, and `allows` agrees.
    #[test]
    fn nobody_outside_of_a_pool_is_a_candidate(
        changes in prop::collection::vec((0_u32..8, 0_usize..3, any::<bool>(), any::<bool>()), 1..60),
        shunned in prop::collection::vec(0_u32..8, 0..6),
    ) {
        let router = router(50);
        let zones = ["memphis", "nashville", "birmingham"];
        let mut members = Members::default();
        let mut list: Vec<Listed> = Vec::new();
        for (number, zone, ready, there) in changes {
            let entry = there.then(|| listed(number, zones[zone], ready));
            list.retain(|known| known.number != number);
            list.extend(entry.clone());
            members.change(router.site(), number, entry);
            members.shun(router.site(), shunned.clone());
            for pool in 0..3 {
                let now = members.candidates(pool);
                let site = &router.site().pools[now.pool];
                for server in now.servers {
                    let entry = list.iter().find(|entry| entry.number == *server).expect("it is listed");
                    prop_assert!(entry.ready && site.has(&entry.zone, &entry.kind, &entry.id));
                    prop_assert!(members.allows(pool, *server));
                }
                let any_ready = list.iter().any(|entry| entry.ready && site.has(&entry.zone, &entry.kind, &entry.id));
                prop_assert_eq!(now.servers.is_empty(), !any_ready);
            }
        }
    }
}
