//! Parses the documented sample of the settings file, and checks each error with its line number.

use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

use mosshead_programs::settings::{PortRange, Settings, SettingsError};
use mosshead_time::Duration;
use quickcheck::quickcheck;

const EDGE: &str = include_str!("samples/edge.properties");

/// `keepalive_ms` of the sample, and its default.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);

/// A file with only the required fields.
const MINIMAL: &str = "node_name=n\nzone=z\nip_address=127.0.0.1\ninternal_port_range=7720,7735\n";

fn address(text: &str) -> std::net::SocketAddrV4 {
    text.parse().expect("an address")
}

#[test]
fn the_documented_sample_is_valid() {
    let settings = Settings::parse(EDGE.as_bytes()).expect("valid");
    assert_eq!(
        (settings.node_name.as_str(), settings.zone.as_str()),
        ("edge-dixie-east-a-1", "dixie-east-a")
    );
    assert_eq!(settings.ip_address, Ipv4Addr::new(10, 1, 0, 10));
    assert_eq!(settings.front_http, Some(address("10.1.0.10:8161")));
    assert_eq!(settings.readiness, Some(address("10.1.0.10:8167")));
    assert_eq!((settings.control_plane, settings.data_directory.clone()), (None, None));
    assert_eq!(settings.internal_ports, PortRange { first: 7720, last: 7735 });
    let seeds = ["10.1.0.12:8166", "10.2.0.42:8166", "10.3.0.9:8166"].map(address);
    assert_eq!(settings.seed_nodes, seeds);
    assert_eq!(
        (settings.bootstrap, settings.heartbeat_interval, settings.node_failures),
        (true, HEARTBEAT_INTERVAL, 1)
    );
    assert_eq!(settings.bound("lease_ms", 1.0), 3000.0);
    assert_eq!(settings.bound("retry_budget_ratio", 1.0), 0.2);
    assert_eq!(settings.bound("fencing", 0.0), 1.0);
    assert_eq!(settings.bounds.len(), 20);
    assert_eq!(settings.internal_address(), address("10.1.0.10:7720"));
    assert_eq!(
        settings.internal_seed_addresses(),
        ["10.1.0.12:7720", "10.2.0.42:7720", "10.3.0.9:7720"].map(address)
    );
}

#[test]
fn fields_of_a_control_node_are_read() {
    let text = format!("{MINIMAL}listen_addresses.control_plane=127.0.0.1:8166\ndata_directory=/data/x\n");
    let settings = Settings::parse(text.as_bytes()).expect("valid");
    assert_eq!(settings.control_plane, Some(address("127.0.0.1:8166")));
    assert_eq!(settings.data_directory, Some(PathBuf::from("/data/x")));
    assert_eq!(
        (settings.bootstrap, settings.heartbeat_interval, settings.node_failures),
        (false, HEARTBEAT_INTERVAL, 1)
    );
    assert!(settings.seed_nodes.is_empty());
    assert_eq!(settings.bound("lease_ms", 7.5), 7.5);
}

#[test]
fn unknown_fields_are_ignored() {
    let more = "weather=wet\nbounds.of_tomorrow=4\nzones.a=b\n# a remark\n\n! another\nempty=\n";
    let settings = Settings::parse(format!("{MINIMAL}{more}").as_bytes()).expect("valid");
    assert_eq!(settings.bound("of_tomorrow", 0.0), 4.0);
}

#[test]
fn durations_have_defaults_and_accept_any_valid_number() {
    let durations = |more: &str| {
        let settings = Settings::parse(format!("{MINIMAL}{more}").as_bytes()).expect("valid");
        (settings.grace(), settings.sync_time(), settings.lease())
    };
    let (grace, sync_time, lease) =
        (Duration::from_secs(8), Duration::from_millis(4500), Duration::from_millis(3000));
    assert_eq!(durations(""), (grace, sync_time, lease));
    assert_eq!(durations("bounds.grace_s=0.25\n").0, Duration::from_millis(250));
    assert_eq!(durations("bounds.grace_s=1e300\n").0, Duration::MAX);
    assert_eq!(durations("bounds.sync_s=1e300\n").1, Duration::from_secs(3600));
    assert_eq!(durations("bounds.lease_ms=1e300\n").2, Duration::from_millis(u64::MAX));
}

#[test]
fn the_retry_budget_has_defaults() {
    let budget = |more: &str| {
        let settings = Settings::parse(format!("{MINIMAL}{more}").as_bytes()).expect("valid");
        (settings.retry_budget_ratio(), settings.extra_retries(), settings.retry_window())
    };
    assert_eq!(budget(""), (0.2, 20.0, Duration::from_secs(10)));
    let more = "bounds.retry_budget_ratio=0.1\nbounds.retry_extra=5\nbounds.retry_window_s=2.5\n";
    assert_eq!(budget(more), (0.1, 5.0, Duration::from_millis(2500)));
}

