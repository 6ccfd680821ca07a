//! The client proxy's command line.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lexopt::prelude::*;
use mosshead::log::{self, Format};
use mosshead::{self as proxy, Config, LoadConfigError, OperatorConfig};
use thiserror::Error;

const USAGE: &str = "usage: mosshead serve [--config FILE] [--operators FILE] [--log text|json]
       mosshead check-config [--config FILE] [--operators FILE]
       mosshead version

The configuration is the platform's; without --config $BALANCER_CONFIG names the file. What the operators grant
beside it stands in a file of their own, named by --operators or $MOSSHEAD_OPERATORS; without either nothing is.";

/// The platform's file, and the operators' own.
#[derive(Clone)]
struct ConfigFiles(PathBuf, Option<PathBuf>);

enum Command {
    Serve(ConfigFiles, Format),
    CheckConfig(ConfigFiles),
    Version,
    Help,
}

fn command() -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let (mut name, mut config, mut operators, mut format) = (None, None, None, None);
    while let Some(arg) = parser.next()? {
        match arg {
            Value(value) if name.is_none() => name = Some(value.string()?),
            Long("config") if config.is_none() => config = Some(PathBuf::from(parser.value()?)),
            Long("operators") if operators.is_none() => operators = Some(PathBuf::from(parser.value()?)),
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
        let or_else =
            |path: &Option<PathBuf>, name| path.clone().or_else(|| std::env::var_os(name).map(PathBuf::from));
        let config = or_else(&config, "BALANCER_CONFIG");
        let config = config.ok_or("no configuration: give --config or set BALANCER_CONFIG")?;
        Ok::<_, lexopt::Error>(ConfigFiles(config, or_else(&operators, "MOSSHEAD_OPERATORS")))
    };
    match name.as_str() {
        "serve" => Ok(Command::Serve(file()?, format.unwrap_or_default())),
        "check-config" => Ok(Command::CheckConfig(file()?)),
        "version" => Ok(Command::Version),
        other => Err(format!("no sub-command {other:?}").into()),
    }
}

fn read(ConfigFiles(path, operators): &ConfigFiles) -> Result<Config, LoadConfigError> {
    let text = |path: &Path| {
        std::fs::read_to_string(path)
            .map_err(|source| LoadConfigError::Unreadable { path: path.to_owned(), source })
    };
    let invalid = |path: &Path, source| LoadConfigError::Invalid { path: path.to_owned(), source };
    let mut config = Config::read(&text(path)?).map_err(|error| invalid(path, error))?;
    if let Some(path) = operators {
        config.operators = OperatorConfig::read(&text(path)?).map_err(|error| invalid(path, error))?;
    }
    if let (None, Some(ops)) = (config.ops, std::env::var_os("BALANCER_OPS")) {
        let ops = ops.to_str().and_then(|ops| ops.parse().ok());
        config.ops = Some(ops.ok_or(LoadConfigError::InvalidAdminAddress)?);
    }
    Ok(config)
}

/// Why a sub-command failed.
#[derive(Debug, Error)]
enum CommandError {
    #[error(transparent)]
    Load(#[from] LoadConfigError),
    #[error(transparent)]
    Serve(#[from] io::Error),
}

fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Help => println!("{USAGE}"),
        Command::Version => println!("mosshead {}", env!("CARGO_PKG_VERSION")),
        Command::CheckConfig(files) => {
            let config = read(&files)?;
            println!("{}: fit for {} on {}", files.0.display(), config.name, config.listen);
            if let Some(folder) = config.operators.state {
                println!("state is kept in {}", folder.display());
            }
        }
        Command::Serve(files, format) => {
            let config = read(&files)?;
            let _written = log::start(format);
            proxy::run(config, move || read(&files))?;
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
        Err(error) => {
            eprintln!("mosshead: {error}");
            ExitCode::FAILURE
        }
    }
}
