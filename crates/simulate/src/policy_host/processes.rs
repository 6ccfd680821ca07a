//! Policies in processes of their own, which talk over their standard input and output.
//!
//! A message is its length in bytes as a little-endian `u64`, and that many bytes of postcard.

use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

use mosshead_decide::interface::Seconds;
use mosshead_world::ServerSnapshot;
use serde::{Deserialize, Serialize};

use super::{PolicyHost, PolicyHostError, PolicyStart, ProxyActions, ProxyEvents, ThreadedPolicyHost};
use crate::policies::PolicyKind;

/// A longer message is an error of the other side.
const MAX_MESSAGE_BYTES: usize = 256 << 20;

/// What a worker process is asked to do.
#[derive(Serialize, Deserialize)]
enum WorkerRequest {
    /// Start a policy; there is no response.
    StartPolicy { proxy: usize, settings: String, seed: u64, restores_learned: bool },
    /// Handle events; the response is a list of [`ProxyActions`].
    RunTick { now: Seconds, events: Vec<ProxyEvents> },
}

fn send<T: Serialize>(output: &mut impl Write, message: &T) -> io::Result<()> {
    let bytes = postcard::to_stdvec(message).map_err(io::Error::other)?;
    output.write_all(&(bytes.len() as u64).to_le_bytes())?;
    output.write_all(&bytes)?;
    output.flush()
}

/// The next message, or `None` at the end of the input.
fn receive<T: for<'de> Deserialize<'de>>(input: &mut impl Read) -> io::Result<Option<T>> {
    let mut length = [0; 8];
    match input.read_exact(&mut length) {
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        other => other?,
    }
    let length = u64::from_le_bytes(length) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(io::Error::other(format!("a message of {length} bytes")));
    }
    let mut bytes = vec![0; length];
    input.read_exact(&mut bytes)?;
    postcard::from_bytes(&bytes).map(Some).map_err(io::Error::other)
}

/// The worker's side of [`ProcessPolicyHost`]: runs one process's share of the policies until its input ends.
///
/// # Errors
///
/// The input or output fails, a message cannot be read, or the settings of a proxy are rejected.
pub fn serve(kind: PolicyKind, input: impl Read, output: impl Write) -> Result<(), PolicyHostError> {
    let (mut input, mut output) = (BufReader::new(input), BufWriter::new(output));
    let mut policies = ThreadedPolicyHost::new(kind, 1);
    while let Some(request) = receive(&mut input)? {
        match request {
            WorkerRequest::StartPolicy { proxy, settings, seed, restores_learned } => {
                let start =
                    if restores_learned { PolicyStart::WithLearnedValues } else { PolicyStart::Fresh };
                policies.start_policy(proxy, &settings, seed, start)?;
            }
            WorkerRequest::RunTick { now, events } => {
                send(&mut output, &policies.run_tick(now, events, &[])?)?;
            }
        }
    }
    Ok(())
}

struct Worker {
    child: Child,
    input: BufWriter<ChildStdin>,
    output: BufReader<ChildStdout>,
}

impl Worker {
    fn spawn(mut command: Command) -> io::Result<Self> {
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let missing = || io::Error::other("no pipe");
        let input = BufWriter::new(child.stdin.take().ok_or_else(missing)?);
        let output = BufReader::new(child.stdout.take().ok_or_else(missing)?);
        Ok(Worker { child, input, output })
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        // A worker ends by itself at the end of its input; a hung one would not, and would be left behind.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Policies in processes of their own: of `n` processes, each runs every `n`-th proxy.
pub struct ProcessPolicyHost(Vec<Worker>);

impl ProcessPolicyHost {
    /// Starts `count` processes, at least one. Each command has to call [`serve`] on its standard input and output.
    ///
    /// # Errors
    ///
    /// A process can't be started.
    pub fn start(count: usize, command: impl Fn() -> Command) -> Result<Self, PolicyHostError> {
        let workers = (0..count.max(1)).map(|_| Worker::spawn(command()));
        Ok(Self(workers.collect::<io::Result<_>>()?))
    }
}

impl PolicyHost for ProcessPolicyHost {
    fn start_policy(
        &mut self,
        proxy: usize,
        settings: &str,
        seed: u64,
        start: PolicyStart,
    ) -> Result<(), PolicyHostError> {
        let count = self.0.len();
        let restores_learned = start == PolicyStart::WithLearnedValues;
        let settings = settings.to_owned();
        let request = WorkerRequest::StartPolicy { proxy, settings, seed, restores_learned };
        Ok(send(&mut self.0[proxy % count].input, &request)?)
    }

    fn run_tick(
        &mut self,
        now: Seconds,
        events: Vec<ProxyEvents>,
        _snapshots: &[ServerSnapshot],
    ) -> Result<Vec<ProxyActions>, PolicyHostError> {
        let count = self.0.len();
        let mut shares: Vec<Vec<ProxyEvents>> = self.0.iter().map(|_| Vec::new()).collect();
        events.into_iter().for_each(|own| shares[own.proxy % count].push(own));
        let mut busy_workers = Vec::new();
        for (worker, events) in self.0.iter_mut().zip(shares) {
            if !events.is_empty() {
                send(&mut worker.input, &WorkerRequest::RunTick { now, events })?;
                busy_workers.push(worker);
            }
        }
        let mut all_actions: Vec<ProxyActions> = Vec::new();
        for worker in busy_workers {
            let actions: Option<Vec<ProxyActions>> = receive(&mut worker.output)?;
            all_actions.extend(actions.ok_or_else(|| io::Error::other("it has ended"))?);
        }
        all_actions.sort_by_key(|own| own.proxy);
        Ok(all_actions)
    }
}

/// Writes what a worker process reads: the start of one policy and one tick. For tests of [`serve`].
///
/// # Errors
///
/// The output fails.
pub fn write_requests(
    output: &mut impl Write,
    (proxy, settings, seed): (usize, &str, u64),
    (now, events): (Seconds, Vec<ProxyEvents>),
) -> io::Result<()> {
    let settings = settings.to_owned();
    send(output, &WorkerRequest::StartPolicy { proxy, settings, seed, restores_learned: false })?;
    send(output, &WorkerRequest::RunTick { now, events })
}
