use std::{
    collections::BTreeMap,
    path::PathBuf,
    time::{Duration, Instant},
};

use chicoryreach::{
    daemon::HttpClient,
    wire::{operators::Status, peers::MemberRecord, platform::ListedVm},
};
use futures_util::future::join_all;
use serde_json::json;

use super::{
    Measurement,
    observe::{self, Usage},
};
use crate::{
    drive::{apply_config, wait_for_daemons},
    engine::EngineSettings,
    world::{World, WorldSize},
};

/// The interval between reads of a daemon's state. Reads cost the daemons time
/// as well.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const MS_PER_S: f64 = 1_000.0;
const KILLED_ENDPOINT: &str = "sampler-0";
const LEAVING_ENDPOINT: &str = "sampler-1";

/// The settings of the measurement.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The directory to which settings are written and from which process ids
    /// are read.
    pub dir: PathBuf,
    /// The number of daemons that the script starts.
    pub daemons: usize,
    /// The number of data centres over which everything is spread.
    pub data_centres: usize,
    /// The settling time before the measurement window, in milliseconds.
    pub settle_ms: u64,
    /// The length of the measurement window, in milliseconds.
    pub window_ms: u64,
    /// The time limit for the daemons to start and for an event to become known,
    /// in milliseconds.
    pub timeout_ms: u64,
}

/// Starts the stand-ins around the daemons, waits for the daemons, and measures.
///
/// # Errors
///
/// Returns a message if a stand-in or daemon does not start, or if files,
/// metrics or process statistics cannot be read.
pub async fn measure(settings: ControlSettings) -> Result<Measurement, String> {
    // The ratio of 2,600 samplers to 360 daemons.
    let engines = settings.daemons * 2_600 / 360;
    let size = WorldSize {
        daemons: settings.daemons,
        engines,
        services: 1,
        data_centres: settings.data_centres,
    };
    let world = World::try_start(size, EngineSettings::default())
        .await
        .map_err(|error| format!("cannot start the stand-ins: {error}"))?;
    set_listed_vms(&world, settings.daemons, engines, None);
    world.write_files(size, &settings.dir).map_err(|error| {
        format!(
            "cannot write the files to {}: {error}",
            settings.dir.display()
        )
    })?;
    let deadline = Instant::now() + Duration::from_millis(settings.timeout_ms);
    let daemons = wait_for_daemons(world.platform.address, settings.daemons, deadline).await?;
    let pids = daemons
        .iter()
        .map(|daemon| observe::read_pid(&settings.dir, &daemon.vm))
        .collect::<Result<Vec<_>, _>>()?;
    let mut bench = Bench {
        http: HttpClient::new(),
        settings,
        world,
        daemons,
        pids,
        figures: BTreeMap::new(),
    };
    bench.run(engines).await
}

/// Sets the platform's list to the VMs of all daemons and samplers, of which
/// `leaving` is marked as leaving.
fn set_listed_vms(world: &World, daemons: usize, engines: usize, leaving: Option<&str>) {
    let names = (0..daemons).map(|number| format!("vm-{number}"));
    let names = names.chain((0..engines).map(|number| format!("sampler-{number}")));
    let vms = names.map(|name| ListedVm {
        leaving: leaving == Some(&*name),
        vm: name.into(),
    });
    world.platform.set_vms(vms.collect());
}

/// A measurement in progress.
struct Bench {
    http: HttpClient,
    settings: ControlSettings,
    world: World,
    daemons: Vec<MemberRecord>,
    pids: Vec<u32>,
    figures: BTreeMap<String, f64>,
}

impl Bench {
    async fn run(&mut self, engines: usize) -> Result<Measurement, String> {
        let deadline = Instant::now() + Duration::from_millis(self.settings.timeout_ms);
        apply_config(&self.daemons, self.world.config(), deadline).await?;
        tokio::time::sleep(Duration::from_millis(self.settings.settle_ms)).await;
        let load_average = observe::load_average();
        let window_ms = self.measure_window().await?;
        self.measure_config_change().await?;
        self.measure_failures(engines).await?;
        Ok(Measurement {
            daemons: self.daemons.len(),
            endpoints: engines,
            window_ms,
            load_average,
            figures: std::mem::take(&mut self.figures),
        })
    }

    async fn read_usages(&self) -> Result<Vec<Usage>, String> {
        let reads = self.daemons.iter().zip(&self.pids);
        let reads = reads.map(|(daemon, pid)| observe::read_usage(daemon.control_address, *pid));
        join_all(reads).await.into_iter().collect()
    }

