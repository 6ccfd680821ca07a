//! The client proxy's command line.

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::prelude::*;
use mosshead::log::{self, Format};
use mosshead::{self as proxy, Config};

const USAGE: &str = "usage: mosshead serve [--config FILE] [--log text|json]
       mosshead check-config [--config FILE]
       mosshead version

FILE is the configuration; without it $BALANCER_CONFIG names the file.";

enum Command {
    Serve(PathBuf, Format),
    CheckConfig(PathBuf),
    Version,
    Help,
}

fn command() -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let (mut name, mut config, mut format) = (None, None, None);
    while let Some(arg) = parser.next()? {
        match arg {
            Value(value) if name.is_none() => name = Some(value.string()?),
            Long("config") if config.is_none() => config = Some(PathBuf::from(parser.value()?)),
            Long("log") if format.is_none() => {
                let word = parser.value()?.string()?;
                format = Some(match word.as_str() {
                    "text" => Format::Text,
                    "json" => Format::Json,
                    _ => return Err(format!("--log {word:?}: write text or json").into()),
                });
            }
            Long("help") | Short('h') => return Ok(Command::Help),
            _ => return Err(arg.unexpected()),
        }
    }
    let name = name.ok_or("a sub-command is missing")?;
    let file = || {
        let named = config.clone().or_else(|| std::env::var_os("BALANCER_CONFIG").map(PathBuf::from));
        named.ok_or("no configuration: give --config or set BALANCER_CONFIG")
    };
    match name.as_str() {
        "serve" => Ok(Command::Serve(file()?, format.unwrap_or_default())),
        "check-config" => Ok(Command::CheckConfig(file()?)),
        "version" => Ok(Command::Version),
        other => Err(format!("no sub-command {other:?}").into()),
    }
}

fn read(path: &PathBuf) -> Result<Config, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let mut config = Config::read(&text).map_err(|fault| format!("{}: {fault}", path.display()))?;
    if let (None, Some(ops)) = (config.ops, std::env::var_os("BALANCER_OPS")) {
        let ops = ops.to_str().and_then(|ops| ops.parse().ok());
        config.ops = Some(ops.ok_or("BALANCER_OPS: not an address with a port")?);
    }
    Ok(config)
}

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Help => println!("{USAGE}"),
        Command::Version => println!("mosshead {}", env!("CARGO_PKG_VERSION")),
        Command::CheckConfig(path) => {
            let config = read(&path)?;
            println!("{}: fit for {} on {}", path.display(), config.name, config.listen);
        }
        Command::Serve(path, format) => {
            let config = read(&path)?;
            let _written = log::start(format);
            proxy::run(config, move || read(&path)).map_err(|error| error.to_string())?;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    let command = match command() {
        Ok(command) => command,
        Err(error) => {
            eprintln!("mosshead: {error}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("mosshead: {fault}");
            ExitCode::FAILURE
        }
    }
}
