//! Plays a scenario against a real proxy on loopback.
//!
//! A scenario is a list of steps, one per line: `PARTY VERB WORDS`. The parties:
//! - `a`, `b`, ...: connections of clients. `send METHOD /path [left=S] [id=I] [class=C] [body=B] [length=N] [Name:value]`
//!   or `send raw TEXT` (with `\r\n` spelt out);
//! - `n1`, `n2`, ...: servers. `expect` accepts a new connection if the last one is closed;
//!   `send STATUS [Name:value] [body=B] [length=N] [more=T]` (text after the response) or `send raw TEXT`; `close` ends
//!   the connection. At `dead` nobody listens;
//! - `list`: discovery, which speaks like a server; `addr(n1)` in a body stands for the address of that server;
//! - `op...`: connections of operators, at the admin endpoint;
//! - `proxy`: the program.
//!   - `start WORDS`: starts it with these servers on its saved list, `key=value` to change settings, `admin` for an
//!     admin endpoint, `admin-by-environment` for one that the environment names;
//!   - `close`: SIGTERM;
//!   - `send PARTY`: SIGHUP, with discovery at that party from now on; `send nothing`: with an empty file;
//!   - `change CHANGES`: SIGHUP, with other settings: `KEY=VALUE`, `add:CLASS:EFFECT`, `drop:CLASS`, `remove:KEY`, or
//!     `raw TEXT`;
//!   - `replace-file WHAT`: SIGHUP, with a `folder`, `bytes` that are not text, or nothing (`gone`) in place of the file;
//!   - `sleep SECONDS`: waits, for tests of a slow party;
//!   - `await-ready`: waits until its readiness endpoint returns 200;
//!   - `wait TEXT`: waits until a line of its log contains the text;
//!   - `expect exit N`: checks that it exits with this code.
//!
//! `expect WORDS`: the next message contains each of the words, in upper or lower case (`+` stands for a space).
//! `expect closed`: the connection ends without a message.

use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::ExitStatus;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use tempfile::TempDir;
use thiserror::Error;

use crate::common::proxy_process::{AdminEnvironment, ProxyProcess};
use crate::common::{CONFIG, TIMEOUT, read_message};
use crate::configuration::{ChangeError, with_change, with_value};

/// Why a step fails.
#[derive(Debug, Error)]
enum StepError {
    #[error("unknown verb")]
    UnknownVerb,
    #[error("not a number of seconds")]
    InvalidNumber,
    #[error(transparent)]
    InvalidChange(#[from] ChangeError),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("the connection is closed")]
    Closed,
    #[error("a message in place of the end: {0}")]
    NotClosed(String),
    #[error("no {word} in {message}")]
    MissingWord { word: String, message: String },
    #[error("ended with {0}")]
    WrongExit(ExitStatus),
}

/// Plays a scenario.
///
/// # Panics
/// A step fails; the message names it.
pub(crate) fn play(scenario: &str) {
    let mut player = Player::default();
    for step in scenario.lines().map(str::trim).filter(|step| !step.is_empty()) {
        let mut parts = step.splitn(3, ' ');
        let (party, verb) = (parts.next().expect("a party"), parts.next().expect("a verb"));
        if let Err(error) = player.play_step(party, verb, parts.next().unwrap_or_default()) {
            panic!("step `{step}`: {error}");
        }
    }
}

/// A client, an operator, a server or discovery.
#[derive(Default)]
struct Party {
    /// Accepted connections, if the party is a server or discovery.
    accepted: Option<Receiver<TcpStream>>,
    /// The party's open connection.
    stream: Option<BufReader<TcpStream>>,
}

#[derive(Default)]
struct Player {
    proxy: Option<ProxyProcess>,
    /// The folder for the configuration and the proxy's output.
    folder: Option<TempDir>,
    config_path: PathBuf,
    config: String,
    parties: HashMap<String, Party>,
    /// The addresses of servers and discovery.
    addrs: HashMap<String, SocketAddr>,
    /// The number of messages composed so far, from which request ids are derived.
    message_count: u32,
}

impl Player {
    fn play_step(&mut self, party: &str, verb: &str, words: &str) -> Result<(), StepError> {
        match (party, verb) {
            ("proxy", "start") => self.start_proxy(words),
            ("proxy", verb) => self.play_proxy_step(verb, words),
            (_, "send") => {
                let message = self.compose(party, words);
                Ok(self.stream(party).get_mut().write_all(&message)?)
            }
            (_, "expect") => {
                let message = read_message(self.stream(party));
                match words {
                    "closed" => message.map_or(Ok(()), |message| Err(StepError::NotClosed(message))),
                    _ => check_words(&message.ok_or(StepError::Closed)?, words),
                }
            }
            (_, "close") => {
                self.party(party).stream = None;
                Ok(())
            }
            _ => Err(StepError::UnknownVerb),
        }
    }

