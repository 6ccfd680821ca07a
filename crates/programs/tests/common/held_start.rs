//! Starts a program whose configuration file is a FIFO, so that its start takes until the test lets it go on. Tests of
//! other packages use this file too.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::fs::{CWD, FileType, Mode, mknodat};
use rustix::process::{Pid, Signal, kill_process};

/// The timeout of one step, long enough for a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The bit of SIGHUP, signal 1, in the masks of `/proc/PID/status`.
const HANGUP_BIT: u64 = 1;

/// A process that waits for its configuration. It is killed when this is dropped.
pub(crate) struct HeldStart {
    child: Child,
    config: PathBuf,
}

impl HeldStart {
    /// Starts the program and waits until it catches SIGHUP, though it can't have read its configuration yet.
    pub(crate) fn begin(program: &str, option: &str, folder: &Path) -> HeldStart {
        let config = folder.join("config");
        mknodat(CWD, &config, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).expect("a FIFO");
        let mut command = Command::new(program);
        command.args(["serve", option]).arg(&config).env("TMPDIR", folder);
        let child = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("the program starts");
        let mut held = HeldStart { child, config };
        held.wait_until("it catches SIGHUP", HeldStart::catches_hangup);
        held
    }

    fn catches_hangup(&mut self) -> bool {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let mask = mask.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
        mask.is_some_and(|mask| mask & HANGUP_BIT != 0)
    }

    /// Waits until a condition holds.
    pub(crate) fn wait_until(&mut self, what: &str, mut holds: impl FnMut(&mut HeldStart) -> bool) {
        let start = Instant::now();
        while !holds(self) {
            assert!(start.elapsed() < STEP_TIMEOUT, "{what}: not within {STEP_TIMEOUT:?}");
            thread::sleep(POLL_INTERVAL);
        }
    }

    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("the process is there");
    }

    /// Lets the start go on with this configuration, which a reload finds in the file too.
    pub(crate) fn release(&self, text: &str) {
        let mut fifo = File::options().write(true).open(&self.config).expect("the process reads");
        let regular = self.config.with_extension("regular");
        std::fs::write(&regular, text).expect("written");
        std::fs::rename(&regular, &self.config).expect("renamed");
        fifo.write_all(text.as_bytes()).expect("the process reads");
    }

    /// Waits for the exit, and returns the exit code; `None` if a signal ended the process.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        let mut code = None;
        self.wait_until("exit", |held| match held.child.try_wait().expect("the state of the process") {
            Some(status) => {
                code = status.code();
                true
            }
            None => false,
        });
        code
    }
}

impl Drop for HeldStart {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
