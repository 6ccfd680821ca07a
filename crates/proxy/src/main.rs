//! The client proxy's command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lexopt::prelude::*;
use mosshead::log::{self, Format};
use mosshead::{self as proxy, Config, LoadConfigError, OperatorConfig, RunError};

const USAGE: &str = "usage: mosshead serve [--config FILE] [--operators FILE] [--log text|json]
       mosshead check-config [--config FILE] [--operators FILE]
       mosshead version

The configuration is the platform's; without --config $BALANCER_CONFIG names the file. What the operators grant
beside it stands in a file of their own, named by --operators or $MOSSHEAD_OPERATORS; without either nothing is.";

/// The paths of the configuration files.
#[derive(Clone)]
struct ConfigFiles {
    /// The platform's file.
    platform: PathBuf,
    /// The operators' own file, if they have one.
    operators: Option<PathBuf>,
}

impl ConfigFiles {
    /// The files named on the command line or else in the environment.
    fn find(platform: Option<PathBuf>, operators: Option<PathBuf>) -> Result<Self, lexopt::Error> {
        let from_environment = |name| std::env::var_os(name).map(PathBuf::from);
        let platform = platform
            .or_else(|| from_environment("BALANCER_CONFIG"))
            .ok_or("no configuration: give --config or set BALANCER_CONFIG")?;
        let operators = operators.or_else(|| from_environment("MOSSHEAD_OPERATORS"));
        Ok(Self { platform, operators })
    }

    fn read(&self) -> Result<Config, LoadConfigError> {
        let text = |path: &Path| {
            std::fs::read_to_string(path)
                .map_err(|source| LoadConfigError::Unreadable { path: path.to_owned(), source })
        };
        let invalid = |path: &Path, source| LoadConfigError::Invalid { path: path.to_owned(), source };
        let mut config =
            Config::read(&text(&self.platform)?).map_err(|error| invalid(&self.platform, error))?;
        if let Some(path) = &self.operators {
            config.operators = OperatorConfig::read(&text(path)?).map_err(|error| invalid(path, error))?;
        }
        if let (None, Some(ops)) = (config.ops, std::env::var_os("BALANCER_OPS")) {
            let ops = ops.to_str().and_then(|ops| ops.parse().ok());
            config.ops = Some(ops.ok_or(LoadConfigError::InvalidAdminAddress)?);
        }
        Ok(config)
    }
}

enum Command {
    Serve(ConfigFiles, Format),
    CheckConfig(ConfigFiles),
    Version,
    Help,
}

fn parse_command_line() -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let (mut name, mut config, mut operators, mut format) = (None, None, None, None);
    while let Some(arg) = parser.next()? {
        match arg {
            Value(value) if name.is_none() => name = Some(value.string()?),
            Long("config") if config.is_none() => config = Some(PathBuf::from(parser.value()?)),
            Long("operators") if operators.is_none() => operators = Some(PathBuf::from(parser.value()?)),
            Long("log") if format.is_none() => format = Some(parse_format(&parser.value()?.string()?)?),
            Long("help") | Short('h') => return Ok(Command::Help),
            _ => return Err(arg.unexpected()),
        }
    }
    match name.ok_or("a sub-command is missing")?.as_str() {
        "serve" => Ok(Command::Serve(ConfigFiles::find(config, operators)?, format.unwrap_or_default())),
        "check-config" => Ok(Command::CheckConfig(ConfigFiles::find(config, operators)?)),
        "version" => Ok(Command::Version),
        other => Err(format!("no sub-command {other:?}").into()),
    }
}

fn parse_format(word: &str) -> Result<Format, lexopt::Error> {
    match word {
        "text" => Ok(Format::Text),
        "json" => Ok(Format::Json),
        _ => Err(format!("--log {word:?}: write text or json").into()),
    }
}

fn run(command: Command) -> Result<(), RunError> {
    match command {
        Command::Help => println!("{USAGE}"),
        Command::Version => println!("mosshead {}", env!("CARGO_PKG_VERSION")),
        Command::CheckConfig(files) => {
            let config = files.read()?;
            println!("{}: fit for {} on {}", files.platform.display(), config.name, config.listen);
            if let Some(folder) = config.operators.state {
                println!("state is kept in {}", folder.display());
            }
        }
        Command::Serve(files, format) => {
            // The guard of the log waits until it is written.
            proxy::run(move || files.read(), || log::start(format))?;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    let command = match parse_command_line() {
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
