//! Builds histories of a fleet of three control nodes and two proxies, which all start at the origin.

use mosshead_fleet_rules::{
    Acknowledgement, AttemptId, BodyDigest, Change, ChangeOutcome, Drain, History, InstanceId, MachineId,
    Order, ProcessEvent, ProcessEventKind, ReadBack, Request, RequestEnd, RequestKind, ResponseHead, Run,
    RunEnd, RunOutcome, StreamEvent,
};
use mosshead_time::{Duration, Instant};

/// The client's time for a request.
const DEADLINE: Duration = Duration::from_secs(3);
/// The time from the last byte of a request to its end.
const REQUEST_TIME: Duration = Duration::from_millis(50);
const OK: u16 = 200;

pub(crate) const SERVER: &str = "i-1";
pub(crate) const OTHER_SERVER: &str = "i-2";
pub(crate) const STREAM: RequestKind = RequestKind::Stream { is_resumable: false, events: 3 };
pub(crate) const RESUMABLE: RequestKind = RequestKind::Stream { is_resumable: true, events: 3 };

/// The instant so many milliseconds after the start of the fleet.
pub(crate) fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

pub(crate) fn attempt(name: &str) -> AttemptId {
    AttemptId(name.into())
}

pub(crate) fn instance(name: &str) -> InstanceId {
    InstanceId(name.into())
}

/// A fleet in which nothing has happened but the start.
pub(crate) fn started_fleet() -> History {
    let machines = (0..3).map(MachineId::control_node).chain((0..2).map(MachineId::proxy));
    let started = |machine| ProcessEvent { machine, at: Instant::ORIGIN, kind: ProcessEventKind::Started };
    History { control_nodes: 3, process_events: machines.map(started).collect(), ..History::default() }
}

/// Adds an event of a process, in the order of time.
pub(crate) fn happen(history: &mut History, machine: MachineId, millis: u64, kind: ProcessEventKind) {
    history.process_events.push(ProcessEvent { machine, at: at(millis), kind });
    history.process_events.sort_by_key(|event| event.at);
}

/// The body of each response.
pub(crate) fn body() -> BodyDigest {
    BodyDigest::of(b"body")
}

/// A request to the first proxy that was answered with success by [`SERVER`].
pub(crate) fn served(name: &str, kind: RequestKind, sent_millis: u64) -> Request {
    let events = match kind {
        RequestKind::Stream { events, .. } => {
            (1..=events).map(|id| StreamEvent { id, instance: instance(SERVER) }).collect()
        }
        _ => Vec::new(),
    };
    Request {
        attempt: attempt(name),
        kind,
        proxy: 0,
        sent_at: at(sent_millis),
        ended_at: at(sent_millis) + REQUEST_TIME,
        deadline: at(sent_millis) + DEADLINE,
        head: Some(ResponseHead { status: OK, attempt: Some(attempt(name)), seal: Some(instance(SERVER)) }),
        body: body(),
        events,
        end: RequestEnd::Complete,
    }
}

/// A request that the proxy itself answered with this status.
pub(crate) fn refused(name: &str, kind: RequestKind, sent_millis: u64, status: u16) -> Request {
    let head = ResponseHead { status, attempt: None, seal: None };
    Request { head: Some(head), events: Vec::new(), ..served(name, kind, sent_millis) }
}

/// A request whose connection ended `after` its last byte was sent.
pub(crate) fn cut_off(name: &str, kind: RequestKind, sent_millis: u64, after: Duration) -> Request {
    let request = served(name, kind, sent_millis);
    let ended_at = request.sent_at + after;
    Request { head: None, events: Vec::new(), end: RequestEnd::CutOff, ended_at, ..request }
}

/// The run of a request at a server.
pub(crate) fn run(name: &str, server: &str, arrived_millis: u64, end: RunEnd) -> Run {
    let ended_at = at(arrived_millis + 10);
    let outcome = RunOutcome::Executed { status: OK, body: body(), end, ended_at };
    Run { attempt: attempt(name), instance: instance(server), arrived_at: at(arrived_millis), outcome }
}

/// Adds a request that was served, with its run.
pub(crate) fn serve(history: &mut History, name: &str, kind: RequestKind, sent_millis: u64) {
    history.requests.push(served(name, kind, sent_millis));
    history.runs.push(run(name, SERVER, sent_millis + 5, RunEnd::Complete));
}

/// Adds a change that was acknowledged 10 ms after it was sent.
pub(crate) fn change(history: &mut History, base: u64, revision: u64, sent_millis: u64) {
    let acknowledgement = Acknowledgement { at: at(sent_millis + 10), control_node: 0 };
    let outcome = ChangeOutcome::Acknowledged(acknowledgement);
    history.changes.push(Change { revision, base, sent_at: at(sent_millis), outcome });
}

/// Adds a server that left, acknowledged by a control node.
pub(crate) fn drain(history: &mut History, server: &str, millis: u64, control_node: usize) {
    let acknowledgement = Acknowledgement { at: at(millis), control_node };
    history.drains.push(Drain { instance: instance(server), acknowledgement });
}

/// Adds an order of a control node.
pub(crate) fn order(history: &mut History, control_node: usize, millis: u64, fence: u64) {
    history.orders.push(Order {
        instance: instance(SERVER),
        at: at(millis),
        owner: format!("control-{control_node}").into(),
        control_node: Some(control_node),
        fence,
    });
}

/// Sets what the operator read back at the end.
pub(crate) fn read_back(history: &mut History, revision: u64) {
    history.read_back = Some(ReadBack { revision: Some(revision), is_as_sent: true });
}
