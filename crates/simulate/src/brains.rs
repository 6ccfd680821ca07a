//! Where the policies run: on threads of this process, or in processes of their own.
//!
//! All proxies with mail in one tick are handled together and answer in the order of their numbers, so the
//! place where they run cannot show in a day.

use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

use mosshead_decide::interface::{Action, Event, Seconds};
use mosshead_decide::{LearnedValue, RecoveryStage};
use mosshead_world::True;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::platform;
use crate::policies::{Kind, Policy};

/// Below so many events a turn is not worth a thread.
const WORTH_A_THREAD: usize = 64;
/// A message between processes is never longer.
const LONGEST_MESSAGE: usize = 256 << 20;

/// Why policies cannot run.
#[derive(Debug, Error)]
pub enum BrainError {
    /// The settings are at fault.
    #[error("settings: {0}")]
    Settings(String),
    /// A process with policies has gone or speaks nonsense.
    #[error("a process with policies: {0}")]
    Process(#[from] io::Error),
}

/// One proxy's mail of a tick.
pub type Mail = (usize, Vec<Event>);
/// What one proxy wants done.
pub type Wanted = (usize, Vec<Action>);

/// The policies of all proxies.
pub trait Brains {
    /// Starts the policy of a proxy afresh, with these settings in the platform's JSON; it may go on from what its former life
    /// has learnt.
    ///
    /// # Errors
    ///
    /// The settings are refused, or the process that hosts the policy has failed.
    fn start(&mut self, proxy: usize, settings: &str, seed: u64, recalls: bool) -> Result<(), BrainError>;

    /// Hands over a tick's mail, in the order of the proxies' numbers; answers come in the same order.
    ///
    /// # Errors
    ///
    /// The process that hosts a policy has failed.
    fn turn(&mut self, now: Seconds, mail: Vec<Mail>, truth: &[True]) -> Result<Vec<Wanted>, BrainError>;
}

/// One policy's share of a turn: taken out of its place, so that a thread can have it.
type Work = (usize, Option<Box<dyn Policy>>, Vec<Event>, Vec<Action>);

/// Policies on threads of this process.
pub struct Threads {
    kind: Kind,
    threads: usize,
    minds: Vec<Option<Box<dyn Policy>>>,
    /// What former lives have learnt, and when each was last heard of, until their heirs begin.
    learnt: BTreeMap<usize, (Seconds, Vec<LearnedValue>)>,
    last: BTreeMap<usize, Seconds>,
}

impl Threads {
    /// Policies of this kind on at most so many threads.
    pub fn new(kind: Kind, threads: usize) -> Self {
        Self {
            kind,
            threads: threads.max(1),
            minds: Vec::new(),
            learnt: BTreeMap::new(),
            last: BTreeMap::new(),
        }
    }
}

impl Threads {
    /// How far each policy has come by now.
    pub fn stages(&mut self, now: Seconds) -> Vec<RecoveryStage> {
        self.minds.iter_mut().flatten().map(|mind| mind.way_back(now)).collect()
    }
}

fn think(kind: Kind, now: Seconds, mind: &mut dyn Policy, events: Vec<Event>, truth: &[True]) -> Vec<Action> {
    let mut actions = Vec::new();
    if kind == Kind::Oracle {
        mind.observe(truth);
    }
    for event in events {
        mind.handle(now, event, &mut actions);
    }
    actions
}

impl Brains for Threads {
    fn start(&mut self, proxy: usize, settings: &str, seed: u64, recalls: bool) -> Result<(), BrainError> {
        if let Some(former) = self.minds.get(proxy).and_then(Option::as_ref).filter(|_| recalls) {
            let at = self.last.get(&proxy).copied().unwrap_or_default();
            self.learnt.insert(proxy, (at, former.learnt(at)));
        }
        let json = mosshead_settings::parse_json(settings)
            .map_err(|error| BrainError::Settings(error.to_string()))?;
        let named = mosshead_settings::read_settings(&mosshead_settings::JsonField::root(&json));
        let named = named.map_err(|error| BrainError::Settings(error.to_string()))?;
        let mind = self.kind.start(named.settings, seed);
        let mind = mind.map_err(|error| BrainError::Settings(error.to_string()))?;
        if self.minds.len() <= proxy {
            self.minds.resize_with(proxy + 1, || None);
        }
        self.minds[proxy] = Some(mind);
        Ok(())
    }

