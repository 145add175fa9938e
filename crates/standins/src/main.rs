//! The command line of the stand-ins. See `standins --help`.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use bpaf::Bpaf;
use standins::{
    bench_agreement,
    bench_control::{self, ControlSettings},
    bench_ledger::{self, BenchSettings},
    bench_path::{PathSettings, bench_path},
    bench_policy::{self, Fault, Selection, WorkloadName},
    drive::{self, DriveReport, DriveSettings},
    engine::EngineSettings,
    fault,
    platform::Faults,
    proofs,
    world::{World, WorldSize},
};

/// Stand-ins for the systems around chicoryreach, load generators and benchmarks.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// Runs the platform, engines and a plain service, and writes settings files.
    #[bpaf(command)]
    World {
        /// The directory to which settings and addresses are written.
        #[bpaf(argument("DIR"))]
        dir: PathBuf,
        /// The number of daemons for which a settings file is written.
        #[bpaf(argument("N"), fallback(3))]
        daemons: usize,
        /// The number of engines.
        #[bpaf(argument("N"), fallback(4))]
        engines: usize,
        /// The number of endpoints of the plain service.
        #[bpaf(argument("N"), fallback(2))]
        services: usize,
        /// The number of data centres over which everything is spread.
        #[bpaf(argument("N"), fallback(2))]
        data_centres: usize,
        /// The time after which the world exits, in seconds.
        #[bpaf(argument("SECONDS"), fallback(600))]
        seconds: u64,
    },
    /// Compares requests through the daemons with requests straight to the endpoint.
    #[bpaf(command)]
    BenchPath {
        /// The directory to which `world` wrote its files.
        #[bpaf(argument("DIR"))]
        dir: PathBuf,
        /// The number of daemons to wait for.
        #[bpaf(argument("N"), fallback(3))]
        daemons: usize,
        /// The label of the run in the output.
        #[bpaf(argument("TEXT"), fallback("path".to_owned()))]
        label: String,
    },
    /// Measures the cost of agreement and prints one line of JSON for each size.
    #[bpaf(command("bench-agreement"))]
    BenchAgreement,
    /// Prints the table of scenarios for docs/PROOFS.md.
    #[bpaf(command)]
    Proofs,
    /// Injects platform faults for a limited time.
    #[bpaf(command)]
    Fault {
        /// The directory to which `world` wrote its files.
        #[bpaf(argument("DIR"))]
        dir: PathBuf,
        /// Refuses every request.
        down: bool,
        /// The delay before each request is handled, in milliseconds.
        #[bpaf(argument("MS"), fallback(0))]
        delay_ms: u64,
        /// The number of writes that take effect but whose answers are lost.
        #[bpaf(argument("N"), fallback(0))]
        lose_answers: u32,
        /// The time for which the faults last, in milliseconds.
        #[bpaf(argument("MS"), fallback(5_000))]
        for_ms: u64,
    },
    /// Runs callers and a trainer and checks the answers and samples they receive.
    #[bpaf(command)]
    Drive {
        /// The directory to which `world` wrote its files.
        #[bpaf(argument("DIR"))]
        dir: PathBuf,
        /// The number of daemons to wait for.
        #[bpaf(argument("N"), fallback(3))]
        daemons: usize,
        /// The number of concurrent callers.
        #[bpaf(argument("N"), fallback(8))]
        callers: u64,
        /// The number of requests that each caller sends.
        #[bpaf(argument("N"), fallback(50))]
        requests: u64,
        /// The number of steps that the trainer trains.
        #[bpaf(argument("N"), fallback(3))]
        steps: u64,
        /// The number of samples in a group.
        #[bpaf(argument("N"), fallback(8))]
        samples: u32,
        /// The time limit, in seconds.
        #[bpaf(argument("SECONDS"), fallback(60))]
        seconds: u64,
    },
    /// Measures one trainer's ledger over one step and prints one line of JSON.
    #[bpaf(command("bench-ledger"))]
    BenchLedger {
        /// The number of groups in the step.
        #[bpaf(argument("N"), fallback(1_024))]
        groups: u32,
        /// The number of samples in a group.
        #[bpaf(argument("N"), fallback(8))]
        samples_per_group: u32,
        /// The number of tokens in a sample.
        #[bpaf(argument("N"), fallback(1_500))]
        tokens: u32,
        /// The number of samples received between two commits.
        #[bpaf(argument("N"), fallback(15))]
        samples_per_commit: u32,
        /// Uses the platform stand-in over loopback instead of a store in memory.
        loopback: bool,
    },
    /// Measures the control work of daemons that a script starts; prints one line of JSON.
    #[bpaf(command("bench-control"))]
    BenchControl {
        /// The directory for written settings and for the process ids to read.
        #[bpaf(argument("DIR"))]
        dir: PathBuf,
        /// The number of daemons that the script starts.
        #[bpaf(argument("N"))]
        daemons: usize,
        /// The number of data centres over which everything is spread.
        #[bpaf(argument("N"), fallback(3))]
        data_centres: usize,
        /// The settling time before the measurement, in milliseconds.
        #[bpaf(argument("MS"), fallback(8_000))]
        settle_ms: u64,
        /// The length of the measurement window, in milliseconds.
        #[bpaf(argument("MS"), fallback(12_000))]
        window_ms: u64,
        /// The time limit for the daemons to start and for an event to become known, in
        /// milliseconds.
        #[bpaf(argument("MS"), fallback(20_000))]
        patience_ms: u64,
    },
    /// Writes the table and the plot of the measurements.
    #[bpaf(command("bench-control-report"))]
    BenchControlReport {
        /// The file of measurements, one line of JSON each.
        #[bpaf(argument("FILE"))]
        lines: PathBuf,
        /// The file to which the table is written.
        #[bpaf(argument("FILE"))]
        table: PathBuf,
        /// The file to which the plot is written.
        #[bpaf(argument("FILE"))]
        plot: PathBuf,
    },
    /// Compares the scheduling decisions with simple baselines in virtual time.
    #[bpaf(command("bench-policy"))]
    BenchPolicy {
        /// Runs only this workload: barek, rionegro or tenth.
        #[bpaf(argument("NAME"))]
        workload: Option<WorkloadName>,
        /// Runs only this fault.
        #[bpaf(argument("NAME"))]
        fault: Option<Fault>,
        /// Runs only this policy.
        #[bpaf(argument("NAME"))]
        policy: Option<String>,
        /// The first seed.
        #[bpaf(argument("N"), fallback(100))]
        first_seed: u64,
        /// The number of seeds.
        #[bpaf(argument("N"), fallback(10))]
        seeds: u64,
        /// The number of concurrent runs.
        #[bpaf(argument("N"), fallback(4))]
        threads: usize,
        /// The directory to which figures and charts are written.
        #[bpaf(argument("DIR"))]
        out: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let command = command().run();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(command)),
        Err(error) => Err(format!("cannot start the runtime: {error}")),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> Result<(), String> {
    match command {
        Command::World {
            dir,
            daemons,
            engines,
            services,
            data_centres,
            seconds,
        } => {
            let size = WorldSize {
                daemons,
                engines,
                services,
                data_centres,
            };
            run_world(size, &dir, seconds).await
        }
        Command::BenchPath {
            dir,
            daemons,
            label,
        } => bench_path(PathSettings::try_read(&dir, daemons, label)?).await,
        Command::BenchAgreement => bench_agreement::print_costs(),
        Command::Proofs => print_proofs(),
        command @ (Command::BenchControl { .. } | Command::BenchControlReport { .. }) => {
            run_bench_control(command).await
        }
        Command::Fault {
            dir,
            down,
            delay_ms,
            lose_answers,
            for_ms,
        } => {
            let faults = Faults {
                is_down: down,
                delay_ms,
                lose_answers,
                ..Faults::default()
            };
            fault::inject_for(read_platform_address(&dir)?, faults, for_ms).await
        }
        Command::Drive {
            dir,
            daemons,
            callers,
            requests,
            steps,
            samples,
            seconds,
        } => {
            let settings = DriveSettings {
                platform: read_platform_address(&dir)?,
                daemons,
                config: serde_json::from_str(&read_file(&dir, "config.json")?)
                    .map_err(|error| format!("invalid config.json: {error}"))?,
                callers,
                requests,
                steps,
                samples_per_group: samples,
                timeout_ms: seconds * 1_000,
            };
            run_drive(settings, &dir).await
        }
        Command::BenchLedger {
            groups,
            samples_per_group,
            tokens,
            samples_per_commit,
            loopback,
        } => {
            let settings = BenchSettings {
                groups,
                samples_per_group,
                tokens,
                samples_per_commit,
                is_loopback: loopback,
            };
            run_bench_ledger(settings).await
        }
        Command::BenchPolicy {
            workload,
            fault,
            policy,
            first_seed,
            seeds,
            threads,
            out,
        } => bench_policy::run(&Selection {
            workload,
            fault,
            policy,
            first_seed,
            seeds,
            threads,
            out,
        }),
    }
}

