//! The simulator's text to the interface and back. Nothing is decided here.

use std::collections::{BTreeMap, HashSet};
use std::fmt::Write;

use thiserror::Error;

use mosshead_decide::Balancer;
use mosshead_decide::NameTable;
use mosshead_decide::interface::*;
use mosshead_settings::{self as settings, JsonField, NamedSettings};

/// What is wrong with the input, and where.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("line {line}: {fault}")]
pub struct WireError {
    /// The line, counted from 1.
    pub line: u64,
    /// What is wrong with it.
    pub fault: String,
}

type Parsed<T> = Result<T, String>;

/// Hosts the instances of one process: fed line by line, it answers each batch with one reply.
#[derive(Default)]
pub struct Drill {
    instances: BTreeMap<u32, Instance>,
    banks: BTreeMap<u64, Vec<WireEntry>>,
    filling: Option<(u64, u64)>,
    batch: Option<Batch>,
    line: u64,
}

struct Batch {
    now: Seconds,
    about: Option<u32>,
}

struct Instance {
    balancer: Balancer,
    /// Whether clients are told when to come back.
    advises: bool,
    endpoints: NameTable,
    zones: NameTable,
    kinds: NameTable,
    classes: NameTable,
    tenants: NameTable,
    /// Every request given so far: an outcome may come after its request has ended.
    jobs: HashSet<RequestId>,
    reply: String,
}

#[derive(Clone)]
struct WireEntry {
    server: String,
    readiness: Readiness,
    zone: String,
    kind: String,
    group: u64,
    weight: f64,
    started_at: Option<Seconds>,
}

impl Drill {
    /// An empty process.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes one line, without its end; returns the reply once the line completes a batch.
    ///
    /// # Errors
    ///
    /// The line is not one of the protocol, or not one that may come here; the error has its number.
    pub fn line(&mut self, line: &str) -> Result<Option<String>, WireError> {
        self.line += 1;
        self.read(line).map_err(|fault| self.fault(fault))
    }

    /// Says that the input has ended, which it may do between batches only.
    ///
    /// # Errors
    ///
    /// The input ends within a batch.
    pub fn end(&self) -> Result<(), WireError> {
        match self.batch {
            Some(_) => Err(self.fault("the input ends within a batch".to_owned())),
            None => Ok(()),
        }
    }

    /// A fault of the line read last.
    pub fn fault(&self, fault: String) -> WireError {
        WireError { line: self.line, fault }
    }

    fn read(&mut self, line: &str) -> Parsed<Option<String>> {
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        let fields = Fields(rest);
        if let Some((bank, missing)) = self.filling {
            if name != "item" {
                return Err(format!("{missing} more item lines are due, not {name:?}"));
            }
            self.banks.entry(bank).or_default().push(fields.entry()?);
            self.filling = (missing > 1).then_some((bank, missing - 1));
            return Ok(None);
        }
        let Some(batch) = &mut self.batch else {
            return match name {
                "turn" => {
                    self.batch = Some(Batch { now: fields.number("ts_s")?, about: None });
                    Ok(None)
                }
                "" => Ok(None),
                _ => Err(format!("{name:?} outside a batch")),
            };
        };
        match name {
            "commit" => {
                self.batch = None;
                return Ok(Some(self.reply()));
            }
            "about" => batch.about = Some(fields.whole("i")?),
            "list" => {
                let (bank, lines) = (fields.whole("bank")?, fields.whole("lines")?);
                self.banks.insert(bank, Vec::new());
                self.filling = (lines > 0).then_some((bank, lines));
            }
            _ => {
                let number = batch.about.ok_or("an event before any about line")?;
                let now = batch.now;
                self.event(number, now, name, fields)?;
            }
        }
        Ok(None)
    }

    fn event(&mut self, number: u32, now: Seconds, name: &str, fields: Fields) -> Parsed<()> {
        if name == "configure" {
            // `info` runs to the end of the line, so a seed after it would be part of the JSON.
            let instance = Instance::start(fields.text("info")?, fields.whole("rng_seed")?)?;
            self.instances.insert(number, instance);
            return Ok(());
        }
        if name == "stop" {
            // What the instance said earlier in this batch goes with it: it names requests that are void now.
            return match self.instances.remove(&number) {
                Some(_) => Ok(()),
                None => Err(format!("instance {number} was never configured")),
            };
        }
        let instance = self
            .instances
            .get_mut(&number)
            .ok_or_else(|| format!("instance {number} was never configured"))?;
        let event = match name {
            "topology" => {
                let scope = fields.get("scope")?;
                let entries = if scope == "FAILED" {
                    &[][..]
                } else {
                    let bank: u64 = fields.whole("bank")?;
                    self.banks.get(&bank).ok_or_else(|| format!("list {bank} was never introduced"))?
                };
                let entries = entries.iter().map(|entry| instance.entry(entry)).collect();
                Event::ListUpdated(match scope {
                    "INCREMENTAL" => ListUpdate::Changes(entries),
                    "FULL" => ListUpdate::Full(entries),
                    "SAVED" => ListUpdate::Saved(entries),
                    "FAILED" => ListUpdate::Failed,
                    _ => return Err(format!("scope {scope:?} is not known")),
                })
            }
            "mail" => {
                fields.whole::<u32>("who")?;
                return Ok(()); // the module sends no messages to peers and listens to none
            }
            _ => instance.event(name, fields)?,
        };
        instance.handle(now, event);
        Ok(())
    }

