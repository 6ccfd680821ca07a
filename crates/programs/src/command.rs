//! The command line of the fleet's programs, and the commands other than the process itself.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};
use mosshead_config::{Config, ConfigError};
use mosshead_time::Duration;
use quick_error::quick_error;

use crate::process::{ProcessError, Signals};
use crate::settings::{Settings, SettingsError};

/// The environment variable that names the settings file.
const SETTINGS_VARIABLE: &str = "MOSSHEAD_CONFIG";
/// The timeout of the status command for the connection, and for each read.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum number of bytes read from a status response.
const MAX_STATUS_BYTES: u64 = 1024 * 1024;
/// How long the runtime may take to drop its tasks when the process ends.
const RUNTIME_SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(50);
const EXIT_SUCCESS: i32 = 0;
const EXIT_FAILURE: i32 = 1;

/// A command of a program.
#[derive(Clone, Debug)]
pub enum Command {
    /// Run the process until a signal ends it.
    Serve {
        /// The settings file; the environment names it where this is absent.
        settings: Option<PathBuf>,
        /// True if debug events are logged too.
        detailed: bool,
    },
    /// Read a settings file and print the first error in it.
    CheckSettings {
        /// The settings file; the environment names it where this is absent.
        settings: Option<PathBuf>,
    },
    /// Read a configuration and print the first error in it.
    CheckConfig {
        /// A file with the JSON body of a `/Configuration.Replace` request.
        file: PathBuf,
    },
    /// Print the status of a running process.
    Status {
        /// The settings file of that process; the environment names it where this is absent.
        settings: Option<PathBuf>,
    },
}

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum CommandError {
        /// Neither the command line nor the environment names a settings file.
        NoSettingsFile {
            display("no settings file: neither --settings nor {SETTINGS_VARIABLE}")
        }
        /// The settings file can't be used.
        Settings(error: SettingsError) {
            display("{error}")
            source(error)
            from()
        }
        /// The configuration is invalid.
        Config(error: ConfigError) {
            display("{error}")
            source(error)
            from()
        }
        /// The process could not start, or failed while running.
        Process(error: ProcessError) {
            display("{error}")
            source(error)
            from()
        }
        /// The settings name no address that serves the status.
        NoStatusAddress {
            display("nothing listens")
        }
        /// A file, the runtime or the connection to a process failed.
        Io(error: io::Error) {
            display("{error}")
            source(error)
            from()
        }
    }
}

/// The option that names the settings file.
fn settings() -> impl Parser<Option<PathBuf>> {
    long("settings")
        .help("The settings file; without it MOSSHEAD_CONFIG names it")
        .argument("FILE")
        .optional()
}

/// The command line of a program.
pub fn parser(about: &'static str) -> OptionParser<Command> {
    let detailed = long("detailed").help("Log debug events too").switch();
    let serve = {
        let settings = settings();
        construct!(Command::Serve { settings, detailed })
            .to_options()
            .descr("Run the process until it receives SIGTERM or SIGINT")
            .command("serve")
    };
    let check_settings = {
        let settings = settings();
        construct!(Command::CheckSettings { settings })
            .to_options()
            .descr("Validate a settings file")
            .command("check-settings")
    };
    let check_config = {
        let file = positional("FILE").help("A configuration as the operator sends it");
        construct!(Command::CheckConfig { file })
            .to_options()
            .descr("Validate a configuration without sending it")
            .command("check-config")
    };
    let status = {
        let settings = settings();
        construct!(Command::Status { settings })
            .to_options()
            .descr("Print the status of a running process")
            .command("status")
    };
    construct!([serve, check_settings, check_config, status]).to_options().descr(about)
}

/// Runs a command and returns the exit code. Errors are printed to standard error. `serve` runs the process.
pub fn run<F>(command: Command, serve: impl FnOnce(Settings, PathBuf, Signals) -> F) -> i32
where
    F: Future<Output = Result<(), ProcessError>>,
{
    let result = match command {
        Command::Serve { settings, detailed } => run_process(settings, detailed, serve),
        Command::CheckSettings { settings } => check_settings(settings),
        Command::CheckConfig { file } => check_config(file),
        Command::Status { settings } => print_status(settings),
    };
    match result {
        Ok(()) => EXIT_SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            EXIT_FAILURE
        }
    }
}

fn run_process<F>(
    settings_path: Option<PathBuf>,
    detailed: bool,
    serve: impl FnOnce(Settings, PathBuf, Signals) -> F,
) -> Result<(), CommandError>
where
    F: Future<Output = Result<(), ProcessError>>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let tasks = tokio::task::LocalSet::new();
    let result = tasks.block_on(&runtime, async {
        let signals = Signals::install()?;
        let path = find_settings(settings_path)?;
        crate::logging::start(detailed);
        let settings = Settings::load(&path)?;
        Ok(serve(settings, path, signals).await?)
    });
    // A blocking task that never ends must not keep the process alive.
    runtime.shutdown_timeout(RUNTIME_SHUTDOWN_TIMEOUT);
    result
}

fn check_settings(settings_path: Option<PathBuf>) -> Result<(), CommandError> {
    let settings = Settings::load(&find_settings(settings_path)?)?;
    println!("{}: sound.", settings.required_node_name()?);
    Ok(())
}

fn check_config(file: PathBuf) -> Result<(), CommandError> {
    let config = Config::parse(&std::fs::read(&file)?)?;
    println!("Configuration {}: {} routes, sound.", config.revision(), config.routes().len());
    Ok(())
}

fn print_status(settings_path: Option<PathBuf>) -> Result<(), CommandError> {
    let settings = Settings::load(&find_settings(settings_path)?)?;
    println!("{}", fetch_status(&settings)?);
    Ok(())
}

fn find_settings(from_command_line: Option<PathBuf>) -> Result<PathBuf, CommandError> {
    from_command_line
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        .ok_or(CommandError::NoSettingsFile)
}

/// The body of the response to `GET /status` of the process with these settings.
fn fetch_status(settings: &Settings) -> Result<String, CommandError> {
    let address = settings.readiness.or(settings.control_plane).ok_or(CommandError::NoStatusAddress)?;
    let mut stream = TcpStream::connect_timeout(&address.into(), STATUS_TIMEOUT)?;
    stream.set_read_timeout(Some(STATUS_TIMEOUT))?;
    stream.write_all(b"GET /status HTTP/1.1\r\nHost: status\r\nConnection: close\r\n\r\n")?;
    let mut response = String::new();
    stream.take(MAX_STATUS_BYTES).read_to_string(&mut response)?;
    Ok(response.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.to_owned()))
}
