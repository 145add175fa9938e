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
    Measured,
    observe::{self, Usage},
};
use crate::{
    drive::{apply_config, wait_for_daemons},
    engine::EngineSettings,
    world::{World, WorldSize},
};

const LOOK: Duration = Duration::from_millis(200);
const MS_PER_S: f64 = 1_000.0;
const KILLED_ENDPOINT: &str = "sampler-0";
const LEAVING_ENDPOINT: &str = "sampler-1";

/// What to measure.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Where settings are written, and process ids are read.
    pub dir: PathBuf,
    /// How many daemons the script starts.
    pub daemons: usize,
    /// Over how many data centres all is spread.
    pub data_centres: usize,
    /// How long the daemons may settle before the window, in milliseconds.
    pub settle_ms: u64,
    /// Over how long the means are taken, in milliseconds.
    pub window_ms: u64,
    /// The time after which an event counts as not known, in milliseconds.
    pub patience_ms: u64,
}

/// Starts what stands around the daemons, waits for them, and measures.
///
/// # Errors
///
/// A sentence if something does not start or cannot be read.
pub async fn measure(settings: ControlSettings) -> Result<Measured, String> {
    // As 2,600 samplers stand to 360 daemons.
    let engines = settings.daemons * 2_600 / 360;
    let size = WorldSize {
        daemons: settings.daemons,
        engines,
        services: 1,
        data_centres: settings.data_centres,
    };
    let world = World::try_start(size, EngineSettings::default())
        .await
        .map_err(|error| error.to_string())?;
    list(&world, settings.daemons, engines, None);
    world
        .write_files(size, &settings.dir)
        .map_err(|error| error.to_string())?;
    let deadline = Instant::now() + Duration::from_millis(settings.patience_ms);
    let daemons = wait_for_daemons(world.platform.address, settings.daemons, deadline).await?;
    let pids = daemons
        .iter()
        .map(|daemon| observe::pid(&settings.dir, &daemon.vm))
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

/// Sets the platform's list: every VM, and one sampler's that may leave.
fn list(world: &World, daemons: usize, engines: usize, leaving: Option<&str>) {
    let names = (0..daemons).map(|number| format!("vm-{number}"));
    let names = names.chain((0..engines).map(|number| format!("sampler-{number}")));
    let vms = names.map(|name| ListedVm {
        leaving: leaving == Some(&*name),
        vm: name.into(),
    });
    world.platform.set_vms(vms.collect());
}

struct Bench {
    http: HttpClient,
    settings: ControlSettings,
    world: World,
    daemons: Vec<MemberRecord>,
    pids: Vec<u32>,
    figures: BTreeMap<String, f64>,
}

impl Bench {
    async fn run(&mut self, engines: usize) -> Result<Measured, String> {
        let deadline = Instant::now() + Duration::from_millis(self.settings.patience_ms);
        apply_config(&self.daemons, self.world.config(), deadline).await?;
        tokio::time::sleep(Duration::from_millis(self.settings.settle_ms)).await;
        let load_average = observe::load_average();
        let window_ms = self.window().await?;
        self.config_change().await?;
        self.failures(engines).await?;
        Ok(Measured {
            daemons: self.daemons.len(),
            endpoints: engines,
            window_ms,
            load_average,
            figures: std::mem::take(&mut self.figures),
        })
    }

    async fn usages(&self) -> Result<Vec<Usage>, String> {
        let reads = self.daemons.iter().zip(&self.pids);
        let reads = reads.map(|(daemon, pid)| observe::usage(daemon.control_address, *pid));
        join_all(reads).await.into_iter().collect()
    }

    /// Takes the means over a quiet window.
    async fn window(&mut self) -> Result<u64, String> {
        let started = Instant::now();
        let before = self.usages().await?;
        tokio::time::sleep(Duration::from_millis(self.settings.window_ms)).await;
        let after = self.usages().await?;
        let seconds = started.elapsed().as_secs_f64();
        let pairs = || before.iter().zip(&after);
        let cpu = pairs().map(|(from, to)| (to.cpu_ms - from.cpu_ms) / seconds / 10.0);
        self.note("cpu_percent", cpu.collect());
        self.note("peak_mb", after.iter().map(|usage| usage.peak_mb).collect());
        let names: Vec<String> = after[0].counters.keys().cloned().collect();
        for name in names {
            let figure = match name.as_str() {
                "control_bytes_total" => "bytes_per_s".to_owned(),
                "control_messages_total" => "messages_per_s".to_owned(),
                "platform_reads_total" => "platform_reads_per_s".to_owned(),
                "platform_writes_total" => "platform_writes_per_s".to_owned(),
                labelled if labelled.starts_with("control_role_bytes_total{") => {
                    let role = labelled.split('"').nth(1).unwrap_or_default();
                    format!("bytes_per_s/{role}")
                }
                _ => continue,
            };
            let rates = pairs().map(|(from, to)| {
                let from = from.counters.get(&name).copied().unwrap_or_default();
                let to = to.counters.get(&name).copied().unwrap_or_default();
                (to - from) / seconds
            });
            self.note(&figure, rates.collect());
        }
        Ok(u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    fn note(&mut self, name: &str, values: Vec<f64>) {
        let count = f64::from(u32::try_from(values.len()).unwrap_or(1));
        let mean = values.iter().sum::<f64>() / count;
        let most = values.into_iter().fold(0.0, f64::max);
        self.figures.insert(name.to_owned(), mean);
        self.figures.insert(format!("{name}_max"), most);
    }

    /// Times a configuration change until it is in force everywhere.
    async fn config_change(&mut self) -> Result<(), String> {
        let control = self.daemons[0].control_address;
        let number = observe::config_number(control).await;
        let patch = json!({"id": "bench", "against": number, "merge": {"trainers": {"bench": {"service": "demand-lm"}}}});
        let started = Instant::now();
        observe::submit(&self.http, control, &patch).await?;
        let wanted = number + 1;
        let waits = self.daemons.iter().map(|daemon| async {
            self.until(started, async || {
                observe::config_number(daemon.control_address).await >= wanted
            })
            .await
        });
        let known_ms = join_all(waits).await.into_iter().fold(0.0, f64::max);
        self.note_time("config_in_force_ms", known_ms);
        Ok(())
    }

    /// Kills a daemon and an endpoint and lists another endpoint as leaving,
    /// and times how long until every other daemon knows.
    async fn failures(&mut self, engines: usize) -> Result<(), String> {
        let victim = self.daemons.len() - 1;
        drop(self.world.engines.remove(0));
        let victim_vm = self.daemons[victim].vm.to_string();
        let started = Instant::now();
        list(
            &self.world,
            self.daemons.len(),
            engines,
            Some(LEAVING_ENDPOINT),
        );
        observe::kill(self.pids[victim])?;
        let this = &*self;
        let others = &this.daemons[..victim];
        let waits = others.iter().map(|daemon| {
            let control = daemon.control_address;
            let victim_vm = &victim_vm;
            async move { this.watch_failures(started, control, victim_vm).await }
        });
        let known = join_all(waits).await;
        let most = |index: usize| known.iter().map(|known| known[index]).fold(0.0, f64::max);
        let times = [
            ("leaving_endpoint_known_ms", most(0)),
            ("killed_endpoint_known_ms", most(1)),
            ("killed_daemon_known_ms", most(2)),
        ];
        for (name, known_ms) in times {
            self.note_time(name, known_ms);
        }
        Ok(())
    }

    /// Notes a time; what was not seen in time has none.
    fn note_time(&mut self, name: &str, known_ms: f64) {
        if known_ms.is_finite() {
            self.figures.insert(name.to_owned(), known_ms);
        }
    }

    /// Returns when a daemon knew of the leaving endpoint, of the killed one
    /// and of the killed daemon, in milliseconds; infinity where it never did.
    async fn watch_failures(
        &self,
        started: Instant,
        control: std::net::SocketAddr,
        victim: &str,
    ) -> [f64; 3] {
        let mut known_ms = [f64::INFINITY; 3];
        let is_over = |known_ms: &[f64; 3]| known_ms.iter().all(|ms| ms.is_finite());
        let patience = Duration::from_millis(self.settings.patience_ms);
        while !is_over(&known_ms) && started.elapsed() < patience {
            if let Some(status) = observe::status(&self.http, control).await {
                let now_ms = started.elapsed().as_secs_f64() * MS_PER_S;
                let mut vms = status.vms.iter().filter(|vm| &*vm.vm == victim);
                let is_known = [
                    has_no(&status, LEAVING_ENDPOINT, &["serving", "down"]),
                    has_no(&status, KILLED_ENDPOINT, &["serving"]),
                    !vms.any(|vm| matches!(&*vm.state, "alive" | "suspect")),
                ];
                for (known_ms, _) in known_ms.iter_mut().zip(is_known).filter(|(_, is)| *is) {
                    *known_ms = now_ms.min(*known_ms);
                }
            }
            // Looking costs the daemons time as well.
            tokio::time::sleep(LOOK).await;
        }
        known_ms
    }

    /// Returns after how many milliseconds `is_known`, or infinity if it never is.
    async fn until<F>(&self, started: Instant, mut is_known: F) -> f64
    where
        F: AsyncFnMut() -> bool,
    {
        let patience = Duration::from_millis(self.settings.patience_ms);
        while started.elapsed() < patience {
            if is_known().await {
                return started.elapsed().as_secs_f64() * MS_PER_S;
            }
            // Looking costs the daemons time as well.
            tokio::time::sleep(LOOK).await;
        }
        f64::INFINITY
    }
}

fn has_no(status: &Status, endpoint: &str, wanted: &[&str]) -> bool {
    let mut endpoints = status.endpoints.iter();
    !endpoints.any(|seen| &*seen.endpoint == endpoint && wanted.contains(&&*seen.state))
}
