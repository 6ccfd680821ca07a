//! Errors of loading a configuration, and of applying one to a running proxy.
//!
//! The messages appear on standard error and in the log, where operators search for them.

use std::io;
use std::path::PathBuf;

use mosshead_decide::interface::SettingsError;
use mosshead_settings::JsonError;
use thiserror::Error;
use tokio::task::JoinError;

use crate::class_table::MAX_CLASS_SLOTS;

/// A text is not a valid configuration, or may not replace the running one. The message names the key.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigError {
    /// The text is not JSON, or a value is missing, of the wrong type or out of range.
    #[error(transparent)]
    InvalidValue(#[from] JsonError),
    /// The settings contradict each other or exceed a limit.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
    /// The running configuration has this key and the new one lacks it.
    #[error("{0}: missing, and in force now")]
    MissingKey(String),
}

/// The configuration could not be loaded from files and environment.
#[derive(Debug, Error)]
pub enum LoadConfigError {
    /// A file could not be read.
    #[error("{}: {source}", .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why it could not be read.
        source: io::Error,
    },
    /// A file's content is not valid.
    #[error("{}: {source}", .path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with its content.
        source: ConfigError,
    },
    /// The environment variable for the admin address contains something else.
    #[error("BALANCER_OPS: not an address with a port")]
    InvalidAdminAddress,
}

/// A running proxy could not apply new settings; the previous ones stay in force.
#[derive(Debug, Error)]
pub enum ApplySettingsError {
    #[error("settings.classes: over {MAX_CLASS_SLOTS} definitions within a minute")]
    TooManyClassDefinitions,
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
    /// The actor that owns the settings has ended: the process is about to exit.
    #[error("the balancer's actor has ended")]
    BalancerStopped,
}

/// A reload of the configuration failed; the previous one stays in force.
#[derive(Debug, Error)]
pub enum ReloadError {
    #[error(transparent)]
    Load(#[from] LoadConfigError),
    /// The thread that read the files panicked or was cancelled.
    #[error(transparent)]
    ReaderFailed(#[from] JoinError),
    #[error(transparent)]
    NotAReplacement(#[from] ConfigError),
    #[error(transparent)]
    Apply(#[from] ApplySettingsError),
}
