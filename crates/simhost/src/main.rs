//! Runs the simulator's wire protocol on standard input and output, with one balancer for each instance.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use mosshead_simhost::{Session, WireError};
use thiserror::Error;

#[derive(Debug, Error)]
enum HostError {
    #[error("standard input: {0}")]
    Input(io::Error),
    #[error("standard output: {0}")]
    Output(io::Error),
    #[error(transparent)]
    Wire(#[from] WireError),
}

fn run_session() -> Result<(), HostError> {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let mut session = Session::new();
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes).map_err(HostError::Input)? == 0 {
            return Ok(session.finish()?);
        }
        // Bytes that are not UTF-8 become replacement characters, which no message name or number contains.
        let line = String::from_utf8_lossy(&bytes);
        if let Some(reply) = session.handle_line(line.trim_end_matches(['\n', '\r']))? {
            output.write_all(reply.as_bytes()).and_then(|()| output.flush()).map_err(HostError::Output)?;
        }
    }
}

fn main() -> ExitCode {
    match run_session() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mosshead-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
