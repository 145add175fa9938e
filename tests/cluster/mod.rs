//! Real daemon processes between stand-ins that run in the test's process.

#![allow(dead_code, reason = "each test uses a part")]

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use chicoryreach::{daemon::HttpClient, wire::peers::MemberRecord};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use standins::{
    drive::{apply_config, wait_for_daemons},
    engine::EngineSettings,
    world::{World, WorldSize},
};

/// How long a test waits for something that it observes.
pub const PATIENCE: Duration = Duration::from_mins(1);
const LOOK: Duration = Duration::from_millis(20);

/// Daemons, and what stands around them.
pub struct Cluster {
    /// The stand-ins.
    pub world: World,
    /// The daemons' records, in the order of their numbers.
    pub records: Vec<MemberRecord>,
    /// For looking at daemons.
    pub http: HttpClient,
    dir: PathBuf,
    children: Vec<Option<Child>>,
}

impl Cluster {
    /// Starts a world and its daemons, and puts the configuration in force.
    ///
    /// # Panics
    ///
    /// If anything does not start.
    pub async fn start(size: WorldSize, engine: EngineSettings) -> Self {
        let world = World::try_start(size, engine)
            .await
            .expect("the world starts");
        let config = world.config();
        Self::start_with(world, size, config).await
    }

    /// As [`Cluster::start`], with another configuration.
    ///
    /// # Panics
    ///
    /// If anything does not start.
    pub async fn start_with(world: World, size: WorldSize, config: Value) -> Self {
        let name = format!(
            "chicoryreach-{}-{}",
            std::process::id(),
            world.platform.address.port()
        );
        let dir = std::env::temp_dir().join(name);
        world
            .write_files(size, &dir)
            .expect("the files are written");
        let children =
            (0..size.daemons).map(|number| Some(spawn(&dir, number).expect("a daemon starts")));
        let mut cluster = Self {
            children: children.collect(),
            world,
            records: Vec::new(),
            http: HttpClient::new(),
            dir,
        };
        cluster.wait_for_records(size.daemons).await;
        let deadline = Instant::now() + PATIENCE;
        apply_config(&cluster.records, config, deadline)
            .await
            .expect("the configuration is in force");
        cluster
    }

    async fn wait_for_records(&mut self, daemons: usize) {
        let deadline = Instant::now() + PATIENCE;
        let records = wait_for_daemons(self.world.platform.address, daemons, deadline).await;
        self.records = records.expect("the daemons announce themselves");
        self.records.sort_by_key(|record| number(&record.vm));
    }

    /// Returns where callers connect.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.records
            .iter()
            .map(|record| record.caller_address)
            .collect()
    }

    /// Returns where daemons and operators connect.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.records
            .iter()
            .map(|record| record.control_address)
            .collect()
    }

    /// Returns a daemon's counters as text.
    ///
    /// # Panics
    ///
    /// If the daemon does not answer.
    pub async fn metrics(&self, control: SocketAddr) -> String {
        let request = hyper::Request::get(format!("http://{control}/metrics"))
            .body(http_body_util::Full::default())
            .expect("the request can be built");
        let body = self.http.exchange(control, request, 10_000).await;
        String::from_utf8_lossy(&body.expect("the daemon answers")).into_owned()
    }

    /// Ends a daemon at once.
    ///
    /// # Panics
    ///
    /// If the daemon does not run.
    pub fn kill(&mut self, number: usize) {
        let mut child = self.children[number].take().expect("the daemon runs");
        child.kill().expect("the daemon is killed");
        child.wait().expect("the daemon is gone");
    }

    /// Sends a signal to a daemon, for instance `Signal::STOP` or `Signal::CONT`.
    ///
    /// # Panics
    ///
    /// If the daemon does not run.
    pub fn signal(&self, number: usize, signal: Signal) {
        let child = self.children[number].as_ref().expect("the daemon runs");
        let pid = Pid::from_child(child);
        kill_process(pid, signal).expect("the signal is sent");
    }

    /// Waits until a daemon has ended, and returns its exit code.
    ///
    /// # Panics
    ///
    /// If the daemon does not end.
    pub async fn exit_code(&mut self, number: usize) -> Option<i32> {
        let mut child = self.children[number].take().expect("the daemon runs");
        let deadline = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = child.try_wait().expect("the daemon can be waited for") {
                return status.code();
            }
            assert!(Instant::now() < deadline, "the daemon does not end");
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Starts a daemon anew under the same name; its addresses change.
    ///
    /// # Panics
    ///
    /// If the daemon does not announce itself.
    pub async fn restart(&mut self, number: usize) {
        let before = self.records[number].incarnation;
        self.children[number] = Some(spawn(&self.dir, number).expect("the daemon starts"));
        let deadline = Instant::now() + PATIENCE;
        while self.records[number].incarnation == before {
            assert!(
                Instant::now() < deadline,
                "the daemon does not announce itself"
            );
            self.wait_for_records(self.records.len()).await;
            tokio::time::sleep(LOOK).await;
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            // A child that has gone by itself is no fault here.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn spawn(dir: &Path, number: usize) -> io::Result<Child> {
    Command::new(env!("CARGO_BIN_EXE_chicoryreach"))
        .args(["daemon", "--log-level", "warn", "--settings"])
        .arg(dir.join(format!("vm-{number}.json")))
        .stdin(Stdio::null())
        .spawn()
}

fn number(vm: &str) -> usize {
    vm.trim_start_matches("vm-")
        .parse()
        .expect("the name ends in a number")
}

/// Waits until `look` returns something.
///
/// # Panics
///
/// If it does not in time.
pub async fn eventually<F, T>(what: &str, mut look: F) -> T
where
    F: AsyncFnMut() -> Option<T>,
{
    let deadline = Instant::now() + PATIENCE;
    loop {
        if let Some(seen) = look().await {
            return seen;
        }
        assert!(Instant::now() < deadline, "not seen in time: {what}");
        tokio::time::sleep(LOOK).await;
    }
}
