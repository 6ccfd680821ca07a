//! The platform that sites are tested against.

use mosshead_site::{ClassFacts, Platform};
use mosshead_units::Time;

pub(crate) fn platform() -> Platform {
    let class = |name: &str, deadline: u64, safe| ClassFacts {
        name: name.to_owned(),
        deadline: Time::from_millis(deadline),
        safe,
    };
    let names = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    let mut servers = Vec::new();
    for (at, zone) in ["memphis", "nashville", "birmingham"].iter().cycle().take(9).enumerate() {
        let kind = if at < 5 { "standard" } else { "older" };
        servers.push((zone.to_string(), kind.to_owned(), format!("s-{at}")));
    }
    Platform {
        classes: vec![
            class("slot-lookup", 4000, true),
            class("book-lesson", 6000, false),
            class("package-pay", 2500, false),
        ],
        tenants: names(&["piano-strings", "band-voice"]),
        zones: names(&["memphis", "nashville", "birmingham"]),
        kinds: names(&["standard", "older"]),
        servers,
        attempts: 4,
    }
}
