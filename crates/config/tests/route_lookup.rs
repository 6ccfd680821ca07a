//! The route of a request.

mod common;

use std::collections::BTreeSet;

use common::{pick, read, whole};
use mosshead_config::{Config, Route};
use quickcheck::{Arbitrary, Gen, quickcheck};

fn name<'a>(config: &'a Config, host: &str, path: &str) -> Option<&'a str> {
    config.find_route(host, path).map(|route| route.name.as_str())
}

fn routes(places: &[(String, String)]) -> Config {
    let routes: Vec<String> = places
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
        routes.join(",")
    );
    read(&text).expect("valid")
}

#[test]
fn the_example_finds_its_routes() {
    let config = whole();
    assert_eq!(name(&config, "ficu95.example", "/pufi791/2f"), Some("r-1"));
    assert_eq!(name(&config, "FICU95.Example:8080", "/pufi791/"), Some("r-1"));
    assert_eq!(name(&config, "ficu95.example", "/lohu930/a/b?c=/d"), Some("r-2"));
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
        assert_eq!(name(&config, host, path), None, "{host} {path}");
    }
}

#[test]
fn the_longest_prefix_wins() {
    let place = |host: &str, prefix: &str| (host.to_owned(), prefix.to_owned());
    let config = routes(&[
        place("h", "/"),
        place("h", "/a/b/"),
        place("h", "/a/"),
        place("[::1]", "/"),
        place("h", "/a/b/c/d/"),
        place("g", "/a/b/c/"),
    ]);
    for (path, wanted) in [
        ("/a/b/c/e/", "r1"),
        ("/a/b/c/d/", "r4"),
        ("/a/c/", "r2"),
        ("/a/bb/", "r2"),
        ("/a", "r0"),
        ("/zz", "r0"),
        ("/a/b/c/d", "r1"),
        ("/a/é/", "r2"),
    ] {
        assert_eq!(name(&config, "h", path), Some(wanted), "{path}");
    }
    assert_eq!(name(&config, "[::1]:443", "/a/"), Some("r3"));
    assert_eq!(name(&config, "g", "/a/b/"), None);
}

#[test]
fn a_host_is_found_however_its_port_is_written() {
    for host in [
        "C.example::80",
        "c.example:80:81",
        "c.example:",
        "c.example:x",
        " c.example :80",
        "[C::1]:80",
        "[c:80",
    ] {
        let config = routes(&[(host.to_owned(), "/".to_owned())]);
        let own = config.routes[0].host.clone();
        assert_eq!(name(&config, &own, "/"), Some("r0"), "{host} as {own}");
        assert_eq!(name(&config, host, "/"), Some("r0"), "{host}");
        assert_eq!(name(&config, &format!("{own}:443"), "/"), Some("r0"), "{host}");
    }
}

fn naive<'a>(config: &'a Config, host: &str, path: &str) -> Option<&'a Route> {
    config
        .routes
        .iter()
        .filter(|route| route.host == host.to_ascii_lowercase() && path.starts_with(&route.path_prefix))
        .max_by_key(|route| route.path_prefix.len())
        .map(|route| route.as_ref())
}

fn a_path(g: &mut Gen) -> String {
    let mut path = String::from("/");
    for _ in 0..pick(g, &[0, 1, 1, 2, 2, 3, 4]) {
        path.push_str(pick(g, &["a/", "b/", "aa/", "a.b/", "-/", "é/", "a", "A/", "~/"]));
    }
    path
}

fn a_host(g: &mut Gen) -> String {
    pick(g, &["a.example", "b.example", "a.example.b", "a"]).to_string()
}

#[derive(Debug, Clone)]
struct Places {
    places: Vec<(String, String)>,
    asked: Vec<(String, String)>,
}

impl Arbitrary for Places {
    fn arbitrary(g: &mut Gen) -> Self {
        let places: BTreeSet<_> =
            (0..pick(g, &[0, 1, 3, 10, 30, 60])).map(|_| (a_host(g), a_path(g))).collect();
        let mut places: Vec<_> = places.into_iter().collect();
        for at in 0..places.len() {
            let other = usize::arbitrary(g) % places.len();
            places.swap(at, other);
        }
        Places { places, asked: (0..60).map(|_| (a_host(g), a_path(g))).collect() }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let asked = self.asked.clone();
        let without = |at: usize, all: &[(String, String)]| [&all[..at], &all[at + 1..]].concat();
        let places = self.places.clone();
        Box::new(
            (0..places.len()).map(move |at| Places { places: without(at, &places), asked: asked.clone() }),
        )
    }
}

quickcheck! {
    fn find_is_what_a_scan_finds(places: Places) -> bool {
        let config = routes(&places.places);
        places.asked.iter().all(|(host, path)| {
            let found = config.find_route(&format!("{}:80", host.to_ascii_uppercase()), path);
            found.map(|route| route.as_ref()) == naive(&config, host, path)
        })
    }
}
