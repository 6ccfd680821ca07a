//! The one helper of the network tests: it plays a scenario against a real proxy on ephemeral loopback ports.
//!
//! A scenario is a list of steps, one a line: `PARTY send|expect|close|wait WORDS`. Parties:
//! - `a`, `b`, ...: a submitter's connection. `send VERB /path [left=S] [id=I] [class=C] [body=B] [length=N] [Name:value]`
//!   or `send raw TEXT` (with `\r\n` spelt out);
//! - `n1`, `n2`, ...: an execute node. `expect` takes a new connection where the last is closed;
//!   `send STATUS [Name:value] [body=B] [length=N] [more=T]` (text behind the answer) or `send raw TEXT`; `close` ends its connection. At `dead` nobody listens;
//! - `list`: discovery, which speaks like an execute node; `addr(n1)` in a body stands for that node's address;
//! - `op…`: an operator, who calls at the operators' address.
//! - `proxy`: `start WORDS` (the nodes on its saved list, and `key=value` over the settings, `door` for the operators' address, `door-by-name` where the environment names it), `close` (SIGTERM),
//!   `send PARTY` (SIGHUP, with discovery now at that party; `send nothing`: with an empty file),
//!   `tune CHANGES` (SIGHUP, with other settings: `KEY=VALUE`, `add:CLASS:EFFECT`, `drop:CLASS`, `lose:KEY`, or `raw TEXT`),
//!   `rest SECONDS` (where a party's slowness is what is tested),
//!   `lay WHAT` (SIGHUP, with a `folder`, `bytes` or nothing in the file's place),
//!   `wait TEXT` (until a line of its log holds that), `expect exit N`.
//!
//! `expect WORDS`: the next message holds each of the words, whatever their case (`+` stands for a space); `expect closed`: it never comes.

#![allow(dead_code)]

use std::cell::Cell;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use tempfile::TempDir;

/// Nothing takes as long: it only keeps a failed test from hanging.
const PATIENCE: Duration = Duration::from_secs(8);

pub(crate) const CONFIG: &str = r#"{"name":"t","listen":"127.0.0.1:0","discovery":"DISCOVERY","seed":"0a",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"version":1,"full":true,"servers":[SERVERS]},
"settings":{"classes":[{"name":"slot-lookup","target_s":3.0,"deadline_s":6.0,"gain":1.0,"dedup_window_s":5.0,"group":"all","effect":"free"},
{"name":"book-lesson","target_s":3.0,"deadline_s":6.0,"gain":10.0,"group":"all","effect":"single_shot"}],
"limits":{"may_cancel":true,"probes":false,"second_copies":false,"send_cap":2,"max_retry_after_s":2.0,"max_streams":1,
"keepalive_s":60.0,"connect_timeout_s":0.25,"most_held":100},"machine_types":["m"],"membership_mode":"ask","over_share_worth":0.1,"tick_s":0.005,
"reporting":{"how":"piggyback"},"rules":{"ask_within_s":10.0,"cold_from":0.35,"fall_multiple":3.0,"fall_s":3.0,
"warm_up_s":8.3},"tenants":[{"name":"piano","share":1.0}],"weights":"silent","zone":"z","zones":["z"]}}"#;

#[derive(Default)]
struct Party {
    /// The connections that came to it, where it listens.
    came: Option<Receiver<TcpStream>>,
    stream: Option<BufReader<TcpStream>>,
}

#[derive(Default)]
struct Stage {
    proxy: Option<(Child, Receiver<String>, SocketAddr)>,
    /// Holds the configuration, and whatever the proxy leaves.
    folder: Option<TempDir>,
    /// The operators' address.
    ops: Option<SocketAddr>,
    parties: HashMap<String, Party>,
    addrs: HashMap<String, SocketAddr>,
    next: Cell<u32>,
    /// The configuration: its file and its text.
    config: (PathBuf, String),
}