fn print_proofs() -> Result<(), String> {
    println!("{}", proofs::scenario_table(Path::new("tests/scenarios"))?);
    Ok(())
}

async fn run_world(size: WorldSize, dir: &Path, seconds: u64) -> Result<(), String> {
    let world = World::try_start(size, EngineSettings::default()).await;
    let world = world.map_err(|error| format!("cannot start the stand-ins: {error}"))?;
    world
        .write_files(size, dir)
        .map_err(|error| format!("cannot write the files to {}: {error}", dir.display()))?;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    Ok(())
}

async fn run_bench_ledger(settings: BenchSettings) -> Result<(), String> {
    let report = bench_ledger::run(settings).await?;
    let line = serde_json::to_string(&report).map_err(|error| error.to_string())?;
    println!("{line}");
    Ok(())
}

async fn run_drive(settings: DriveSettings, dir: &Path) -> Result<(), String> {
    let daemons = drive::prepare_daemons(&settings).await?;
    // Tells the demo's script that it may inject a fault now.
    fs::write(dir.join("driving"), "")
        .map_err(|error| format!("cannot write driving in {}: {error}", dir.display()))?;
    print_report(&drive::drive(&settings, &daemons).await?)
}

fn read_platform_address(dir: &Path) -> Result<SocketAddr, String> {
    read_file(dir, "platform")?
        .parse()
        .map_err(|error| format!("invalid platform address in {}: {error}", dir.display()))
}

