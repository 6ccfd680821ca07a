//! Where requests go, that keys stay in their part of a split, that no server outside of a pool is a candidate.

use std::collections::BTreeSet;
use std::sync::Arc;

use mosshead_routes::*;
use mosshead_site::{MemoryFiles, read};
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
    let site = read(&MemoryFiles::single("site.kdl", &text), "site.kdl", "n0", "memphis");
    let site = site.unwrap_or_else(|errors| panic!("{errors}"));
    Router::new(site, &["look".to_owned(), "pay".to_owned()], &["piano".to_owned(), "band".to_owned()], 1)
}

fn request(
    class: usize,
    tenant: Option<usize>,
    method: &'static str,
    path: &'static str,
    key: u64,
) -> Request<'static> {
    Request { class, tenant, method, path, header: &|_| None, key }
}

#[rstest]
#[case::by_tenant(1, Some(0), "POST", "/pay", Some((1, Some(0))))]
#[case::other_tenant(1, Some(1), "POST", "/pay", None)]
#[case::no_tenant(1, None, "POST", "/pay", None)]
#[case::by_path(0, Some(1), "GET", "/look/7", Some((2, None)))]
#[case::path_outside(0, Some(1), "GET", "/looking", None)]
fn the_first_matching_route_is_taken(
    #[case] class: usize,
    #[case] tenant: Option<usize>,
    #[case] method: &'static str,
    #[case] path: &'static str,
    #[case] to: Option<(usize, Option<usize>)>,
) {
    // The east has a share of 0 %: the split leads west.
    let decision = router(0).route(&request(class, tenant, method, path, 7));
    assert_eq!(
        decision,
        to.map_or(RouteDecision::AllServers, |(pool, policy)| RouteDecision::Pool { pool, policy })
    );
}

#[test]
fn routes_match_headers_and_methods() {
    let router = router(50);
    let desk = Request {
        header: &|name| (name == "x-app").then_some("desk"),
        ..request(1, Some(0), "POST", "/pay", 1)
    };
    assert_eq!(router.route(&desk), RouteDecision::Pool { pool: 1, policy: None });
    assert_eq!(
        router.route(&request(1, Some(1), "PUT", "/pay", 1)),
        RouteDecision::Reject(Time::from_millis(1000))
    );
}

/// A split that changes from 20 % to 30 % moves a tenth of the keys, and all in one direction.
#[test]
fn keys_stay_in_their_part_as_shares_change() {
    let east = |share: u32| -> BTreeSet<u64> {
        let router = router(share);
        let decision = |key: &u64| router.route(&request(1, Some(0), "POST", "/pay", *key));
        (0..40_000).filter(|key| decision(key) == RouteDecision::Pool { pool: 0, policy: Some(0) }).collect()
    };
    let (smaller, larger) = (east(20), east(30));
    assert!(smaller.is_subset(&larger), "a key left the part that grew");
    assert!((smaller.len() as f64 / 40_000.0 - 0.2).abs() < 0.01, "{}", smaller.len());
    assert!((larger.len() as f64 / 40_000.0 - 0.3).abs() < 0.01, "{}", larger.len());
    assert!(east(0).is_empty(), "a share of 0 % gets no key");
}

fn listed(number: u32, zone: &str, is_ready: bool) -> ListedServer {
    ListedServer { number, zone: zone.to_owned(), kind: "m".to_owned(), id: format!("s-{number}"), is_ready }
}

