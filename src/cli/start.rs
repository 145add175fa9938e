use std::{fs, path::Path, process::ExitCode};

use tracing_subscriber::EnvFilter;

use super::{
    args::{Command, LogFormat, command},
    explain::explain,
    operate,
};
use crate::{
    daemon, server,
    settings::{SettingsFault, parse_settings, parse_vm_settings},
};

const EXIT_CODE_INVALID: u8 = 2;

/// Parses the command line and runs the command.
///
/// Exits with 0 on success, with 1 if the command failed, and with 2 if the
/// settings or the log filter are not valid.
#[must_use]
pub fn main() -> ExitCode {
    match command().run() {
        Command::Daemon {
            settings,
            log_format,
            log_level,
        } => start_daemon(&settings, log_format, &log_level),
        Command::Serve {
            settings,
            log_level,
        } => serve(&settings, &log_level),
        Command::Check { vm, file } => {
            let result = if vm {
                read_settings(&file, parse_vm_settings).map(|_| ())
            } else {
                read_settings(&file, parse_settings).map(|_| ())
            };
            match result {
                Ok(()) => {
                    println!("{}: valid", file.display());
                    ExitCode::SUCCESS
                }
                Err(code) => code,
            }
        }
        Command::Explain { id, files } => match explain(&id, &files) {
            Ok(()) => ExitCode::SUCCESS,
            Err(message) => {
                eprintln!("{message}");
                ExitCode::FAILURE
            }
        },
        Command::Config { command } => with_runtime(operate::config(command)),
        Command::Status { daemon, json } => with_runtime(operate::status(daemon, json)),
        Command::Held { command } => with_runtime(operate::held(command)),
        Command::Drain { daemon, name } => with_runtime(operate::drain(daemon, name.into())),
    }
}

/// Reads and parses a settings file, and prints every error to stderr.
fn read_settings<T, P>(path: &Path, parse: P) -> Result<T, ExitCode>
where
    P: Fn(&str) -> Result<T, Vec<SettingsFault>>,
{
    let text = fs::read_to_string(path).map_err(|error| {
        eprintln!("{}: {error}", path.display());
        ExitCode::from(EXIT_CODE_INVALID)
    })?;
    parse(&text).map_err(|faults| {
        for fault in faults {
            eprintln!("{}: {fault}", path.display());
        }
        ExitCode::from(EXIT_CODE_INVALID)
    })
}

fn start_daemon(path: &Path, format: LogFormat, level: &str) -> ExitCode {
    let settings = match read_settings(path, parse_settings) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let filter = match EnvFilter::builder().parse(level) {
        Ok(filter) => filter,
        Err(error) => {
            eprintln!("--log-level: {error}");
            return ExitCode::from(EXIT_CODE_INVALID);
        }
    };
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    match format {
        LogFormat::Json => subscriber.json().init(),
        LogFormat::Text => subscriber.init(),
    }
    with_runtime(async {
        daemon::run(settings)
            .await
            .map_err(|error| error.to_string())
    })
}

/// How many log lines are buffered for writing. Further lines are dropped and
/// counted.
const MAX_BUFFERED_LOG_LINES: usize = 4_096;

fn serve(path: &Path, level: &str) -> ExitCode {
    let settings = match read_settings(path, parse_vm_settings) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let reload_settings = || {
        let text =
            fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
        let join_faults = |faults: Vec<SettingsFault>| {
            let faults: Vec<String> = faults.iter().map(SettingsFault::to_string).collect();
            faults.join("; ")
        };
        parse_vm_settings(&text).map_err(join_faults)
    };
    let filter = match EnvFilter::builder().parse(level) {
        Ok(filter) => filter,
        Err(error) => {
            eprintln!("--log-level: {error}");
            return ExitCode::from(EXIT_CODE_INVALID);
        }
    };
    // A slow reader of the log must not block the service: lines that exceed the
    // buffer are dropped.
    let (writer, _guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LOG_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let error_counter = writer.error_counter();
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(writer)
        .init();
    // A VM has less than one core, so one thread is enough.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = runtime
        .map_err(|error| error.to_string())
        .and_then(|runtime| {
            let result = runtime.block_on(server::run(settings, reload_settings, move || {
                error_counter.dropped_lines()
            }));
            result.map_err(|error| error.to_string())
        });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn with_runtime<F>(future: F) -> ExitCode
where
    F: Future<Output = Result<(), String>>,
{
    // Daemons run on small VMs, and each worker thread takes memory.
    const WORKER_THREADS: usize = 2;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    let result = runtime
        .map_err(|error| error.to_string())
        .and_then(|runtime| {
            let result = runtime.block_on(future);
            runtime.shutdown_background();
            result
        });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}
