//! The routing of one request at 200 routes.
#![allow(missing_docs)] // criterion_group! writes a function without any.

use criterion::{Criterion, criterion_group, criterion_main};
use mosshead_routes::{Request, Router};
use mosshead_site::{MemoryFiles, read};

fn site_text(routes: usize) -> String {
    let mut text = "pool \"a\"\npool \"b\"\n".to_owned();
    for route in 0..routes {
        text += &format!(
            "route \"r{route}\" {{\n path \"/c/p{route}/\"\n to \"a\" share=\"30%\"\n to \"b\" share=\"70%\"\n}}\n"
        );
    }
    text
}

fn route(criterion: &mut Criterion) {
    let site = read(&MemoryFiles::single("site.kdl", &site_text(200)), "site.kdl", "n0", "a")
        .expect("the site is valid");
    let router = Router::new(site, &["c".to_owned()], &[], 1);
    for (name, path) in [("first", "/c/p0/1"), ("middle", "/c/p100/1"), ("last", "/c/p199/1"), ("none", "/d")]
    {
        let request = Request { class: 0, tenant: None, method: "GET", path, header: &|_| None, key: 0x5eed };
        criterion.bench_function(&format!("200 routes, {name}"), |bench| {
            bench.iter(|| std::hint::black_box(router.route(std::hint::black_box(&request))));
        });
    }
}

criterion_group!(benches, route);
criterion_main!(benches);
