//! Route lookup by host and path.

mod common;

use std::collections::BTreeSet;

use common::{choose, example, parse};
use mosshead_config::{Config, Route};
use quickcheck::{Arbitrary, Gen, quickcheck};

fn route_name<'a>(config: &'a Config, host: &str, path: &str) -> Option<&'a str> {
    config.find_route(host, path).map(|route| route.name.as_str())
}

fn config_with_routes(matches: &[(String, String)]) -> Config {
    let config_with_routes: Vec<String> = matches
        .iter()
        .enumerate()
        .map(|(at, (host, prefix))| {
            format!(
                r#"{{"name":"r{at}","host_header":"{host}","path_prefix":"{prefix}","timeout_ms":9,"backend_service":"s"}}"#
            )
        })
        .collect();
    let text = format!(
        r#"{{"revision":1,"route_entries":[{}],"backend_services":[{{"name":"s"}}]}}"#,
        config_with_routes.join(",")
    );
    parse(&text).expect("valid")
}

#[test]
fn requests_match_the_routes_of_the_example() {
    let config = example();
    assert_eq!(route_name(&config, "ficu95.example", "/pufi791/2f"), Some("r-1"));
    assert_eq!(route_name(&config, "FICU95.Example:8080", "/pufi791/"), Some("r-1"));
    assert_eq!(route_name(&config, "ficu95.example", "/lohu930/a/b?c=/d"), Some("r-2"));
    for (host, path) in [
        ("ficu95.example", "/pufi791"),
        ("ficu95.example", "/"),
        ("ficu95.example", ""),
        ("ficu95.example", "/x?/pufi791/"),
        ("ficu95.exampl", "/pufi791/"),
        ("ficu95.example.", "/pufi791/"),
        ("", "/pufi791/"),
        (":", "/pufi791/"),
        ("[", "/pufi791/"),
    ] {
        assert_eq!(route_name(&config, host, path), None, "{host} {path}");
    }
}

#[test]
fn the_longest_prefix_wins() {
    let route_match = |host: &str, prefix: &str| (host.to_owned(), prefix.to_owned());
    let config = config_with_routes(&[
        route_match("h", "/"),
        route_match("h", "/a/b/"),
        route_match("h", "/a/"),
        route_match("[::1]", "/"),
        route_match("h", "/a/b/c/d/"),
        route_match("g", "/a/b/c/"),
    ]);
    for (path, expected) in [
        ("/a/b/c/e/", "r1"),
        ("/a/b/c/d/", "r4"),
        ("/a/c/", "r2"),
        ("/a/bb/", "r2"),
        ("/a", "r0"),
        ("/zz", "r0"),
        ("/a/b/c/d", "r1"),
        ("/a/é/", "r2"),
    ] {
        assert_eq!(route_name(&config, "h", path), Some(expected), "{path}");
    }
    assert_eq!(route_name(&config, "[::1]:443", "/a/"), Some("r3"));
    assert_eq!(route_name(&config, "g", "/a/b/"), None);
}

#[test]
fn a_host_with_an_unusual_port_is_found() {
    for host in [
        "C.example::80",
        "c.example:80:81",
        "c.example:",
        "c.example:x",
        " c.example :80",
        "[C::1]:80",
        "[c:80",
    ] {
        let config = config_with_routes(&[(host.to_owned(), "/".to_owned())]);
        let own = config.routes()[0].host.clone();
        assert_eq!(route_name(&config, &own, "/"), Some("r0"), "{host} as {own}");
        assert_eq!(route_name(&config, host, "/"), Some("r0"), "{host}");
        assert_eq!(route_name(&config, &format!("{own}:443"), "/"), Some("r0"), "{host}");
    }
}

fn scan_for_route<'a>(config: &'a Config, host: &str, path: &str) -> Option<&'a Route> {
    config
        .routes()
        .iter()
        .filter(|route| route.host == host.to_ascii_lowercase() && path.starts_with(&route.path_prefix))
        .max_by_key(|route| route.path_prefix.len())
        .map(|route| route.as_ref())
}

fn arbitrary_path(g: &mut Gen) -> String {
    let mut path = String::from("/");
    for _ in 0..choose(g, &[0, 1, 1, 2, 2, 3, 4]) {
        path.push_str(choose(g, &["a/", "b/", "aa/", "a.b/", "-/", "é/", "a", "A/", "~/"]));
    }
    path
}

fn arbitrary_host(g: &mut Gen) -> String {
    choose(g, &["a.example", "b.example", "a.example.b", "a"]).to_string()
}

#[derive(Debug, Clone)]
struct RouteMatches {
    matches: Vec<(String, String)>,
    requests: Vec<(String, String)>,
}

impl Arbitrary for RouteMatches {
    fn arbitrary(g: &mut Gen) -> Self {
        let matches: BTreeSet<_> =
            (0..choose(g, &[0, 1, 3, 10, 30, 60])).map(|_| (arbitrary_host(g), arbitrary_path(g))).collect();
        let mut matches: Vec<_> = matches.into_iter().collect();
        for at in 0..matches.len() {
            let other = usize::arbitrary(g) % matches.len();
            matches.swap(at, other);
        }
        RouteMatches { matches, requests: (0..60).map(|_| (arbitrary_host(g), arbitrary_path(g))).collect() }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let requests = self.requests.clone();
        let without = |at: usize, all: &[(String, String)]| [&all[..at], &all[at + 1..]].concat();
        let matches = self.matches.clone();
        Box::new(
            (0..matches.len())
                .map(move |at| RouteMatches { matches: without(at, &matches), requests: requests.clone() }),
        )
    }
}

quickcheck! {
    fn the_route_table_finds_the_same_route_as_a_linear_scan(matches: RouteMatches) -> bool {
        let config = config_with_routes(&matches.matches);
        matches.requests.iter().all(|(host, path)| {
            let found = config.find_route(&format!("{}:80", host.to_ascii_uppercase()), path);
            found.map(|route| route.as_ref()) == scan_for_route(&config, host, path)
        })
    }
}