    fn reply(&mut self) -> String {
        let mut reply = String::new();
        for (number, instance) in &mut self.instances {
            if !instance.reply.is_empty() {
                let _ = writeln!(reply, "as i={number}");
                reply.push_str(&instance.reply);
                instance.reply.clear();
            }
        }
        reply.push_str("yield\n");
        reply
    }
}

impl Instance {
    fn start(info: &str, seed: u64) -> Parsed<Self> {
        let info = settings::parse_json(info).map_err(|error| format!("info: {error}"))?;
        let NamedSettings { settings, zones, kinds, classes, tenants } =
            settings::read_settings(&JsonField::root(&info)).map_err(|error| format!("info: {error}"))?;
        let advises = settings.limits.can_advise_retry_after;
        let balancer = Balancer::new(settings, seed).map_err(|error| error.to_string())?;
        Ok(Self {
            balancer,
            advises,
            endpoints: NameTable::default(),
            zones,
            kinds,
            classes,
            tenants,
            jobs: HashSet::new(),
            reply: String::new(),
        })
    }

    fn entry(&mut self, entry: &WireEntry) -> ListEntry {
        ListEntry {
            endpoint: EndpointId(self.endpoints.intern(&entry.server) as u32),
            readiness: entry.readiness,
            zone: ZoneId(self.zones.intern(&entry.zone)),
            kind: MachineKindId(self.kinds.intern(&entry.kind)),
            group: GroupId(entry.group),
            weight: entry.weight,
            started_at: entry.started_at,
        }
    }

    fn endpoint(&self, fields: Fields) -> Parsed<EndpointId> {
        Ok(EndpointId(known(&self.endpoints, "server", fields.get("server")?)? as u32))
    }

    fn attempted(&self, fields: Fields) -> Parsed<RequestId> {
        let job = fields.job()?;
        let known = self.jobs.contains(&job).then_some(job);
        known.ok_or_else(|| format!("job {:016x} was never introduced", job.0))
    }

    fn event(&self, name: &str, fields: Fields) -> Parsed<Event> {
        Ok(match name {
            "ingress" => {
                let tenant = match fields.find("client_group") {
                    None | Some("0") => None,
                    Some(name) => Some(TenantId(known(&self.tenants, "tenant", name)?)),
                };
                Event::RequestReceived(Request {
                    id: fields.job()?,
                    time_left: fields.number("ttl_s")?,
                    class: ClassId(known(&self.classes, "class", fields.get("band")?)?),
                    tenant,
                })
            }
            "report_back" => Event::AttemptEnded {
                request: self.attempted(fields)?,
                attempt: AttemptNumber(fields.whole("round_no")?),
                endpoint: self.endpoint(fields)?,
                outcome: fields.outcome()?,
                rtt: fields.number("rtt_s")?,
                settled: fields.truth("settled")?,
                report: fields.report()?,
            },
            "begun" => Event::ResponseStarted {
                request: self.attempted(fields)?,
                attempt: AttemptNumber(fields.whole("round_no")?),
            },
            "probe_done" => Event::ProbeEnded {
                endpoint: self.endpoint(fields)?,
                outcome: fields.outcome()?,
                rtt: fields.number("rtt_s")?,
                report: fields.report()?,
            },
            "withdrawn" => Event::RequestWithdrawn { request: fields.job()? },
            "tick_due" => Event::TimerFired(TimerToken(fields.whole("cookie")?)),
            _ => return Err(format!("unknown message {name:?}")),
        })
    }

    fn handle(&mut self, now: Seconds, event: Event) {
        if let Event::RequestReceived(request) = &event {
            self.jobs.insert(request.id);
        }
        let mut actions = Vec::new();
        self.balancer.handle(now, event, &mut actions);
        for action in actions {
            let server = |endpoint: EndpointId| self.endpoints.name(endpoint.0 as usize);
            let _ = match action {
                Action::Send { request: job, endpoint, deadline: until } => {
                    let server = server(endpoint);
                    writeln!(self.reply, "deliver job={:016x} server={server} until_s={until:.6}", job.0)
                }
                Action::Reject { request: job, retry_after: not_before } if self.advises => {
                    writeln!(self.reply, "push_back job={:016x} not_before_for_s={not_before:.6}", job.0)
                }
                Action::Reject { request: job, .. } => writeln!(self.reply, "push_back job={:016x}", job.0),
                Action::Fail { request: job } => writeln!(self.reply, "surrender job={:016x}", job.0),
                Action::Cancel { request: job, attempt: round } => {
                    writeln!(self.reply, "revoke job={:016x} round_no={}", job.0, round.0)
                }
                Action::Probe { endpoint } => {
                    writeln!(self.reply, "health_check server={}", server(endpoint))
                }
                Action::CloseIdleConnections { endpoint } => {
                    writeln!(self.reply, "close server={}", server(endpoint))
                }
                Action::WatchList => writeln!(self.reply, "watch enable=1"),
                Action::SetTimer { delay, token } => {
                    writeln!(self.reply, "defer in_s={delay:.6} cookie={}", token.0)
                }
            };
        }
    }
}

