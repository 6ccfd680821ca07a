//! The record of one run of a request at a server.

use mosshead_fleet_rules::{AttemptId, BodyDigest, InstanceId, Run, RunEnd, RunOutcome};
use mosshead_time::Instant;
use tokio::sync::watch;

use crate::recorder::Recorder;

/// Records a run when it is dropped. Unless the run was completed or broken off before, its server has ended or its
/// caller has closed the connection.
pub(super) struct RunRecord {
    recorder: Recorder,
    attempt: AttemptId,
    instance: InstanceId,
    arrived_at: Instant,
    status: u16,
    body: BodyDigest,
    end: Option<RunEnd>,
    server_ended: watch::Receiver<bool>,
}

impl RunRecord {
    /// Begins a run, which ends with status 200 unless it is changed.
    pub(super) fn begin(
        recorder: &Recorder,
        attempt: AttemptId,
        instance: InstanceId,
        arrived_at: Instant,
        server_ended: watch::Receiver<bool>,
    ) -> RunRecord {
        RunRecord {
            recorder: recorder.clone(),
            attempt,
            instance,
            arrived_at,
            status: 200,
            body: BodyDigest::default(),
            end: None,
            server_ended,
        }
    }

    /// Sets the response.
    pub(super) fn set_response(&mut self, status: u16, body: &[u8]) {
        self.status = status;
        self.body = BodyDigest::of(body);
    }

    /// The server has sent the whole response.
    pub(super) fn complete(&mut self) {
        self.end.get_or_insert(RunEnd::Complete);
    }

    /// The server breaks off.
    pub(super) fn break_off(&mut self) {
        self.end.get_or_insert(RunEnd::BrokenOff);
    }
}

impl Drop for RunRecord {
    fn drop(&mut self) {
        let unstated = if *self.server_ended.borrow() { RunEnd::BrokenOff } else { RunEnd::Abandoned };
        let outcome = RunOutcome::Executed {
            status: self.status,
            body: self.body,
            end: self.end.unwrap_or(unstated),
            ended_at: self.recorder.now(),
        };
        let run = Run {
            attempt: self.attempt.clone(),
            instance: self.instance.clone(),
            arrived_at: self.arrived_at,
            outcome,
        };
        self.recorder.record(|history| history.runs.push(run));
    }
}