    fn party(&mut self, name: &str) -> &mut Party {
        self.parties.entry(name.to_owned()).or_default()
    }

    fn listen(&mut self, name: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        if name != "dead" {
            let (sender, accepted) = channel();
            thread::spawn(move || listener.incoming().flatten().try_for_each(|stream| sender.send(stream)));
            self.party(name).accepted = Some(accepted);
        }
        self.addrs.insert(name.to_owned(), addr);
        addr
    }

    fn start_proxy(&mut self, words: &str) -> Result<(), StepError> {
        let mut config = CONFIG.replace("DISCOVERY", &self.listen("list").to_string());
        let (mut servers, mut admin_environment) = (Vec::new(), AdminEnvironment::Unset);
        for word in words.split(' ') {
            if word == "admin" {
                config = config.replacen('{', r#"{"ops":"127.0.0.1:0","#, 1);
            } else if word == "admin-by-environment" {
                admin_environment = AdminEnvironment::Set;
            } else if let Some((key, value)) = word.split_once('=') {
                config = with_value(&config, key, value)?;
            } else {
                let addr = self.listen(word);
                servers.push(format!(r#"{{"id":"{word}","addr":"{addr}","zone":"z","state":"SERVING"}}"#));
            }
        }
        // Servers that are on no list at first.
        for spare in ["n8", "n9"] {
            self.listen(spare);
        }
        let folder = tempfile::tempdir()?;
        self.config_path = folder.path().join("config.json");
        self.config = config.replace("SERVERS", &servers.join(","));
        std::fs::write(&self.config_path, &self.config)?;
        self.proxy = Some(ProxyProcess::start(&self.config_path, folder.path(), admin_environment));
        self.folder = Some(folder);
        Ok(())
    }

    fn play_proxy_step(&mut self, verb: &str, words: &str) -> Result<(), StepError> {
        match verb {
            "close" => self.proxy().signal("TERM"),
            "sleep" => {
                let seconds = words.parse().map_err(|_| StepError::InvalidNumber)?;
                thread::sleep(Duration::from_secs_f64(seconds));
            }
            "send" => {
                let text = self.addrs.get(words).map(|discovery| {
                    self.config.replace(&self.addrs["list"].to_string(), &discovery.to_string())
                });
                self.reload(text.unwrap_or_default())?;
            }
            "change" => {
                let text = self.change_config(words)?;
                self.reload(text)?;
            }
            "replace-file" => {
                let path = &self.config_path;
                match words {
                    "bytes" => std::fs::write(path, [0xff, 0xfe, 0x80])?,
                    "folder" => std::fs::remove_file(path).and_then(|()| std::fs::create_dir(path))?,
                    _ => std::fs::remove_file(path)?,
                }
                self.proxy().signal("HUP");
            }
            "await-ready" => self.proxy().wait_until_ready(),
            "wait" => self.proxy().wait_for_log(words),
            "expect" => {
                let status = self.proxy().wait_for_exit();
                if format!("exit {}", status.code().unwrap_or(-1)) != words {
                    return Err(StepError::WrongExit(status));
                }
            }
            _ => return Err(StepError::UnknownVerb),
        }
        Ok(())
    }

    fn proxy(&mut self) -> &mut ProxyProcess {
        self.proxy.as_mut().expect("the proxy was started")
    }

    /// Writes this text to the configuration file and makes the proxy reload it.
    fn reload(&mut self, text: String) -> Result<(), StepError> {
        std::fs::write(&self.config_path, text)?;
        self.proxy().signal("HUP");
        Ok(())
    }

    /// Changes the configuration and returns its text; `raw TEXT` is returned unchanged.
    fn change_config(&mut self, changes: &str) -> Result<String, StepError> {
        if let Some(text) = changes.strip_prefix("raw") {
            return Ok(text.trim_start().to_owned());
        }
        for change in changes.split(' ') {
            self.config = with_change(&self.config, change)?;
        }
        Ok(self.config.clone())
    }

    /// The open connection of a party. Without one, a client or operator connects, and a server or discovery accepts.
    fn stream(&mut self, name: &str) -> &mut BufReader<TcpStream> {
        let proxy = self.proxy();
        let addr = if name.starts_with("op") { proxy.admin() } else { proxy.listen };
        let party = self.party(name);
        party.stream.get_or_insert_with(|| {
            let stream = match &party.accepted {
                Some(accepted) => accepted.recv_timeout(TIMEOUT).expect("a connection"),
                None => TcpStream::connect(addr).expect("the proxy listens"),
            };
            stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout is set");
            BufReader::new(stream)
        })
    }

    /// The message that the words of a `send` describe.
    fn compose(&mut self, party: &str, words: &str) -> Vec<u8> {
        if let Some(raw) = words.strip_prefix("raw") {
            return raw.trim_start().replace("\\r\\n", "\r\n").into_bytes();
        }
        let mut words: Vec<&str> = words.split(' ').collect();
        let mut take = |key: &str| {
            let index = words.iter().position(|word| word.starts_with(key))?;
            Some(words.remove(index)[key.len()..].to_owned())
        };
        let mut body = take("body=").unwrap_or_default();
        for (server, addr) in &self.addrs {
            body = body.replace(&format!("addr({server})"), &addr.to_string());
        }
        let more = take("more=").unwrap_or_default().replace("\\r\\n", "\r\n").replace('+', " ");
        let length = take("length=").unwrap_or_else(|| body.len().to_string());
        // Each request gets a unique id of 16 digits.
        self.message_count += 1;
        let id = take("id=").unwrap_or_else(|| format!("c0ffee{:x}", self.message_count));
        let time_left = take("left=").unwrap_or_else(|| "5".to_owned());
        let class = take("class=");
        let lines = |words: &[&str]| words.iter().map(|word| format!("{word}\r\n")).collect::<String>();
        let head = if self.addrs.contains_key(party) {
            format!("HTTP/1.1 {} X\r\n{}", words[0], lines(&words[1..]))
        } else {
            let (method, target) = (words[0], words[1]);
            let segment = target.trim_start_matches('/').split(['/', '?']).next().unwrap_or_default();
            let class = class.unwrap_or_else(|| segment.to_owned());
            format!(
                "{method} {target} HTTP/1.1\r\nHost: app.svc\r\nX-Account: piano\r\nX-Service-Class: {class}\r\n\
                 X-Time-Left: {time_left}\r\nX-Correlation-Id: {id:0>16}\r\n{}",
                lines(&words[2..])
            )
        };
        let length = if length == "none" { String::new() } else { format!("Content-Length: {length}\r\n") };
        format!("{head}{length}\r\n{body}{more}").into_bytes()
    }
}

/// Checks that a message contains each of the words, ignoring case.
fn check_words(message: &str, words: &str) -> Result<(), StepError> {
    let (message, words) = (message.to_lowercase(), words.to_lowercase());
    let missing = words.split(' ').find(|word| !message.contains(&word.replace('+', " ")));
    missing.map_or(Ok(()), |word| {
        Err(StepError::MissingWord { word: word.to_owned(), message: message.clone() })
    })
}
