//! The language: what it means, that the formatter changes no meaning, that a diff says exactly what changes.

mod common;

use std::cell::RefCell;
use std::collections::BTreeMap;

use common::platform;
use mosshead_site::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn site(text: &str) -> Site {
    read(&MemoryFiles::single("site.kdl", text), "site.kdl", "n1", "memphis")
        .unwrap_or_else(|errors| panic!("{errors}"))
}

fn request(class: &str, tenant: &str) -> RequestDescription {
    sample_requests(&platform())
        .into_iter()
        .find(|request| request.class == class && request.tenant.as_deref() == Some(tenant))
        .expect("the platform has this class and tenant")
}

const SITE: &str = r#"
let patience "2s"
pool "quick" { kind "standard"; fallback "all" }
pool "all"
pool "one" { id "s-8" }
policy "pay" { time-limit "$patience"; attempts 2; second-copies #false }
route "payments" { class "package-pay"; tenant "band-voice"; to "quick" share="75%"; to "one" share="25%"; policy "pay" }
route "closed" { class "book-lesson"; refuse "1s" }
"#;

#[test]
fn requests_follow_the_routes_of_a_site() {
    let site = site(SITE);
    assert!(check(&site, &platform()).is_empty());
    let servers = platform().servers;
    let paid = explain(&site, &request("package-pay", "band-voice"), &servers);
    let route = paid.route.as_ref().map(|route| (route.text.as_str(), route.location.line));
    assert_eq!(route, Some(("payments", 7)));
    let split: Vec<(usize, f64)> = paid.pools.iter().map(|pool| (pool.members.len(), pool.share)).collect();
    assert_eq!(split, [(5, 0.75), (1, 0.25)]);
    assert_eq!(paid.limits["time limit"].text, "2 s");
    let attempts = &paid.limits["attempts"];
    assert_eq!((attempts.text.as_str(), attempts.location.line), ("2", 6));
    assert_eq!(
        explain(&site, &request("book-lesson", "band-voice"), &servers).rejected_for_seconds,
        Some(1.0)
    );
    assert_eq!(explain(&site, &request("slot-lookup", "band-voice"), &servers), Behaviour::default());
}

/// The case that the language is for: a mistyped pool sends every payment to one old machine.
#[test]
fn a_diff_names_the_behaviour_that_changes() {
    let old = site("");
    let new = site(
        "pool \"one\" { id \"s-8\" }\nroute \"pay\" { class \"package-pay\"; tenant \"band-voice\"; to \"one\" }",
    );
    let changes: Vec<String> = diff(&old, &new, &platform()).iter().map(ToString::to_string).collect();
    assert_eq!(
        changes,
        ["package-pay for band-voice now goes to 1 server of 9 (s-8); before, it goes to all 9 servers"]
    );
    assert!(diff(&new, &new, &platform()).is_empty());
}

#[test]
fn a_pool_with_too_few_members_falls_back() {
    let site = site(
        "pool \"east\" { zone \"memphis\"; least \"50%\"; fallback \"all\" }\npool \"all\"\nroute \"r\" { to \"east\" }",
    );
    let behaviour = explain(&site, &request("slot-lookup", "band-voice"), &platform().servers);
    assert_eq!(behaviour.pools[0].fallback.as_deref(), Some("all"));
    assert_eq!(behaviour.pools[0].members.len(), 9);
}

#[rstest]
#[case::by_name("n3", "nashville", 1)]
#[case::by_zone("n1", "memphis", 3)]
#[case::neither("n1", "nashville", 4)]
fn an_override_applies_only_to_the_instances_that_it_names(
    #[case] name: &str,
    #[case] zone: &str,
    #[case] attempts: u32,
) {
    let text = "policy \"p\" { attempts 4 }\noverride instance=\"n3*\" { policy \"p\" { attempts 1 } }\n\
                override zone=\"memphis\" { policy \"p\" { attempts 3 } }";
    let site =
        read(&MemoryFiles::single("site.kdl", text), "site.kdl", name, zone).expect("the site is valid");
    assert_eq!(site.policies[0].limits.attempts, Some(attempts));
}

/// The message names every file on the way.
#[test]
fn an_error_in_an_include_names_the_chain_of_files() {
    let files = MemoryFiles(BTreeMap::from([
        ("deploy/site.kdl".to_owned(), b"// top\ninclude \"pools/a.kdl\"\n".to_vec()),
        ("deploy/pools/a.kdl".to_owned(), b"include \"../b.kdl\"\n".to_vec()),
        ("deploy/b.kdl".to_owned(), b"pool \"x\" {\n  least 30\n}\n".to_vec()),
    ]));
    let errors = read(&files, "deploy/site.kdl", "n1", "memphis").expect_err("a share needs its unit").0;
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert_eq!((errors[0].file(), errors[0].position()), ("deploy/b.kdl", (2, 9)));
    assert_eq!(errors[0].message(), "`30` needs `%`, as in `35%`");
    assert_eq!(errors[0].include_chain(), ["deploy/pools/a.kdl:1", "deploy/site.kdl:2"]);
}

/// Whatever a file contains, it is a site or a list of errors, never a panic or an endless read.
#[rstest]
#[case::not_utf8(&b"pool \"\xff\""[..], "is not UTF-8: byte 6")]
#[case::huge(&[b' '; (1 << 20) + 1][..], "is larger than 1024 KiB")]
fn a_file_that_is_not_text_is_rejected_by_name(#[case] bytes: &[u8], #[case] message: &str) {
    let files = MemoryFiles(BTreeMap::from([("site.kdl".to_owned(), bytes.to_vec())]));
    let errors = read(&files, "site.kdl", "n1", "memphis").expect_err("the file is not text").to_string();
    assert!(errors.contains(message), "{errors}");
}

/// Whether a server of this id is a member of a pool with this pattern.
#[rstest]
#[case("s-1", "s-1", true)]
#[case("s-1", "s-12", false)]
#[case("s-*", "s-12", true)]
#[case("*", "", true)]
#[case("*-12", "s-12", true)]
#[case("s*2", "s-12", true)]
#[case("s*1*2", "s-12", true)]
#[case("s*3*2", "s-12", false)]
#[case("ab*ba", "aba", false)]
fn a_star_in_an_id_stands_for_any_text(#[case] pattern: &str, #[case] id: &str, #[case] is_member: bool) {
    let site = site(&format!("pool \"p\" {{ id \"{pattern}\" }}"));
    assert_eq!(site.pools[0].has_member("memphis", "standard", id), is_member);
}

/// Has one file, which includes another, and keeps the paths that are asked for.
struct RecordingFiles {
    include: &'static str,
    paths: RefCell<Vec<String>>,
}

impl Files for RecordingFiles {
    fn read(&self, path: &str, _: usize) -> std::io::Result<Vec<u8>> {
        let mut paths = self.paths.borrow_mut();
        paths.push(path.to_owned());
        let is_first = paths.len() == 1;
        Ok(if is_first { format!("include \"{}\"", self.include).into_bytes() } else { Vec::new() })
    }
}

/// A file has one path, however it is included: circles of includes are found by it.
#[rstest]
#[case("deploy/site.kdl", "pools.kdl", "deploy/pools.kdl")]
#[case("deploy/a/site.kdl", "../b/./pools.kdl", "deploy/b/pools.kdl")]
#[case("site.kdl", "../x.kdl", "../x.kdl")]
#[case("deploy/site.kdl", "/etc/x.kdl", "/etc/x.kdl")]
fn an_include_is_relative_to_the_including_file(
    #[case] including_file: &str,
    #[case] include: &'static str,
    #[case] path: &str,
) {
    let files = RecordingFiles { include, paths: RefCell::default() };
    read(&files, including_file, "n1", "memphis").expect("both files are valid");
    assert_eq!(*files.paths.borrow(), [including_file, path]);
}

fn any_site_text() -> impl Strategy<Value = String> {
    let pool = |name: &'static str| {
        let inside = prop::sample::select(vec![
            "",
            "zone \"memphis\"",
            "kind \"older\"",
            "id \"s-1*\"",
            "least \"40%\"; fallback \"c\"",
            "zone \"nashville\" \"memphis\"; panic \"20%\"",
        ]);
        inside.prop_map(move |inside| format!("pool \"{name}\" {{ {inside} }}\n"))
    };
    let route = |name: &'static str| {
        let matches = prop::sample::select(vec![
            "",
            "class \"package-pay\"",
            "tenant \"band-voice\"",
            "method \"GET\"",
            "path \"/book\"",
            "class \"slot-lookup\" \"book-lesson\"; tenant \"piano-strings\"",
        ]);
        let target = prop::sample::select(vec![
            "to \"a\"",
            "to \"b\"",
            "refuse \"500ms\"",
            "to \"a\" share=\"30%\"; to \"c\" share=\"70%\"",
            "to \"a\" share=\"0%\"; to \"b\" share=\"100%\"",
        ]);
        let policy = prop::sample::select(vec!["", "; policy \"p\""]);
        (matches, target, policy).prop_map(move |(matches, target, policy)| {
            format!("// a comment\nroute \"{name}\" {{\n{matches}\n{target}{policy}\n}}\n")
        })
    };
    let limits = prop::sample::select(vec!["attempts 2", "time-limit \"1s\"", "concurrency 9; attempts 1"]);
    (pool("a"), pool("b"), route("x"), route("y"), limits)
        .prop_map(|(a, b, x, y, limits)| format!("{a}{b}pool \"c\"\npolicy \"p\" {{ {limits} }}\n{x}{y}"))
}

