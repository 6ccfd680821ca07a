//! The command line of the fleet's programs.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};

use crate::settings::Settings;

/// What a program is told to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Serve.
    Serve {
        /// The settings file.
        settings: Option<PathBuf>,
        /// Say more in the log.
        detailed: bool,
    },
    /// Read a settings file and say what is wrong with it.
    CheckSettings {
        /// The settings file.
        settings: Option<PathBuf>,
    },
    /// Read a configuration and say what is wrong with it.
    CheckConfig {
        /// The configuration.
        file: PathBuf,
    },
    /// Ask a running process what it knows.
    Status {
        /// Its settings file.
        settings: Option<PathBuf>,
    },
}

fn settings() -> impl Parser<Option<PathBuf>> {
    long("settings")
        .help("The settings file; without it MOSSHEAD_CONFIG names it")
        .argument("FILE")
        .optional()
}

/// The command line of a program.
pub fn parser(about: &'static str) -> OptionParser<Command> {
    let detailed = long("detailed").help("Say more in the log").switch();
    let serve = {
        let settings = settings();
        construct!(Command::Serve { settings, detailed })
            .to_options()
            .descr("Serve until told to end")
            .command("serve")
    };
    let check_settings = {
        let settings = settings();
        construct!(Command::CheckSettings { settings })
            .to_options()
            .descr("Say what is wrong with a settings file")
            .command("check-settings")
    };
    let check_config = {
        let file = positional("FILE").help("A configuration as the operator sends it");
        construct!(Command::CheckConfig { file })
            .to_options()
            .descr("Say what is wrong with a configuration, without sending it")
            .command("check-config")
    };
    let status = {
        let settings = settings();
        construct!(Command::Status { settings })
            .to_options()
            .descr("What a running process knows")
            .command("status")
    };
    construct!([serve, check_settings, check_config, status]).to_options().descr(about)
}

/// Where the settings are.
pub fn path(given: Option<PathBuf>) -> Result<PathBuf, String> {
    given
        .or_else(|| std::env::var_os("MOSSHEAD_CONFIG").map(PathBuf::from))
        .ok_or_else(|| "no settings file: neither --settings nor MOSSHEAD_CONFIG".to_owned())
}

/// Runs a program: `serve` does its work. The exit code.
pub fn run<F>(command: Command, serve: impl FnOnce(Settings, PathBuf) -> F) -> i32
where
    F: Future<Output = std::io::Result<()>>,
{
    let result = match command {
        Command::Serve { settings, detailed } => path(settings).and_then(|path| {
            crate::logging::start(detailed);
            let settings = Settings::load(&path).map_err(|fault| fault.to_string())?;
            on_one_thread(serve(settings, path)).map_err(|error| error.to_string())
        }),
        Command::CheckSettings { settings } => path(settings).and_then(|path| {
            let settings = Settings::load(&path).map_err(|fault| fault.to_string())?;
            println!("{}: sound.", settings.node_name);
            Ok(())
        }),
        Command::CheckConfig { file } => {
            std::fs::read(&file).map_err(|error| error.to_string()).and_then(|text| {
                let config = mosshead_config::Config::parse(&text).map_err(|fault| fault.to_string())?;
                println!("Configuration {}: {} routes, sound.", config.revision, config.routes.len());
                Ok(())
            })
        }
        Command::Status { settings } => path(settings).and_then(|path| {
            let settings = Settings::load(&path).map_err(|fault| fault.to_string())?;
            println!("{}", ask_status(&settings).map_err(|error| error.to_string())?);
            Ok(())
        }),
    };
    match result {
        Ok(()) => 0,
        Err(why) => {
            eprintln!("{why}");
            1
        }
    }
}

fn on_one_thread(work: impl Future<Output = std::io::Result<()>>) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    let result = local.block_on(&runtime, work);
    // Danger: a task that never ends must not hold the process.
    runtime.shutdown_timeout(std::time::Duration::from_millis(50));
    result
}

fn ask_status(settings: &Settings) -> std::io::Result<String> {
    use std::io::{Read, Write};
    let address = settings
        .readiness
        .or(settings.control_plane)
        .ok_or_else(|| std::io::Error::other("nothing listens"))?;
    let within = std::time::Duration::from_secs(2);
    let mut stream = std::net::TcpStream::connect_timeout(&address.into(), within)?;
    stream.set_read_timeout(Some(within))?;
    stream.write_all(b"GET /status HTTP/1.1\r\nHost: status\r\nConnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.take(1024 * 1024).read_to_string(&mut text)?;
    Ok(text.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.to_owned()))
}
