//! The processes of the fleet: their settings, starts and ends.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

use crate::error::FleetEmulatorError;
use crate::machines::{MachineKind, Ports, address};

/// So many control nodes are named as seeds.
const MAX_SEEDS: usize = 3;
/// From SIGTERM to the end of a process, in seconds.
const GRACE_S: u32 = 4;

/// The bit of SIGHUP, signal 1, in the masks of `/proc/PID/status`.
const HANGUP_BIT: u64 = 1;

/// A program of the fleet on one machine.
#[derive(Debug)]
pub(crate) struct FleetProcess {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl FleetProcess {
    /// Starts the process, unless it runs.
    pub(crate) fn start(&mut self) -> Result<(), FleetEmulatorError> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        command.args(["serve", "--settings"]).arg(&self.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        let child = command.spawn();
        self.child = Some(child.map_err(|error| FleetEmulatorError::Start(self.program.clone(), error))?);
        Ok(())
    }

    /// Adds a line to the settings, which counts from the next start.
    pub(crate) fn add_setting(&self, line: &str) -> Result<(), FleetEmulatorError> {
        let mut settings = File::options().append(true).open(&self.settings)?;
        Ok(writeln!(settings, "{line}")?)
    }

    /// The id of the process, or 0 if it does not run.
    pub(crate) fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Ends the process at once.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the process to shut down.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends a signal, if the process runs.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Whether the process catches SIGHUP by now.
    pub(crate) fn catches_hangup(&self) -> bool {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let mask = mask.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
        mask.is_some_and(|mask| mask & HANGUP_BIT != 0)
    }

    /// Whether the process was started and has not been seen to end.
    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// The exit status, once after the end of the process; it counts as not started from then on.
    pub(crate) fn take_exit(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// Whether the process does not run.
    pub(crate) fn has_ended(&mut self) -> bool {
        self.take_exit();
        !self.is_running()
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// All processes, with their settings, disks and logs in one folder.
pub(crate) struct FleetProcesses {
    pub(crate) control_nodes: Vec<FleetProcess>,
    pub(crate) proxies: Vec<FleetProcess>,
    _folder: Option<TempDir>,
}

impl FleetProcesses {
    /// Writes the settings of all processes; none is started.
    pub(crate) fn prepare(
        programs: &Path,
        ports: &Ports,
        control_nodes: usize,
        proxies: usize,
        logs: Option<&Path>,
    ) -> Result<FleetProcesses, FleetEmulatorError> {
        let temporary = tempfile::tempdir()?;
        let folder = temporary.path().to_owned();
        let log_folder = logs.map_or(folder.clone(), Path::to_owned);
        std::fs::create_dir_all(&log_folder)?;
        let seeds: Vec<String> =
            (0..control_nodes.min(MAX_SEEDS)).map(|node| ports.control_api_of(node).to_string()).collect();
        let seeds = seeds.join(",");
        let process = |program: &str, name: String, settings: String| {
            let program = programs.join(program);
            if !program.exists() {
                return Err(FleetEmulatorError::ProgramMissing(program));
            }
            let path = folder.join(format!("{name}.conf"));
            std::fs::write(&path, settings)?;
            let log = log_folder.join(format!("{name}.log"));
            Ok(FleetProcess { program, settings: path, log, child: None })
        };
        let tolerated_failures = (control_nodes.max(1) - 1) / 2;
        let control_nodes = (0..control_nodes).map(|node| {
            let name = format!("control-{node}");
            let common = common_settings(&name, MachineKind::ControlNode, node, ports, &seeds);
            let settings = format!(
                "{common}listen_addresses.control_plane={}\ndata_directory={}\nbootstrap=true\n\
                 fault_tolerance.node_failures={tolerated_failures}\n",
                ports.control_api_of(node),
                folder.join(&name).display(),
            );
            process("mosshead-control", name, settings)
        });
        let control_nodes = control_nodes.collect::<Result<Vec<_>, _>>()?;
        let proxies = (0..proxies).map(|proxy| {
            let name = format!("proxy-{proxy}");
            let common = common_settings(&name, MachineKind::Proxy, proxy, ports, &seeds);
            let settings = format!(
                "{common}listen_addresses.front_http={}\nlisten_addresses.readiness={}\n",
                ports.front_of(proxy),
                ports.readiness_of(proxy),
            );
            process("mosshead-router", name, settings)
        });
        let proxies = proxies.collect::<Result<Vec<_>, _>>()?;
        Ok(FleetProcesses { control_nodes, proxies, _folder: Some(temporary) })
    }

    /// Starts all processes.
    pub(crate) fn start_all(&mut self) -> Result<(), FleetEmulatorError> {
        self.control_nodes.iter_mut().chain(&mut self.proxies).try_for_each(FleetProcess::start)
    }
}

fn common_settings(name: &str, kind: MachineKind, number: usize, ports: &Ports, seeds: &str) -> String {
    format!(
        "node_name={name}\nzone={zone}\nip_address={address}\ninternal_port_range={internal},{internal}\n\
         seed_nodes={seeds}\nkeepalive_ms={keepalive}\nbounds.grace_s={GRACE_S}\n",
        zone = zone_of(number),
        address = address(kind, number),
        internal = ports.internal,
        keepalive = crate::model_server::HEARTBEAT_INTERVAL.as_millis(),
    )
}

/// The zone of the machine of this number: there are two.
pub(crate) fn zone_of(number: usize) -> &'static str {
    if number.is_multiple_of(2) { "east-a" } else { "east-b" }
}