async fn run_bench_control(command: Command) -> Result<(), String> {
    match command {
        Command::BenchControl {
            dir,
            daemons,
            data_centres,
            settle_ms,
            window_ms,
            patience_ms,
        } => {
            let measurement = bench_control::measure(ControlSettings {
                dir,
                daemons,
                data_centres,
                settle_ms,
                window_ms,
                timeout_ms: patience_ms,
            });
            print_json(&measurement.await?)
        }
        Command::BenchControlReport { lines, table, plot } => {
            bench_control::report(&lines, &table, &plot)
        }
        _ => Ok(()),
    }
}

fn print_json<T>(value: &T) -> Result<(), String>
where
    T: serde::Serialize,
{
    let line = serde_json::to_string(value).map_err(|error| error.to_string())?;
    println!("{line}");
    Ok(())
}

fn read_file(dir: &Path, name: &str) -> Result<String, String> {
    fs::read_to_string(dir.join(name))
        .map_err(|error| format!("cannot read {name} in {}: {error}", dir.display()))
}

fn print_report(report: &DriveReport) -> Result<(), String> {
    print!("{}", report.verdict);
    for (name, histogram) in [
        ("completions", &report.completions_us),
        ("plain calls", &report.calls_us),
    ] {
        let (p50, p99) = (
            histogram.value_at_quantile(0.5),
            histogram.value_at_quantile(0.99),
        );
        println!("{name:<12} p50, p99 {p50}, {p99} us");
    }
    println!("trainer idle         {:.1}%", report.idle_percent);
    if report.verdict.broken_promises.is_empty() {
        println!("every promise was kept");
        Ok(())
    } else {
        Err(format!(
            "{} promises were broken",
            report.verdict.broken_promises.len()
        ))
    }
}