fn known(names: &NameTable, what: &str, name: &str) -> Parsed<usize> {
    names.find_number(name).ok_or_else(|| format!("{what} {name:?} was never introduced"))
}

/// The members of one line; those of type text run to its end.
#[derive(Clone, Copy)]
struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    fn find(self, name: &str) -> Option<&'a str> {
        self.0
            .split(' ')
            .filter_map(|pair| pair.split_once('='))
            .find(|pair| pair.0 == name)
            .map(|pair| pair.1)
    }

    fn get(self, name: &str) -> Parsed<&'a str> {
        self.find(name).ok_or_else(|| format!("member {name} is missing"))
    }

    fn text(self, name: &str) -> Parsed<&'a str> {
        let (mut rest, mark) = (self.0, format!("{name}="));
        while !rest.is_empty() {
            if let Some(text) = rest.strip_prefix(&mark) {
                return Ok(text);
            }
            rest = rest.split_once(' ').map_or("", |parts| parts.1);
        }
        Err(format!("member {name} is missing"))
    }

    fn number(self, name: &str) -> Parsed<f64> {
        let text = self.get(name)?;
        let number = text.parse().ok().filter(|number: &f64| number.is_finite());
        number.ok_or_else(|| format!("{name}={text} is not a number"))
    }

    fn whole<T: std::str::FromStr>(self, name: &str) -> Parsed<T> {
        let text = self.get(name)?;
        text.parse().map_err(|_| format!("{name}={text} is not a whole number in range"))
    }

    fn truth(self, name: &str) -> Parsed<bool> {
        match self.find(name) {
            Some("1") => Ok(true),
            Some("0") | None => Ok(false),
            Some(text) => Err(format!("{name}={text} is not 0 or 1")),
        }
    }

    fn job(self) -> Parsed<RequestId> {
        let text = self.get("job")?;
        let id = u64::from_str_radix(text, 16).ok().filter(|_| text.len() == 16 && !text.starts_with('+'));
        id.map(RequestId).ok_or_else(|| format!("job={text} is not 16 hex digits"))
    }

    fn outcome(self) -> Parsed<Outcome> {
        Ok(match self.get("verdict")? {
            "GOOD" => Outcome::Served,
            "BAD" => Outcome::Errored,
            "FULL" => Outcome::Rejected,
            "LATE" => Outcome::TimedOut,
            "NOCONN" => Outcome::ConnectFailed,
            "RST" => Outcome::Reset,
            "CXL" => Outcome::Cancelled,
            "NOP" => Outcome::NotSent,
            text => return Err(format!("verdict {text:?} is not known")),
        })
    }

    fn report(self) -> Parsed<LoadReport> {
        let mut report = LoadReport::default();
        let Some(metrics) = self.find("metrics").filter(|metrics| !matches!(*metrics, "" | "-")) else {
            return Ok(report);
        };
        for pair in metrics.split(',') {
            let (name, value) =
                pair.split_once(':').ok_or_else(|| format!("metrics: {pair:?} has no value"))?;
            let value: f64 = value.parse().map_err(|_| format!("metrics: {pair:?} is not a number"))?;
            match name {
                "inflight" => report.in_flight = Some(value),
                "queue" => report.queued = Some(value),
                _ => {}
            }
        }
        Ok(report)
    }

    fn entry(self) -> Parsed<WireEntry> {
        let started: Option<f64> =
            self.find("started_at_s").map(|_| self.number("started_at_s")).transpose()?;
        let or_empty = |name| self.find(name).unwrap_or_default().to_owned();
        Ok(WireEntry {
            server: self.get("server")?.to_owned(),
            readiness: match self.get("readiness")? {
                "Running" => Readiness::Ready,
                "Stopping" => Readiness::Draining,
                "Deleted" => Readiness::Removed,
                text => return Err(format!("readiness {text:?} is not known")),
            },
            zone: or_empty("failure_domain"),
            kind: or_empty("family_type"),
            group: self.find("group").map_or(Ok(0), |_| self.whole("group"))?,
            weight: self.find("share").map_or(Ok(1.0), |_| self.number("share"))?,
            started_at: started.filter(|started| *started != 0.0),
        })
    }
}
