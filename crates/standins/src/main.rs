//! The stand-ins' command line: see `standins --help`.

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

/// Stand-ins for what chicoryreach talks to, and the load that drives it.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// Runs the platform, engines and a plain service, and writes settings.
    #[bpaf(command)]
    World {
        /// Where settings and addresses are written.
        #[bpaf(argument("DIR"))]
        dir: PathBuf,
        /// How many daemons get a settings file.
        #[bpaf(argument("N"), fallback(3))]
        daemons: usize,
        /// How many engines run.
        #[bpaf(argument("N"), fallback(4))]
        engines: usize,
        /// How many endpoints the plain service has.
        #[bpaf(argument("N"), fallback(2))]
        services: usize,
        /// Over how many data centres all is spread.
        #[bpaf(argument("N"), fallback(2))]
        data_centres: usize,
        /// After how many seconds the world ends by itself.
        #[bpaf(argument("SECONDS"), fallback(600))]
        seconds: u64,
    },
    /// Measures the path against going straight to the endpoint.
    #[bpaf(command)]
    BenchPath {
        /// The directory of a world.
        #[bpaf(argument("DIR"))]
        dir: PathBuf,
        /// How many daemons to wait for.
        #[bpaf(argument("N"), fallback(3))]
        daemons: usize,
        /// What the run is called in the output.
        #[bpaf(argument("TEXT"), fallback("path".to_owned()))]
        label: String,
    },
    /// Measures what agreement costs, and prints a line of JSON for each size.
    #[bpaf(command("bench-agreement"))]
    BenchAgreement,
    /// Prints the table of stories for docs/PROOFS.md.
    #[bpaf(command)]
    Proofs,
    /// Switches faults of the platform on for a while.
    #[bpaf(command)]
    Fault {
        /// The directory of a world.
        #[bpaf(argument("DIR"))]
        dir: PathBuf,
        /// Every request is refused.
        down: bool,
        /// How long every request waits first, in milliseconds.
        #[bpaf(argument("MS"), fallback(0))]
        delay_ms: u64,
        /// How many answers of writes are lost after the write took effect.
        #[bpaf(argument("N"), fallback(0))]
        lose_answers: u32,
        /// For how long, in milliseconds.
        #[bpaf(argument("MS"), fallback(5_000))]
        for_ms: u64,
    },
    /// Drives callers and a trainer, and judges what they saw.
    #[bpaf(command)]
    Drive {
        /// The directory of a world.
        #[bpaf(argument("DIR"))]
        dir: PathBuf,
        /// How many daemons to wait for.
        #[bpaf(argument("N"), fallback(3))]
        daemons: usize,
        /// How many callers send at the same time.
        #[bpaf(argument("N"), fallback(8))]
        callers: u64,
        /// How many requests each caller sends.
        #[bpaf(argument("N"), fallback(50))]
        requests: u64,
        /// How many steps the trainer trains.
        #[bpaf(argument("N"), fallback(3))]
        steps: u64,
        /// Samples in a group.
        #[bpaf(argument("N"), fallback(8))]
        samples: u32,
        /// After how many seconds all is given up.
        #[bpaf(argument("SECONDS"), fallback(60))]
        seconds: u64,
    },
    /// Measures one trainer's ledger over one step; prints one line of JSON.
    #[bpaf(command("bench-ledger"))]
    BenchLedger {
        /// Groups of the step.
        #[bpaf(argument("N"), fallback(1_024))]
        groups: u32,
        /// Samples in a group.
        #[bpaf(argument("N"), fallback(8))]
        samples_per_group: u32,
        /// Tokens in a sample.
        #[bpaf(argument("N"), fallback(1_500))]
        tokens: u32,
        /// Samples that come in between two commits.
        #[bpaf(argument("N"), fallback(15))]
        samples_per_commit: u32,
        /// Uses the platform stand-in over loopback.
        loopback: bool,
    },
    /// Measures the control work of daemons that a script starts; prints one
    /// line of JSON.
    #[bpaf(command("bench-control"))]
    BenchControl {
        /// Where settings are written, and process ids are read.
        #[bpaf(argument("DIR"))]
        dir: PathBuf,
        /// How many daemons the script starts.
        #[bpaf(argument("N"))]
        daemons: usize,
        /// Over how many data centres all is spread.
        #[bpaf(argument("N"), fallback(3))]
        data_centres: usize,
        /// How long the daemons may settle, in milliseconds.
        #[bpaf(argument("MS"), fallback(8_000))]
        settle_ms: u64,
        /// Over how long the means are taken, in milliseconds.
        #[bpaf(argument("MS"), fallback(12_000))]
        window_ms: u64,
        /// After how long an event counts as not known, in milliseconds.
        #[bpaf(argument("MS"), fallback(20_000))]
        patience_ms: u64,
    },
    /// Writes the table and the plot of what was measured.
    #[bpaf(command("bench-control-report"))]
    BenchControlReport {
        /// The measurements, one JSON line each.
        #[bpaf(argument("FILE"))]
        lines: PathBuf,
        /// Where the table is written.
        #[bpaf(argument("FILE"))]
        table: PathBuf,
        /// Where the plot is written.
        #[bpaf(argument("FILE"))]
        plot: PathBuf,
    },
    /// Compares the decisions with plain baselines, in virtual time.
    #[bpaf(command("bench-policy"))]
    BenchPolicy {
        /// Only this workload: barek, rionegro or tenth.
        #[bpaf(argument("NAME"))]
        workload: Option<WorkloadName>,
        /// Only this fault.
        #[bpaf(argument("NAME"))]
        fault: Option<Fault>,
        /// Only this policy.
        #[bpaf(argument("NAME"))]
        policy: Option<String>,
        /// The first seed.
        #[bpaf(argument("N"), fallback(100))]
        first_seed: u64,
        /// How many seeds.
        #[bpaf(argument("N"), fallback(10))]
        seeds: u64,
        /// How many runs go on at the same time.
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
        Err(error) => Err(error.to_string()),
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
        Command::BenchAgreement => bench_agreement::print(),
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
            fault::inject_for(platform(&dir)?, faults, for_ms).await
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
                platform: platform(&dir)?,
                daemons,
                config: serde_json::from_str(&read(&dir, "config.json")?)
                    .map_err(|error| error.to_string())?,
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
    let world = world.map_err(|error| error.to_string())?;
    world
        .write_files(size, dir)
        .map_err(|error| error.to_string())?;
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
    let prepared = drive::prepare_daemons(&settings).await?;
    // Tells the demo's script that a fault may be played now.
    fs::write(dir.join("driving"), "").map_err(|error| error.to_string())?;
    report(&drive::drive(&settings, &prepared).await?)
}

fn platform(dir: &Path) -> Result<SocketAddr, String> {
    read(dir, "platform")?
        .parse()
        .map_err(|error| format!("platform: {error}"))
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
            let measured = bench_control::measure(ControlSettings {
                dir,
                daemons,
                data_centres,
                settle_ms,
                window_ms,
                patience_ms,
            });
            print_json(&measured.await?)
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

fn read(dir: &Path, name: &str) -> Result<String, String> {
    fs::read_to_string(dir.join(name)).map_err(|error| format!("{name}: {error}"))
}

fn report(driven: &DriveReport) -> Result<(), String> {
    print!("{}", driven.verdict);
    for (name, histogram) in [
        ("completions", &driven.completions_us),
        ("plain calls", &driven.calls_us),
    ] {
        let (p50, p99) = (
            histogram.value_at_quantile(0.5),
            histogram.value_at_quantile(0.99),
        );
        println!("{name:<12} p50, p99 {p50}, {p99} us");
    }
    println!("trainer idle         {:.1}%", driven.idle_percent);
    if driven.verdict.broken_promises.is_empty() {
        println!("every promise was kept");
        Ok(())
    } else {
        Err(format!(
            "{} promises were broken",
            driven.verdict.broken_promises.len()
        ))
    }
}
