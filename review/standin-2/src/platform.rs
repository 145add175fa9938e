//! The part of the platform that watches processes: one that exceeds its memory is killed,
//! and one that has ended is started again after a short delay.

use std::time::Duration;

use rustix::process::Signal;

use crate::{fleet::Fleet, record::Record};

const RESTART_DELAY: Duration = Duration::from_millis(500);
const BYTES_PER_MB: u64 = 1_000_000;

/// How often the process of each VM has ended because of its memory.
pub struct MemoryWatch {
    pub ends: Vec<u32>,
}

impl MemoryWatch {
    pub fn new(fleet: &Fleet) -> Self {
        Self {
            ends: vec![0; fleet.vms.len()],
        }
    }

    /// Kills and restarts the processes that exceed their memory now.
    pub async fn check(&mut self, fleet: &mut Fleet, record: &mut Record) {
        for number in 0..fleet.vms.len() {
            let (now, limit_mb) = (
                fleet.vms[number].memory_bytes(),
                fleet.machines[number].memory_mb,
            );
            if now <= limit_mb * BYTES_PER_MB {
                continue;
            }
            self.ends[number] += 1;
            record.line(format!(
                "vm-{number} has {} MB of {limit_mb} MB in use: the platform kills it (end {})",
                now / BYTES_PER_MB,
                self.ends[number]
            ));
            fleet.signal(number, Signal::KILL);
            tokio::time::sleep(RESTART_DELAY).await;
            fleet.restart(number).await;
        }
    }

    /// Whether two machines at least, and a tenth of all, have had three ends.
    pub fn is_fault(&self) -> bool {
        let count = self.ends.iter().filter(|ends| **ends >= 3).count();
        count >= 2 && count * 10 >= self.ends.len()
    }
}
