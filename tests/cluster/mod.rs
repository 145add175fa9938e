//! Real daemon processes, with stand-ins for everything around them that run in
//! the test's own process.

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

/// The longest time that a test waits for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Daemon processes and the stand-ins around them.
pub struct Cluster {
    /// The stand-ins.
    pub world: World,
    /// The daemons' records, ordered by their numbers.
    pub records: Vec<MemberRecord>,
    /// A client for requests to daemons.
    pub http: HttpClient,
    dir: PathBuf,
    children: Vec<Option<Child>>,
}

impl Cluster {
    /// Starts the stand-ins and daemons, and applies the default configuration.
    ///
    /// # Panics
    ///
    /// If the stand-ins or daemons don't start, or refuse the configuration.
    pub async fn start(size: WorldSize, engine: EngineSettings) -> Self {
        let world = World::try_start(size, engine)
            .await
            .expect("the world starts");
        let config = world.config();
        Self::start_with(world, size, config).await
    }

    /// Starts daemons around a running world, and applies a configuration.
    ///
    /// # Panics
    ///
    /// If the stand-ins or daemons don't start, or refuse the configuration.
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
        let deadline = Instant::now() + WAIT_TIMEOUT;
        apply_config(&cluster.records, config, deadline)
            .await
            .expect("the configuration is in force");
        cluster
    }

    async fn wait_for_records(&mut self, daemons: usize) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let records = wait_for_daemons(self.world.platform.address, daemons, deadline).await;
        self.records = records.expect("the daemons announce themselves");
        self.records.sort_by_key(|record| vm_index(&record.vm));
    }

    /// Returns the addresses that callers connect to.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.records
            .iter()
            .map(|record| record.caller_address)
            .collect()
    }

    /// Returns the addresses that daemons and operators connect to.
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

    /// Kills a daemon.
    ///
    /// # Panics
    ///
    /// If the daemon does not run.
    pub fn kill(&mut self, number: usize) {
        let mut child = self.children[number].take().expect("the daemon runs");
        child.kill().expect("the daemon is killed");
        child.wait().expect("the daemon has ended");
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
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = child.try_wait().expect("the daemon can be waited for") {
                return status.code();
            }
            assert!(Instant::now() < deadline, "the daemon does not end");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Restarts a daemon under the same name; its addresses change.
    ///
    /// # Panics
    ///
    /// If the daemon does not announce itself.
    pub async fn restart(&mut self, number: usize) {
        let before = self.records[number].incarnation;
        self.children[number] = Some(spawn(&self.dir, number).expect("the daemon starts"));
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.records[number].incarnation == before {
            assert!(
                Instant::now() < deadline,
                "the daemon does not announce itself"
            );
            self.wait_for_records(self.records.len()).await;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            // Errors are ignored, as the child may have ended already.
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

fn vm_index(vm: &str) -> usize {
    vm.trim_start_matches("vm-")
        .parse()
        .expect("a VM name ends in its index")
}

/// Calls `poll` until it returns a value, and returns that.
///
/// # Panics
///
/// If `poll` returns `None` until `WAIT_TIMEOUT` has passed.
pub async fn eventually<F, T>(what: &str, mut poll: F) -> T
where
    F: AsyncFnMut() -> Option<T>,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
