//! Speaks the simulator's wire on standard input and output, one balancer for each instance.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use mosshead_simhost::Drill;

fn drill() -> Result<(), String> {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let mut drill = Drill::new();
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes).map_err(|error| format!("standard input: {error}"))? == 0 {
            return drill.end().map_err(|error| error.to_string());
        }
        // What is not UTF-8 turns into replacement characters, which no message name or number holds.
        let line = String::from_utf8_lossy(&bytes);
        let reply = drill.line(line.trim_end_matches(['\n', '\r'])).map_err(|error| error.to_string())?;
        if let Some(reply) = reply {
            output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|error| format!("standard output: {error}"))?;
        }
    }
}

fn main() -> ExitCode {
    match drill() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("mosshead-simhost: {fault}");
            ExitCode::FAILURE
        }
    }
}