#[test]
fn a_missing_field_is_named() {
    for key in ["node_name", "zone", "ip_address", "internal_port_range"] {
        let text: String =
            MINIMAL.lines().filter(|line| !line.starts_with(key)).map(|line| format!("{line}\n")).collect();
        let error = Settings::parse(text.as_bytes()).expect_err(key);
        assert!(matches!(error, SettingsError::Missing(missing) if missing == key), "{error}");
        assert_eq!(error.to_string(), format!("S03 {key} is missing"));
    }
}

#[test]
fn an_invalid_value_is_reported_with_line_and_key() {
    let wrong = [
        ("listen_addresses.front_http", "10.1.0.10"),
        ("listen_addresses.readiness", "localhost:80"),
        ("listen_addresses.control_plane", "10.1.0.10:99999"),
        ("bootstrap", "yes"),
        ("keepalive_ms", "-1"),
        ("fault_tolerance.node_failures", "1.5"),
        ("bounds.lease_ms", "soon"),
        ("bounds.lease_ms", "-3"),
        ("bounds.lease_ms", "NaN"),
        ("bounds.lease_ms", "inf"),
        ("bounds.lease_ms", ""),
        ("seed_nodes", "10.1.0.12"),
    ];
    for (key, value) in wrong {
        let text = format!("{MINIMAL}# a remark\n{key}={value}\nweather=wet\n");
        let error = Settings::parse(text.as_bytes()).expect_err(key);
        let place = format!("S04 line 6: {key} is '{value}': it must be ");
        assert!(error.to_string().starts_with(&place), "{error}");
        assert!(error.to_string().len() > place.len(), "{error}");
    }
    for (at, key, value) in [
        (3, "ip_address", "::1"),
        (4, "internal_port_range", "7720-7735"),
        (4, "internal_port_range", "7720,x"),
    ] {
        let text: String = MINIMAL
            .lines()
            .map(|line| if line.starts_with(key) { format!("{key}={value}\n") } else { format!("{line}\n") })
            .collect();
        let error = Settings::parse(text.as_bytes()).expect_err(key);
        assert!(
            matches!(&error, SettingsError::InvalidValue(line, named, was, _)
            if *line == at && named == key && was == value),
            "{error}"
        );
    }
    // In a list, the error shows the invalid item.
    let text = format!("{MINIMAL}seed_nodes=10.1.0.12:8166, nowhere,10.3.0.9:8166\n");
    let error = Settings::parse(text.as_bytes()).expect_err("an item");
    assert!(error.to_string().starts_with("S04 line 5: seed_nodes is 'nowhere'"), "{error}");
}

#[test]
fn a_malformed_line_is_reported_with_its_number() {
    let error =
        Settings::parse(format!("{MINIMAL}zone=\\u12zz\n").as_bytes()).expect_err("no such character");
    assert!(matches!(error, SettingsError::InvalidLine(5, _)), "{error}");
    assert!(error.to_string().starts_with("S02 line 5: "), "{error}");
}

#[test]
fn an_unreadable_file_is_named() {
    let error = Settings::load(Path::new("/nonexistent/settings")).expect_err("no file");
    assert!(error.to_string().starts_with("S01 /nonexistent/settings: can't be read: "), "{error}");
}

#[test]
fn a_file_is_loaded() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("settings");
    std::fs::write(&path, EDGE).expect("written");
    assert_eq!(Settings::load(&path).expect("valid").heartbeat_interval, HEARTBEAT_INTERVAL);
}

#[test]
fn a_truncated_byte_order_mark_is_an_invalid_line() {
    for bytes in [&[0xEF][..], &[0xEF, 0xBB], b"a=b\n\xEF"] {
        let error = Settings::parse(bytes).expect_err("no text");
        assert!(error.to_string().starts_with("S02 line"), "{error}");
    }
}

quickcheck! {
    fn arbitrary_bytes_never_panic(bytes: Vec<u8>) -> bool {
        let _ = Settings::parse(&bytes);
        true
    }

    /// A part of the sample is replaced by arbitrary bytes.
    fn a_mutated_sample_never_panics(at: usize, length: u8, with: Vec<u8>) -> bool {
        let mut bytes = EDGE.as_bytes().to_vec();
        let from = at % bytes.len();
        let to = (from + usize::from(length)).min(bytes.len());
        bytes.splice(from..to, with);
        let _ = Settings::parse(&bytes);
        true
    }
}
