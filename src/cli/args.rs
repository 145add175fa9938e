use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;
use strum::{Display, EnumString};

/// How log lines are written.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum LogFormat {
    Json,
    Text,
}

/// A rollout service for reinforcement learning beside live traffic.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub(crate) enum Command {
    /// Runs the daemon of one VM.
    #[bpaf(command)]
    Daemon {
        /// The settings, as JSON.
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// How log lines are written: json or text.
        #[bpaf(argument("FORMAT"), fallback(LogFormat::Json), display_fallback)]
        log_format: LogFormat,
        /// What is logged, for instance info or debug.
        #[bpaf(argument("LEVEL"), fallback("info".to_owned()), display_fallback)]
        log_level: String,
    },
    /// Runs one VM on a platform that keeps what must last.
    #[bpaf(command)]
    Serve {
        /// The settings, as JSON.
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// What is logged, for instance info or debug.
        #[bpaf(argument("LEVEL"), fallback("info".to_owned()), display_fallback)]
        log_level: String,
    },
    /// Checks a settings file and says every fault.
    #[bpaf(command)]
    Check {
        /// Checks the settings of `serve` instead of those of `daemon`.
        vm: bool,
        /// The settings, as JSON.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Prints what log files say of a request, a sample, a batch or an endpoint.
    #[bpaf(command)]
    Explain {
        /// Its id.
        #[bpaf(positional("ID"))]
        id: String,
        /// Logs of any number of VMs, as JSON lines.
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Reads and changes the numbered configuration.
    #[bpaf(command)]
    Config {
        #[bpaf(external(config_command))]
        command: ConfigCommand,
    },
    /// Shows what a daemon knows.
    #[bpaf(command)]
    Status {
        /// The control address of any daemon.
        #[bpaf(argument("ADDRESS"))]
        daemon: SocketAddr,
        /// Prints JSON for tools.
        json: bool,
    },
    /// Takes a VM or an endpoint out of use, gracefully.
    #[bpaf(command)]
    Drain {
        /// The control address of any daemon.
        #[bpaf(argument("ADDRESS"))]
        daemon: SocketAddr,
        /// The name of the VM or endpoint.
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

#[derive(Bpaf, Clone, Debug)]
pub(crate) enum ConfigCommand {
    /// Prints the configuration in force.
    #[bpaf(command)]
    Get {
        /// The control address of any daemon.
        #[bpaf(argument("ADDRESS"))]
        daemon: SocketAddr,
    },
    /// Submits a JSON merge patch.
    #[bpaf(command)]
    Patch {
        /// The control address of any daemon.
        #[bpaf(argument("ADDRESS"))]
        daemon: SocketAddr,
        /// The configuration version that the patch was written against.
        #[bpaf(argument("N"))]
        against: u64,
        /// The patch's id; the same id gives the first answer again.
        #[bpaf(argument("ID"), optional)]
        id: Option<String>,
        /// The patch, as JSON.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Prints each new configuration number as it comes into force.
    #[bpaf(command)]
    Watch {
        /// The control address of any daemon.
        #[bpaf(argument("ADDRESS"))]
        daemon: SocketAddr,
    },
    /// Prints every change.
    #[bpaf(command)]
    History {
        /// The control address of any daemon.
        #[bpaf(argument("ADDRESS"))]
        daemon: SocketAddr,
    },
}
