//! Helpers for tests that run the real program on loopback and exchange raw bytes with it.

// Each test program uses only some of the helpers.
#![allow(dead_code)]

pub(crate) mod deployment;
pub(crate) mod proxy_process;

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;
use std::time::Duration;

/// Longer than any step takes; it keeps a failed test from hanging.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(8);

/// The configuration. `DISCOVERY` is a placeholder for discovery's address, `SERVERS` for the servers on the saved
/// list.
pub(crate) const CONFIG: &str = r#"{"name":"t","listen":"127.0.0.1:0","discovery":"DISCOVERY","seed":"0a",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"version":1,"full":true,"servers":[SERVERS]},
"settings":{"classes":[{"name":"slot-lookup","target_s":3.0,"deadline_s":6.0,"gain":1.0,"dedup_window_s":5.0,"group":"all","effect":"free"},
{"name":"book-lesson","target_s":3.0,"deadline_s":6.0,"gain":10.0,"group":"all","effect":"single_shot"}],
"limits":{"may_cancel":true,"probes":false,"second_copies":false,"send_cap":2,"max_retry_after_s":2.0,"max_streams":1,
"keepalive_s":60.0,"connect_timeout_s":0.25,"most_held":100},"machine_types":["m"],"membership_mode":"ask","over_share_worth":0.1,"tick_s":0.005,
"reporting":{"how":"piggyback"},"rules":{"ask_within_s":10.0,"cold_from":0.35,"fall_multiple":3.0,"fall_s":3.0,
"warm_up_s":8.3},"tenants":[{"name":"piano","share":1.0}],"weights":"silent","zone":"z","zones":["z"]}}"#;

/// Reads the next message, with its body if `Content-Length` states one; returns none if the connection ends first.
pub(crate) fn read_message(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut text = String::new();
    while !text.ends_with("\r\n\r\n") {
        if stream.read_line(&mut text).ok()? == 0 {
            return None;
        }
    }
    let lower_case = text.to_lowercase();
    let length =
        lower_case.split("content-length: ").nth(1).and_then(|rest| rest.lines().next()?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(text + &String::from_utf8_lossy(&body))
}
