//! The options of all commands that play days against processes.

use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Args;
use mosshead_emulator::EmulationOptions;

use crate::outcome::UsageError;

/// The program that is played against, and when a day is void.
#[derive(Args)]
pub(crate) struct ProxyCommand {
    /// The day is void if one event in a hundred came later than this, in milliseconds.
    #[arg(long, default_value_t = 10.0)]
    late_ms: f64,
    /// The program and its words; without it the `mosshead` beside this program serves.
    #[arg(last = true)]
    command: Vec<String>,
}

impl ProxyCommand {
    /// What a day with this seed is played with; `logs` is where the logs of the processes are kept.
    pub(crate) fn options(&self, seed: u64, logs: Option<PathBuf>) -> anyhow::Result<EmulationOptions> {
        if !self.late_ms.is_finite() || self.late_ms <= 0.0 {
            return Err(UsageError(format!("--late-ms {}: write a time above 0", self.late_ms)).into());
        }
        let command =
            if self.command.is_empty() { mosshead_beside_this_program()? } else { self.command.clone() };
        let late_limit = Duration::from_secs_f64(self.late_ms / 1000.0);
        Ok(EmulationOptions { logs, late_limit, ..EmulationOptions::new(seed, command) })
    }
}

/// The proxy that was built together with this program.
fn mosshead_beside_this_program() -> anyhow::Result<Vec<String>> {
    let this_program = std::env::current_exe()?;
    let program = this_program.parent().unwrap_or(Path::new(".")).join("mosshead");
    if !program.exists() {
        let error = format!(
            "{} is not there: build it (`cargo build --release`), or give a command behind `--`",
            program.display()
        );
        return Err(UsageError(error).into());
    }
    Ok(vec![program.display().to_string(), "serve".to_owned()])
}
