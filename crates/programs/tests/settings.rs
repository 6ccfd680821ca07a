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

/// At most three quarters are for bodies, and a proxy with little memory keeps enough for all else.
#[test]
fn the_memory_for_bodies_leaves_room_for_all_else() {
    let body_memory = |memory_mb: &str| {
        let text = format!("{MINIMAL}limits.memory_mb={memory_mb}\n");
        Settings::parse(text.as_bytes()).expect("valid").body_memory()
    };
    assert_eq!(body_memory("260"), 194_000_000);
    assert_eq!(body_memory("128"), 75_200_000);
    assert_eq!(body_memory("64"), 17_600_000);
    assert_eq!(body_memory("20"), 5_000_000);
    assert_eq!(body_memory("0"), 0);
    assert!(body_memory("18446744073709551615") > 1 << 60);
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
        ("bounds.lease_ms", "3000,4000"),
        ("bounds.grace_s", "-8"),
        ("bounds.retry_extra", "some"),
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

/// Guards against programs that don't start because of a field that they don't know, whatever its value (review/6).
#[test]
fn an_unknown_field_may_hold_anything() {
    let values: [&[u8]; 10] =
        [b"", b"soon", b"1,2,3", b"-3", b"NaN", b"\xFF\xFE", b"caf\xE9", b"a=b", b"C:\\", b"\\u12zz"];
    for key in
        ["bounds.version_ms", "bounds.thaw_ms", "weather", "limits.of_tomorrow", "listen_addresses.more"]
    {
        for value in values {
            let text = [MINIMAL.as_bytes(), key.as_bytes(), b"=", value, b"\nkeepalive_ms=700\n"].concat();
            let settings = Settings::parse(&text).unwrap_or_else(|error| panic!("{key}: {error}"));
            assert_eq!(
                settings.heartbeat_interval,
                Duration::from_millis(700),
                "{key}: the next line is read"
            );
            assert_eq!(settings.bounds.len(), 0, "{key}: no bound is made up");
        }
    }
    let text = [MINIMAL.as_bytes(), b"caf\xE9=1\n"].concat();
    Settings::parse(&text).expect("a key that is not UTF-8 is unknown");
}

/// Guards against programs that don't start because a field is empty whose absence they accept.
#[test]
fn an_empty_field_counts_as_absent() {
    let keys = [
        "keepalive_ms",
        "limits.memory_mb",
        "listen_addresses.front_http",
        "listen_addresses.readiness",
        "listen_addresses.control_plane",
        "bootstrap",
        "seed_nodes",
        "data_directory",
        "fault_tolerance.node_failures",
        "bounds.lease_ms",
        "bounds.grace_s",
        "bounds.sync_s",
        "bounds.retry_budget_ratio",
        "bounds.retry_extra",
        "bounds.retry_window_s",
    ];
    let described = |settings: Settings| {
        let addresses = (settings.front_http, settings.readiness, settings.control_plane);
        let retries = (settings.retry_budget_ratio(), settings.extra_retries(), settings.retry_window());
        let durations = (settings.grace(), settings.sync_time(), settings.lease());
        let more =
            (settings.bootstrap, settings.memory_mb, settings.node_failures, settings.heartbeat_interval);
        format!(
            "{addresses:?} {retries:?} {durations:?} {more:?} {:?}",
            (settings.data_directory, settings.seed_nodes)
        )
    };
    let absent = described(Settings::parse(MINIMAL.as_bytes()).expect("valid"));
    for key in keys {
        for value in ["", " ", "\t\r"] {
            let text = format!("{MINIMAL}{key}={value}\n");
            let settings = Settings::parse(text.as_bytes()).unwrap_or_else(|error| panic!("{key}: {error}"));
            assert_eq!(described(settings), absent, "{key}");
        }
    }
}

#[test]
fn an_empty_field_that_a_program_needs_is_reported_with_line_and_key() {
    for (at, key) in [(3, "ip_address"), (4, "internal_port_range")] {
        let text: String = MINIMAL
            .lines()
            .map(|line| if line.starts_with(key) { format!("{key}=\n") } else { format!("{line}\n") })
            .collect();
        let error = Settings::parse(text.as_bytes()).expect_err(key);
        assert!(
            error.to_string().starts_with(&format!("S04 line {at}: {key} is '': it must be ")),
            "{error}"
        );
    }
    let text = format!("{MINIMAL}listen_addresses.front_http=\ndata_directory=\nnode_name=\n");
    let settings = Settings::parse(text.as_bytes()).expect("valid for the other program");
    let error = settings.required_front_http().expect_err("empty");
    assert!(error.to_string().starts_with("S04 line 5: listen_addresses.front_http is ''"), "{error}");
    let error = settings.required_data_directory().expect_err("empty");
    assert!(error.to_string().starts_with("S04 line 6: data_directory is ''"), "{error}");
    let error = settings.required_node_name().expect_err("empty");
    assert!(error.to_string().starts_with("S04 line 7: node_name is ''"), "{error}");
    let settings = Settings::parse(MINIMAL.as_bytes()).expect("valid");
    assert_eq!(settings.required_node_name().expect("not empty"), "n");
    let error = settings.required_front_http().expect_err("absent");
    assert_eq!(error.to_string(), "S03 listen_addresses.front_http is missing");
    let error = settings.required_data_directory().expect_err("absent");
    assert_eq!(error.to_string(), "S03 data_directory is missing");
}

/// DEPLOY.md, Settings of a process: "each line has the form a.b=value". Only the first `=` has a meaning.
#[test]
fn a_value_is_taken_as_it_stands() {
    for directory in ["/data/\\", "/data\\n/x", "/a:b", "/a!b#c", "/a=b", "/\\u0041", "/a b"] {
        let text = format!("{MINIMAL}data_directory={directory}\nkeepalive_ms=700\n");
        let settings = Settings::parse(text.as_bytes()).expect("valid");
        assert_eq!(settings.data_directory, Some(PathBuf::from(directory)));
        assert_eq!(settings.heartbeat_interval, Duration::from_millis(700), "the next line is read");
    }
    let zone = |line: &str| Settings::parse(format!("{MINIMAL}{line}\n").as_bytes()).expect("valid").zone;
    for unknown in
        ["zone:elsewhere=1", "zone elsewhere", "!zone=elsewhere", "#zone=elsewhere", "\\zone=elsewhere"]
    {
        assert_eq!(zone(unknown), "z", "{unknown}");
    }
    assert_eq!(zone(" zone = \u{e9}ast \r"), "\u{e9}ast", "white space around key and value is dropped");
    assert_eq!(zone("zone="), "", "a zone may be empty");
}

#[test]
fn a_needed_value_that_is_not_utf8_is_reported_with_line_and_key() {
    for key in ["zone", "node_name", "seed_nodes", "bounds.lease_ms", "keepalive_ms", "data_directory"] {
        let text = [MINIMAL.as_bytes(), key.as_bytes(), b"=\xFF\n"].concat();
        let error = Settings::parse(&text).expect_err(key);
        assert!(matches!(error, SettingsError::InvalidLine(5, _)), "{error}");
        assert_eq!(error.to_string(), format!("S02 line 5: {key} is not UTF-8"));
    }
}

#[test]
fn a_byte_order_mark_is_skipped() {
    let text = format!("\u{feff}{MINIMAL}");
    assert_eq!(Settings::parse(text.as_bytes()).expect("valid").node_name, "n");
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