    /// Records the means over a window without events, and returns its length in
    /// milliseconds.
    async fn measure_window(&mut self) -> Result<u64, String> {
        let started = Instant::now();
        let before = self.read_usages().await?;
        tokio::time::sleep(Duration::from_millis(self.settings.window_ms)).await;
        let after = self.read_usages().await?;
        let seconds = started.elapsed().as_secs_f64();
        let pairs = || before.iter().zip(&after);
        let cpu_percent = pairs().map(|(from, to)| (to.cpu_ms - from.cpu_ms) / seconds / 10.0);
        self.record_values("cpu_percent", cpu_percent.collect());
        self.record_values("peak_mb", after.iter().map(|usage| usage.peak_mb).collect());
        let names: Vec<String> = after[0].counters.keys().cloned().collect();
        for name in names {
            let figure = match name.as_str() {
                "control_bytes_total" => "bytes_per_s".to_owned(),
                "control_messages_total" => "messages_per_s".to_owned(),
                "platform_reads_total" => "platform_reads_per_s".to_owned(),
                "platform_writes_total" => "platform_writes_per_s".to_owned(),
                role_counter if role_counter.starts_with("control_role_bytes_total{") => {
                    let role = role_counter.split('"').nth(1).unwrap_or_default();
                    format!("bytes_per_s/{role}")
                }
                _ => continue,
            };
            let rates = pairs().map(|(from, to)| {
                let from = from.counters.get(&name).copied().unwrap_or_default();
                let to = to.counters.get(&name).copied().unwrap_or_default();
                (to - from) / seconds
            });
            self.record_values(&figure, rates.collect());
        }
        Ok(u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Records the mean and the largest of the values of all daemons.
    fn record_values(&mut self, name: &str, values: Vec<f64>) {
        let count = f64::from(u32::try_from(values.len()).unwrap_or(1));
        let mean = values.iter().sum::<f64>() / count;
        let max = values.into_iter().fold(0.0, f64::max);
        self.figures.insert(name.to_owned(), mean);
        self.figures.insert(format!("{name}_max"), max);
    }

    /// Measures the time until a configuration change is in force on all daemons.
    async fn measure_config_change(&mut self) -> Result<(), String> {
        let control_address = self.daemons[0].control_address;
        let number = observe::fetch_config_number(control_address).await;
        let patch = json!({"id": "bench", "against": number, "merge": {"trainers": {"bench": {"service": "demand-lm"}}}});
        let started = Instant::now();
        observe::submit_patch(&self.http, control_address, &patch).await?;
        let expected_number = number + 1;
        let waits = self.daemons.iter().map(|daemon| async {
            self.ms_until_known(started, async || {
                observe::fetch_config_number(daemon.control_address).await >= expected_number
            })
            .await
        });
        let known_ms = join_all(waits).await.into_iter().fold(0.0, f64::max);
        self.record_time("config_in_force_ms", known_ms);
        Ok(())
    }

    /// Kills a daemon and an endpoint and lists another endpoint as leaving, and
    /// measures the time until every other daemon knows.
    async fn measure_failures(&mut self, engines: usize) -> Result<(), String> {
        let victim = self.daemons.len() - 1;
        drop(self.world.engines.remove(0));
        let victim_vm = self.daemons[victim].vm.to_string();
        let started = Instant::now();
        set_listed_vms(
            &self.world,
            self.daemons.len(),
            engines,
            Some(LEAVING_ENDPOINT),
        );
        observe::kill_daemon(self.pids[victim])?;
        let this = &*self;
        let others = &this.daemons[..victim];
        let waits = others.iter().map(|daemon| {
            let control_address = daemon.control_address;
            let victim_vm = &victim_vm;
            async move {
                this.wait_for_failures(started, control_address, victim_vm)
                    .await
            }
        });
        let known_ms = join_all(waits).await;
        let max = |index: usize| {
            known_ms
                .iter()
                .map(|times_ms| times_ms[index])
                .fold(0.0, f64::max)
        };
        let times = [
            ("leaving_endpoint_known_ms", max(0)),
            ("killed_endpoint_known_ms", max(1)),
            ("killed_daemon_known_ms", max(2)),
        ];
        for (name, known_ms) in times {
            self.record_time(name, known_ms);
        }
        Ok(())
    }

    /// Records a time, unless it is infinite because the event did not become
    /// known within the time limit.
    fn record_time(&mut self, name: &str, known_ms: f64) {
        if known_ms.is_finite() {
            self.figures.insert(name.to_owned(), known_ms);
        }
    }

    /// Returns the times in milliseconds until a daemon knows of the leaving
    /// endpoint, of the killed endpoint and of the killed daemon.
    ///
    /// A time is infinite if the daemon does not know within the time limit.
    async fn wait_for_failures(
        &self,
        started: Instant,
        control_address: std::net::SocketAddr,
        victim: &str,
    ) -> [f64; 3] {
        let mut known_ms = [f64::INFINITY; 3];
        let are_all_known = |known_ms: &[f64; 3]| known_ms.iter().all(|ms| ms.is_finite());
        let timeout = Duration::from_millis(self.settings.timeout_ms);
        while !are_all_known(&known_ms) && started.elapsed() < timeout {
            if let Some(status) = observe::fetch_status(&self.http, control_address).await {
                let now_ms = started.elapsed().as_secs_f64() * MS_PER_S;
                let mut vms = status.vms.iter().filter(|vm| &*vm.vm == victim);
                let is_known = [
                    has_no_endpoint_in(&status, LEAVING_ENDPOINT, &["serving", "down"]),
                    has_no_endpoint_in(&status, KILLED_ENDPOINT, &["serving"]),
                    !vms.any(|vm| matches!(&*vm.state, "alive" | "suspect")),
                ];
                for (known_ms, _) in known_ms
                    .iter_mut()
                    .zip(is_known)
                    .filter(|(_, is_known)| *is_known)
                {
                    *known_ms = now_ms.min(*known_ms);
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        known_ms
    }

    /// Returns the time in milliseconds until `is_known`, or infinity after the
    /// time limit.
    async fn ms_until_known<F>(&self, started: Instant, mut is_known: F) -> f64
    where
        F: AsyncFnMut() -> bool,
    {
        let timeout = Duration::from_millis(self.settings.timeout_ms);
        while started.elapsed() < timeout {
            if is_known().await {
                return started.elapsed().as_secs_f64() * MS_PER_S;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        f64::INFINITY
    }
}

/// Returns whether the endpoint is in none of the excluded states.
fn has_no_endpoint_in(status: &Status, name: &str, excluded: &[&str]) -> bool {
    let mut endpoints = status.endpoints.iter();
    !endpoints.any(|endpoint| &*endpoint.endpoint == name && excluded.contains(&&*endpoint.state))
}
