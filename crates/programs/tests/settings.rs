//! The settings file: the sample of the pages, and every fault with its place.

use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

use mosshead_programs::settings::{Settings, SettingsError};
use quickcheck::quickcheck;

const EDGE: &str = include_str!("samples/edge.properties");

/// As few lines as will do.
const LEAST: &str = "node_name=n\nzone=z\nip_address=127.0.0.1\ninternal_port_range=7720,7735\n";

fn address(text: &str) -> std::net::SocketAddrV4 {
    text.parse().expect("an address")
}

#[test]
fn the_sample_of_the_pages_passes() {
    let read = Settings::read(EDGE.as_bytes()).expect("sound");
    assert_eq!((read.node_name.as_str(), read.zone.as_str()), ("edge-dixie-east-a-1", "dixie-east-a"));
    assert_eq!(read.ip, Ipv4Addr::new(10, 1, 0, 10));
    assert_eq!(read.front_http, Some(address("10.1.0.10:8161")));
    assert_eq!(read.readiness, Some(address("10.1.0.10:8167")));
    assert_eq!((read.control_plane, read.data_directory.clone()), (None, None));
    assert_eq!(read.internal_ports, (7720, 7735));
    let seeds = ["10.1.0.12:8166", "10.2.0.42:8166", "10.3.0.9:8166"].map(address);
    assert_eq!(read.seed_nodes, seeds);
    assert_eq!((read.bootstrap, read.keepalive_ms, read.node_failures), (true, 1200, 1));
    assert_eq!(read.bound("lease_ms", 1.0), 3000.0);
    assert_eq!(read.bound("retry_budget_ratio", 1.0), 0.2);
    assert_eq!(read.bound("fencing", 0.0), 1.0);
    assert_eq!(read.bounds.len(), 20);
    assert_eq!(read.internal(), address("10.1.0.10:7720"));
    assert_eq!(read.internal_seeds(), ["10.1.0.12:7720", "10.2.0.42:7720", "10.3.0.9:7720"].map(address));
}

#[test]
fn what_a_core_machine_is_given_is_read() {
    let text = format!("{LEAST}listen_addresses.control_plane=127.0.0.1:8166\ndata_directory=/data/x\n");
    let read = Settings::read(text.as_bytes()).expect("sound");
    assert_eq!(read.control_plane, Some(address("127.0.0.1:8166")));
    assert_eq!(read.data_directory, Some(PathBuf::from("/data/x")));
    assert_eq!((read.bootstrap, read.keepalive_ms, read.node_failures), (false, 1200, 1));
    assert!(read.seed_nodes.is_empty());
    assert_eq!(read.bound("lease_ms", 7.5), 7.5);
}

#[test]
fn fields_that_are_not_known_are_ignored() {
    let more = "weather=wet\nbounds.of_tomorrow=4\nzones.a=b\n# a remark\n\n! another\nempty=\n";
    let read = Settings::read(format!("{LEAST}{more}").as_bytes()).expect("sound");
    assert_eq!(read.bound("of_tomorrow", 0.0), 4.0);
}

#[test]
fn what_is_missing_is_named() {
    for key in ["node_name", "zone", "ip_address", "internal_port_range"] {
        let text: String =
            LEAST.lines().filter(|line| !line.starts_with(key)).map(|line| format!("{line}\n")).collect();
        let fault = Settings::read(text.as_bytes()).expect_err(key);
        assert!(matches!(fault, SettingsError::Missing(missing) if missing == key), "{fault}");
        assert_eq!(fault.to_string(), format!("S03 {key} is missing"));
    }
}

#[test]
fn a_value_that_makes_no_sense_is_told_with_line_and_key() {
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
        let text = format!("{LEAST}# a remark\n{key}={value}\nweather=wet\n");
        let fault = Settings::read(text.as_bytes()).expect_err(key);
        let place = format!("S04 line 6: {key} is '{value}': it must be ");
        assert!(fault.to_string().starts_with(&place), "{fault}");
        assert!(fault.to_string().len() > place.len(), "{fault}");
    }
    for (at, key, value) in [
        (3, "ip_address", "::1"),
        (4, "internal_port_range", "7720-7735"),
        (4, "internal_port_range", "7720,x"),
    ] {
        let text: String = LEAST
            .lines()
            .map(|line| if line.starts_with(key) { format!("{key}={value}\n") } else { format!("{line}\n") })
            .collect();
        let fault = Settings::read(text.as_bytes()).expect_err(key);
        assert!(
            matches!(&fault, SettingsError::Value(line, named, was, _)
            if *line == at && named == key && was == value),
            "{fault}"
        );
    }
    // Of a list, the item that is wrong.
    let text = format!("{LEAST}seed_nodes=10.1.0.12:8166, nowhere,10.3.0.9:8166\n");
    let fault = Settings::read(text.as_bytes()).expect_err("an item");
    assert!(fault.to_string().starts_with("S04 line 5: seed_nodes is 'nowhere'"), "{fault}");
}

#[test]
fn a_line_that_is_not_of_the_form_is_told_with_its_number() {
    let fault = Settings::read(format!("{LEAST}zone=\\u12zz\n").as_bytes()).expect_err("no such character");
    assert!(matches!(fault, SettingsError::Line(5, _)), "{fault}");
    assert!(fault.to_string().starts_with("S02 line 5: "), "{fault}");
}

#[test]
fn a_file_that_can_t_be_read_is_named() {
    let fault = Settings::load(Path::new("/nonexistent/settings")).expect_err("no file");
    assert!(fault.to_string().starts_with("S01 /nonexistent/settings: can't be read: "), "{fault}");
}

#[test]
fn a_file_is_read() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("settings");
    std::fs::write(&path, EDGE).expect("written");
    assert_eq!(Settings::load(&path).expect("sound").keepalive_ms, 1200);
}

#[test]
fn a_byte_order_mark_that_is_cut_off_is_a_fault_of_its_line() {
    for bytes in [&[0xEF][..], &[0xEF, 0xBB], b"a=b\n\xEF"] {
        let fault = Settings::read(bytes).expect_err("no text");
        assert!(fault.to_string().starts_with("S02 line"), "{fault}");
    }
}

quickcheck! {
    fn any_bytes_do_no_harm(bytes: Vec<u8>) -> bool {
        let _ = Settings::read(&bytes);
        true
    }

    /// The sample with a piece of it replaced.
    fn nearly_the_sample_does_no_harm(at: usize, length: u8, with: Vec<u8>) -> bool {
        let mut bytes = EDGE.as_bytes().to_vec();
        let from = at % bytes.len();
        let to = (from + usize::from(length)).min(bytes.len());
        bytes.splice(from..to, with);
        let _ = Settings::read(&bytes);
        true
    }
}