    fn turn(&mut self, now: Seconds, mail: Vec<Mail>, truth: &[True]) -> Result<Vec<Wanted>, BrainError> {
        let (kind, threads) = (self.kind, self.threads);
        let events: usize = mail.iter().map(|(_, events)| events.len()).sum();
        let mut work: Vec<Work> = mail
            .into_iter()
            .map(|(proxy, events)| (proxy, self.minds[proxy].take(), events, Vec::new()))
            .collect();
        let run = |work: &mut [Work]| {
            for (_, mind, events, actions) in work {
                if let Some(mind) = mind {
                    *actions = think(kind, now, mind.as_mut(), std::mem::take(events), truth);
                }
            }
        };
        if threads == 1 || events < WORTH_A_THREAD {
            run(&mut work);
        } else {
            let part = work.len().div_ceil(threads);
            std::thread::scope(|scope| {
                for part in work.chunks_mut(part) {
                    scope.spawn(move || run(part));
                }
            });
        }
        let mut wanted = Vec::with_capacity(work.len());
        for (proxy, mut mind, _, actions) in work {
            self.last.insert(proxy, now);
            // The list has been read by now: zones and kinds have their numbers.
            if let (Some((at, learnt)), Some(mind)) = (self.learnt.remove(&proxy), &mut mind) {
                mind.recall(now, &learnt, now - at);
            }
            self.minds[proxy] = mind;
            wanted.push((proxy, actions));
        }
        Ok(wanted)
    }
}

/// What a process with policies is told.
#[derive(Serialize, Deserialize)]
enum Order {
    Start { proxy: usize, settings: String, seed: u64, recalls: bool },
    Turn { now: Seconds, mail: Vec<Mail> },
}

fn send<T: Serialize>(to: &mut impl Write, message: &T) -> io::Result<()> {
    let bytes = postcard::to_stdvec(message).map_err(io::Error::other)?;
    to.write_all(&(bytes.len() as u64).to_le_bytes())?;
    to.write_all(&bytes)?;
    to.flush()
}

fn receive<T: for<'de> Deserialize<'de>>(from: &mut impl Read) -> io::Result<Option<T>> {
    let mut length = [0; 8];
    match from.read_exact(&mut length) {
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        other => other?,
    }
    let length = u64::from_le_bytes(length) as usize;
    if length > LONGEST_MESSAGE {
        return Err(io::Error::other(format!("a message of {length} bytes")));
    }
    let mut bytes = vec![0; length];
    from.read_exact(&mut bytes)?;
    postcard::from_bytes(&bytes).map(Some).map_err(io::Error::other)
}

/// The other side of [`Processes`]: serves one process's share of the policies until its input ends.
///
/// # Errors
///
/// The input or output fails, or holds what is not of this protocol.
pub fn serve(kind: Kind, input: impl Read, output: impl Write) -> Result<(), BrainError> {
    let (mut input, mut output) = (BufReader::new(input), BufWriter::new(output));
    let mut minds = Threads::new(kind, 1);
    while let Some(order) = receive(&mut input)? {
        match order {
            Order::Start { proxy, settings, seed, recalls } => {
                minds.start(proxy, &settings, seed, recalls)?;
            }
            Order::Turn { now, mail } => send(&mut output, &minds.turn(now, mail, &[])?)?,
        }
    }
    Ok(())
}

struct Worker {
    child: Child,
    input: BufWriter<ChildStdin>,
    output: BufReader<ChildStdout>,
}

impl Drop for Worker {
    fn drop(&mut self) {
        // Its input ends with this; one that does not notice is ended by its id.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Policies in processes of their own, each with every n-th proxy.
pub struct Processes(Vec<Worker>);

impl Processes {
    /// Starts so many; `command` gives each, which has to [`serve`] on its standard input and output.
    ///
    /// # Errors
    ///
    /// A process can't be started.
    pub fn start(count: usize, command: impl Fn() -> Command) -> Result<Self, BrainError> {
        let worker = |_| {
            let mut child = command().stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
            let missing = || io::Error::other("no pipe");
            let input = BufWriter::new(child.stdin.take().ok_or_else(missing)?);
            let output = BufReader::new(child.stdout.take().ok_or_else(missing)?);
            Ok(Worker { child, input, output })
        };
        (0..count.max(1)).map(worker).collect::<Result<_, _>>().map(Self)
    }
}

impl Brains for Processes {
    fn start(&mut self, proxy: usize, settings: &str, seed: u64, recalls: bool) -> Result<(), BrainError> {
        let count = self.0.len();
        let order = Order::Start { proxy, settings: settings.to_owned(), seed, recalls };
        Ok(send(&mut self.0[proxy % count].input, &order)?)
    }

    fn turn(&mut self, now: Seconds, mail: Vec<Mail>, _truth: &[True]) -> Result<Vec<Wanted>, BrainError> {
        let mut shares: Vec<Vec<Mail>> = self.0.iter().map(|_| Vec::new()).collect();
        let count = shares.len();
        mail.into_iter().for_each(|mail| shares[mail.0 % count].push(mail));
        let mut asked = Vec::new();
        for (worker, mail) in self.0.iter_mut().zip(shares) {
            asked.push(!mail.is_empty());
            if !mail.is_empty() {
                send(&mut worker.input, &Order::Turn { now, mail })?;
            }
        }
        let mut wanted: Vec<Wanted> = Vec::new();
        for (worker, _) in self.0.iter_mut().zip(asked).filter(|(_, asked)| *asked) {
            let answer: Option<Vec<Wanted>> = receive(&mut worker.output)?;
            wanted.extend(answer.ok_or_else(|| io::Error::other("it has ended"))?);
        }
        wanted.sort_by_key(|(proxy, _)| *proxy);
        Ok(wanted)
    }
}

/// Writes what a process with policies reads: one start and one turn. For tests of [`serve`].
///
/// # Errors
///
/// The output fails.
pub fn write_orders(
    to: &mut impl Write,
    (proxy, settings, seed): (usize, &str, u64),
    (now, mail): (Seconds, Vec<Mail>),
) -> io::Result<()> {
    send(to, &Order::Start { proxy, settings: settings.to_owned(), seed, recalls: false })?;
    send(to, &Order::Turn { now, mail })
}

/// The settings of a proxy as [`Brains::start`] wants them.
pub(crate) fn settings_text(world: &mosshead_world::World, proxy: usize) -> String {
    platform::settings(world, proxy).to_string()
}