/// What a site does with one request, whatever its pools and routes are called.
#[derive(PartialEq)]
struct Effect {
    servers: BTreeMap<String, u64>,
    rejected_for_seconds: Option<f64>,
    limits: Vec<(&'static str, String)>,
}

fn effects(site: &Site, platform: &Platform) -> Vec<Effect> {
    let effect = |request: &RequestDescription| {
        let behaviour = explain(site, request, &platform.servers);
        let mut shares: BTreeMap<String, f64> = BTreeMap::new();
        for pool in &behaviour.pools {
            for member in &pool.members {
                *shares.entry(member.clone()).or_default() += pool.share / pool.members.len() as f64;
            }
        }
        if behaviour.route.is_none() {
            shares = platform.servers.iter().map(|server| (server.id.clone(), 1.0 / 9.0)).collect();
        }
        let shares = shares.into_iter().filter(|(_, share)| *share > 0.0);
        Effect {
            servers: shares.map(|(id, share)| (id, (share * 1e6).round() as u64)).collect(),
            rejected_for_seconds: behaviour.rejected_for_seconds,
            limits: behaviour.limits.into_iter().map(|(name, limit)| (name, limit.text)).collect(),
        }
    };
    sample_requests(platform).iter().map(effect).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// The formatter changes no meaning, keeps comments, and a second pass changes nothing.
    #[test]
    fn formatting_is_idempotent_and_changes_no_meaning(text in any_site_text()) {
        let once = format(&text).expect("the text is KDL");
        prop_assert_eq!(&format(&once).expect("the text is KDL"), &once);
        prop_assert_eq!(once.matches("// a comment").count(), 2);
        prop_assert!(diff(&site(&text), &site(&once), &platform()).is_empty());
    }

    /// A diff is empty exactly if `explain` says the same of every request.
    #[test]
    fn a_diff_is_empty_exactly_if_all_behaviour_is_the_same(one in any_site_text(), other in any_site_text()) {
        let (one, other, platform) = (site(&one), site(&other), platform());
        let is_same = effects(&one, &platform) == effects(&other, &platform);
        prop_assert_eq!(diff(&one, &other, &platform).is_empty(), is_same);
    }

    /// The reader never panics, whatever it is given.
    #[test]
    fn no_text_makes_the_reader_panic(text in ".{0,200}") {
        let _ = read(&MemoryFiles::single("site.kdl", &text), "site.kdl", "n1", "memphis");
    }
}
