use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;
use strum::{Display, EnumString};

/// The format of log lines.
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
        /// The settings file, in JSON.
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// The format of log lines: json or text.
        #[bpaf(argument("FORMAT"), fallback(LogFormat::Json), display_fallback)]
        log_format: LogFormat,
        /// The log level or filter, for instance info or debug.
        #[bpaf(argument("LEVEL"), fallback("info".to_owned()), display_fallback)]
        log_level: String,
    },
    /// Runs one VM on a platform that stores the durable state.
    #[bpaf(command)]
    Serve {
        /// The settings file, in JSON.
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// The log level or filter, for instance info or debug.
        #[bpaf(argument("LEVEL"), fallback("info".to_owned()), display_fallback)]
        log_level: String,
    },
    /// Checks a settings file and prints every error.
    #[bpaf(command)]
    Check {
        /// Checks the settings of `serve` instead of those of `daemon`.
        vm: bool,
        /// The settings file, in JSON.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Prints the log lines about a request, a sample, a batch or an endpoint.
    #[bpaf(command)]
    Explain {
        /// The id of the request, sample, batch or endpoint.
        #[bpaf(positional("ID"))]
        id: String,
        /// The log files of any number of VMs, as JSON lines.
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Reads and changes the versioned configuration.
    #[bpaf(command)]
    Config {
        #[bpaf(external(config_command))]
        command: ConfigCommand,
    },
    /// Prints the state of the VMs, endpoints and leases that a daemon knows.
    #[bpaf(command)]
    Status {
        /// The control address of any daemon.
        #[bpaf(argument("ADDRESS"))]
        daemon: SocketAddr,
        /// Prints JSON instead of tables.
        json: bool,
    },
    /// Lists and frees contents that are held because they crash endpoints (`serve`).
    #[bpaf(command)]
    Held {
        #[bpaf(external(held_command))]
        command: HeldCommand,
    },
    /// Takes a VM or an endpoint out of use gracefully.
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
        /// The patch's id; submitting the same id again gives the first response.
        #[bpaf(argument("ID"), optional)]
        id: Option<String>,
        /// The patch file, in JSON.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Prints the number of each new configuration version when it comes into force.
    #[bpaf(command)]
    Watch {
        /// The control address of any daemon.
        #[bpaf(argument("ADDRESS"))]
        daemon: SocketAddr,
    },
    /// Prints every change of the configuration.
    #[bpaf(command)]
    History {
        /// The control address of any daemon.
        #[bpaf(argument("ADDRESS"))]
        daemon: SocketAddr,
    },
}

#[derive(Bpaf, Clone, Debug)]
pub(crate) enum HeldCommand {
    /// Prints the held contents that a VM knows.
    #[bpaf(command)]
    List {
        /// The peer address of any VM.
        #[bpaf(argument("ADDRESS"))]
        vm: SocketAddr,
    },
    /// Frees a content at all VMs; later crashes count anew.
    #[bpaf(command)]
    Free {
        /// The peer address of any VM.
        #[bpaf(argument("ADDRESS"))]
        vm: SocketAddr,
        /// The fingerprint of the content.
        #[bpaf(positional("CONTENT"))]
        content: String,
    },
}
