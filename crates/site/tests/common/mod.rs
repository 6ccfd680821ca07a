//! The platform that sites are tested against.

use mosshead_site::{Platform, PlatformServer, RequestClass};
use mosshead_units::Time;

pub(crate) fn platform() -> Platform {
    let class = |name: &str, deadline: u64, may_execute_twice| RequestClass {
        name: name.to_owned(),
        deadline: Time::from_millis(deadline),
        may_execute_twice,
    };
    let names = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    let mut servers = Vec::new();
    for (number, zone) in ["memphis", "nashville", "birmingham"].iter().cycle().take(9).enumerate() {
        let kind = if number < 5 { "standard" } else { "older" };
        servers.push(PlatformServer {
            zone: zone.to_string(),
            kind: kind.to_owned(),
            id: format!("s-{number}"),
        });
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
        max_attempts: 4,
    }
}