/// Plays a scenario; panics at the step that does not go as written.
pub(crate) fn play(scenario: &str) {
    let mut stage = Stage::default();
    for step in scenario.lines().map(str::trim).filter(|step| !step.is_empty()) {
        let mut parts = step.splitn(3, ' ');
        let (party, verb) = (parts.next().expect("a party"), parts.next().expect("a verb"));
        if let Err(fault) = stage.step(party, verb, parts.next().unwrap_or_default()) {
            panic!("step `{step}`: {fault}");
        }
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        if let Some((child, ..)) = &mut self.proxy {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Stage {
    fn step(&mut self, name: &str, verb: &str, words: &str) -> Result<(), String> {
        match (name, verb) {
            ("proxy", "start") => self.start(words),
            ("proxy", verb) => self.proxy(verb, words),
            (_, "send") => {
                let text = self.message(name, words);
                self.stream(name).get_mut().write_all(&text).map_err(|error| error.to_string())
            }
            (_, "expect") => {
                let got = read(self.stream(name));
                match words {
                    "closed" => got.map_or(Ok(()), |message| Err(format!("came: {message}"))),
                    _ => {
                        let message = got.ok_or("closed")?.to_lowercase();
                        let words = words.to_lowercase();
                        let missing =
                            words.split(' ').find(|word| !message.contains(&word.replace('+', " ")));
                        missing.map_or(Ok(()), |word| Err(format!("no {word} in {message}")))
                    }
                }
            }
            (_, "close") => {
                self.party(name).stream = None;
                Ok(())
            }
            _ => Err("no such verb".to_owned()),
        }
    }

    fn party(&mut self, name: &str) -> &mut Party {
        self.parties.entry(name.to_owned()).or_default()
    }

    fn listen(&mut self, name: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        if name != "dead" {
            let (sender, came) = channel();
            std::thread::spawn(move || {
                listener.incoming().flatten().try_for_each(|stream| sender.send(stream))
            });
            self.party(name).came = Some(came);
        }
        self.addrs.insert(name.to_owned(), addr);
        addr
    }

    fn start(&mut self, words: &str) -> Result<(), String> {
        let mut config = CONFIG.replace("DISCOVERY", &self.listen("list").to_string());
        let (mut servers, mut by_name) = (Vec::new(), false);
        for word in words.split(' ') {
            if word == "door" {
                config = config.replacen('{', r#"{"ops":"127.0.0.1:0","#, 1);
            } else if word == "door-by-name" {
                by_name = true;
            } else if let Some((key, value)) = word.split_once('=') {
                config = with(&config, key, value)?;
            } else {
                let addr = self.listen(word);
                servers.push(format!(r#"{{"id":"{word}","addr":"{addr}","zone":"z","state":"SERVING"}}"#));
            }
        }
        // Nobody else waits on a spare node's address.
        for spare in ["n8", "n9"] {
            self.listen(spare);
        }
        let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
        let path = folder.path().join("config.json");
        let config = config.replace("SERVERS", &servers.join(","));
        std::fs::write(&path, &config).map_err(|error| error.to_string())?;
        self.config = (path.clone(), config);
        let mut command = Command::new(env!("CARGO_BIN_EXE_mosshead"));
        command.args(["serve", "--config"]).arg(&path).stderr(Stdio::piped());
        command.env("TMPDIR", folder.path()).env_remove("BALANCER_OPS");
        if by_name {
            command.env("BALANCER_OPS", "127.0.0.1:0");
        }
        self.folder = Some(folder);
        let mut child = command.spawn().map_err(|error| error.to_string())?;
        let (lines, log) = channel();
        let stderr = BufReader::new(child.stderr.take().expect("piped"));
        std::thread::spawn(move || {
            stderr.lines().map_while(Result::ok).for_each(|line| drop(lines.send(line)));
        });
        let first = log.recv_timeout(PATIENCE).map_err(|error| error.to_string())?;
        let named = |name| first.split(name).nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
        let addr = named("listen=");
        self.ops = named("ops=");
        self.proxy = Some((child, log, addr.ok_or(first)?));
        Ok(())
    }

    fn proxy(&mut self, verb: &str, words: &str) -> Result<(), String> {
        let (child, log, _) = self.proxy.as_mut().ok_or("not started")?;
        let id = child.id().to_string();
        let signal = |name| {
            let sent = Command::new("kill").args(["-s", name, &id]).status();
            sent.map(drop).map_err(|error| error.to_string())
        };
        match verb {
            "close" => signal("TERM"),
            "rest" => {
                let span = words.parse().map_err(|_| "no span")?;
                std::thread::sleep(Duration::from_secs_f64(span));
                Ok(())
            }
            "send" => {
                let (path, text) = &self.config;
                let to = self
                    .addrs
                    .get(words)
                    .map(|to| text.replace(&self.addrs["list"].to_string(), &to.to_string()));
                std::fs::write(path, to.unwrap_or_default()).map_err(|error| error.to_string())?;
                signal("HUP")
            }
            "wait" => loop {
                if log.recv_timeout(PATIENCE).map_err(|error| error.to_string())?.contains(words) {
                    return Ok(());
                }
            },
            "lay" => {
                let path = &self.config.0;
                let laid = match words {
                    "bytes" => std::fs::write(path, [0xff, 0xfe, 0x80]),
                    "folder" => std::fs::remove_file(path).and_then(|()| std::fs::create_dir(path)),
                    _ => std::fs::remove_file(path),
                };
                laid.map_err(|error| error.to_string())?;
                signal("HUP")
            }
            "tune" => {
                let (path, text) = &mut self.config;
                let text = match words.strip_prefix("raw") {
                    Some(raw) => raw.trim_start().to_owned(),
                    None => {
                        for word in words.split(' ') {
                            *text = tuned(text, word)?;
                        }
                        text.clone()
                    }
                };
                std::fs::write(path, text).map_err(|error| error.to_string())?;
                signal("HUP")
            }
            _ => {
                let status = child.wait().map_err(|error| error.to_string())?;
                (format!("exit {}", status.code().unwrap_or(-1)) == words)
                    .then_some(())
                    .ok_or(status.to_string())
            }
        }
    }

    /// The party's open connection: a submitter makes one, a listener takes the next.
    fn stream(&mut self, name: &str) -> &mut BufReader<TcpStream> {
        let mut to = self.proxy.as_ref().expect("the proxy has started").2;
        if name.starts_with("op") {
            to = self.ops.expect("the operators' door is open");
        }
        let party = self.party(name);
        party.stream.get_or_insert_with(|| {
            let stream = match &party.came {
                Some(came) => came.recv_timeout(PATIENCE).expect("a connection"),
                None => TcpStream::connect(to).expect("the proxy listens"),
            };
            stream.set_read_timeout(Some(PATIENCE)).expect("a time limit");
            BufReader::new(stream)
        })
    }

    fn message(&self, name: &str, words: &str) -> Vec<u8> {
        if let Some(raw) = words.strip_prefix("raw") {
            return raw.trim_start().replace("\\r\\n", "\r\n").into_bytes();
        }
        let mut words: Vec<&str> = words.split(' ').collect();
        let mut take = |key: &str| {
            let at = words.iter().position(|word| word.starts_with(key))?;
            Some(words.remove(at)[key.len()..].to_owned())
        };
        let mut body = take("body=").unwrap_or_default();
        for (node, addr) in &self.addrs {
            body = body.replace(&format!("addr({node})"), &addr.to_string());
        }
        let more = take("more=").unwrap_or_default().replace("\\r\\n", "\r\n").replace('+', " ");
        let length = take("length=").unwrap_or_else(|| body.len().to_string());
        // Each job has an id of its own, of 16 digits.
        self.next.set(self.next.get() + 1);
        let id = take("id=").unwrap_or_else(|| format!("c0ffee{:x}", self.next.get()));
        let (left, id) = (take("left=").unwrap_or("5".into()), format!("{id:0>16}"));
        let class = take("class=");
        let extra: String = words[2.min(words.len())..].iter().map(|word| format!("{word}\r\n")).collect();
        let head = if self.addrs.contains_key(name) {
            format!(
                "HTTP/1.1 {} X\r\n{}",
                words[0],
                words[1..].iter().map(|word| format!("{word}\r\n")).collect::<String>()
            )
        } else {
            let class = class.unwrap_or_else(|| {
                words[1].trim_start_matches('/').split(['/', '?']).next().unwrap_or("").into()
            });
            format!(
                "{} {} HTTP/1.1\r\nHost: app.svc\r\nX-Account: piano\r\nX-Service-Class: {class}\r\n\
                 X-Time-Left: {left}\r\nX-Correlation-Id: {id}\r\n{extra}",
                words[0], words[1]
            )
        };
        let length = if length == "none" { String::new() } else { format!("Content-Length: {length}\r\n") };
        format!("{head}{length}\r\n{body}{more}").into_bytes()
    }
}

/// The configuration with another value for a key.
fn with(config: &str, key: &str, value: &str) -> Result<String, String> {
    let (before, after) = config.split_once(&format!("\"{key}\":")).ok_or("no such key")?;
    let rest = &after[after.find([',', '}']).ok_or("no end")?..];
    Ok(format!("{before}\"{key}\":{value}{rest}"))
}

/// The configuration with one change: `KEY=VALUE`, `add:CLASS:EFFECT`, `drop:CLASS` or `lose:KEY`.
fn tuned(config: &str, word: &str) -> Result<String, String> {
    let class = |name: &str| {
        let from = config.find(&format!("{{\"name\":\"{name}\"")).ok_or("no such class")?;
        let to = from + config[from..].find('}').ok_or("no end")? + 1;
        Ok::<_, String>((from, to))
    };
    if let Some((name, effect)) = word.strip_prefix("add:").and_then(|rest| rest.split_once(':')) {
        let (from, to) = class("slot-lookup")?;
        let added = with(
            &with(&config[from..to], "name", &format!("\"{name}\""))?,
            "effect",
            &format!("\"{effect}\""),
        )?;
        return Ok(format!("{}{added},{}", &config[..from], &config[from..]));
    }
    if let Some(name) = word.strip_prefix("drop:") {
        let (from, to) = class(name)?;
        let (before, after) = (config[..from].trim_end_matches([',', '\n']), &config[to..]);
        let after = if before.ends_with('[') { after.trim_start_matches([',', '\n']) } else { after };
        return Ok(format!("{before}{after}"));
    }
    if let Some(key) = word.strip_prefix("lose:") {
        let (before, after) = config.split_once(&format!("\"{key}\":")).ok_or("no such key")?;
        let rest = &after[after.find(',').ok_or("no end")? + 1..];
        return Ok(format!("{before}{rest}"));
    }
    let (key, value) = word.split_once('=').ok_or("no such change")?;
    with(config, key, value)
}

/// The next whole message, or none where the connection ends first.
fn read(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut text = String::new();
    while !text.ends_with("\r\n\r\n") {
        if stream.read_line(&mut text).ok()? == 0 {
            return None;
        }
    }
    let length = text
        .to_lowercase()
        .split("content-length: ")
        .nth(1)
        .and_then(|rest| rest.lines().next()?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(text + &String::from_utf8_lossy(&body))
}