#[test]
fn a_pool_emptied_by_drains_falls_back_and_is_used_again_later() {
    let router = router(50);
    let mut members = PoolMembers::default();
    let list = vec![listed(0, "memphis", true), listed(1, "memphis", true), listed(2, "nashville", true)];
    members.replace_list(router.site(), list);
    assert_eq!(members.candidates(0).servers, [0, 1]);
    for number in [0, 1] {
        assert!(members.allows(0, number));
        members.update_server(router.site(), number, Some(listed(number, "memphis", false)));
        assert!(!members.allows(0, number), "a server that drains gets no requests");
    }
    let candidates = members.candidates(0);
    assert_eq!((candidates.servers, candidates.pool), (&[2][..], 2), "the fallback has one that is ready");
    // A server that changes pools while a request waits is no candidate any more.
    members.update_server(router.site(), 2, Some(listed(2, "birmingham", true)));
    assert!(!members.allows(1, 2) && members.candidates(1).servers.is_empty());
    members.update_server(router.site(), 0, Some(listed(0, "memphis", true)));
    assert_eq!(members.candidates(0).servers, [0]);
}

/// If most of a pool is ejected, all ready members share the load, so that the others are not overloaded; none that drains.
#[test]
fn a_pool_in_panic_uses_all_ready_members() {
    let router = router(50);
    let mut members = PoolMembers::default();
    let list = (0..5).map(|number| listed(number, "memphis", number != 4)).collect();
    members.replace_list(router.site(), list);
    members.set_ejected(router.site(), vec![0]);
    assert_eq!((members.candidates(0).servers, members.candidates(0).is_panic), (&[1, 2, 3][..], false));
    members.set_ejected(router.site(), vec![0, 1, 2]);
    assert_eq!((members.candidates(0).servers, members.candidates(0).is_panic), (&[0, 1, 2, 3][..], true));
}

#[test]
fn a_policy_limits_requests_in_flight_attempts_and_retries() {
    let router = router(50);
    let mut budget = PolicyBudget::new(router.limits(Some(0)));
    let permits: Vec<RequestPermit> = (0..3).filter_map(|_| budget.try_admit(Time::ZERO)).collect();
    assert!(permits.len() == 3 && budget.try_admit(Time::ZERO).is_none());
    assert!(!budget.try_retry(Time::ZERO, 2), "the policy allows two attempts");
    permits.into_iter().for_each(|permit| budget.release(permit));
    assert_eq!(budget.in_flight(), 0);
    for millis in 0..1000 {
        let permit = budget.try_admit(Time::from_millis(millis)).expect("no request is in flight");
        budget.release(permit);
    }
    let granted = (0..1000).filter(|_| budget.try_retry(Time::from_millis(1000), 1)).count();
    assert!((180..=200).contains(&granted), "{granted} for 20 % of about 950 recent attempts");
    assert!(
        PolicyBudget::new(Default::default()).try_retry(Time::ZERO, 99),
        "without a policy there is no limit here"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// However the list changes, a candidate is a ready member of the effective pool, and `allows` agrees.
    #[test]
    fn no_server_outside_of_a_pool_is_a_candidate(
        changes in prop::collection::vec((0_u32..8, 0_usize..3, any::<bool>(), any::<bool>()), 1..60),
        ejected in prop::collection::vec(0_u32..8, 0..6),
    ) {
        let router = router(50);
        let zones = ["memphis", "nashville", "birmingham"];
        let mut members = PoolMembers::default();
        let mut list: Vec<ListedServer> = Vec::new();
        for (number, zone, is_ready, is_listed) in changes {
            let entry = is_listed.then(|| listed(number, zones[zone], is_ready));
            list.retain(|known| known.number != number);
            list.extend(entry.clone());
            members.update_server(router.site(), number, entry);
            members.set_ejected(router.site(), ejected.clone());
            for pool in 0..3 {
                let candidates = members.candidates(pool);
                let effective = &router.site().pools[candidates.pool];
                for server in candidates.servers {
                    let entry = list.iter().find(|entry| entry.number == *server).expect("a candidate is on the list");
                    prop_assert!(entry.is_ready && effective.has_member(&entry.zone, &entry.kind, &entry.id));
                    prop_assert!(members.allows(pool, *server));
                }
                let any_ready = list.iter().any(|entry| entry.is_ready && effective.has_member(&entry.zone, &entry.kind, &entry.id));
                prop_assert_eq!(candidates.servers.is_empty(), !any_ready);
            }
        }
    }
}
