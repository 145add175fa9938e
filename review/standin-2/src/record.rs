//! The record of what was sent, answered and run.

use std::{fs::File, io::Write, path::Path, time::Instant};

pub struct Record {
    file: File,
    began: Instant,
}

impl Record {
    pub fn new(dir: &Path) -> Self {
        let file = File::create(dir.join("record.txt")).expect("the record is made");
        Self {
            file,
            began: Instant::now(),
        }
    }

    pub fn line(&mut self, text: impl AsRef<str>) {
        let at_s = self.began.elapsed().as_secs_f64();
        let line = format!("{at_s:8.3} {}\n", text.as_ref());
        eprint!("{line}");
        let _ = self.file.write_all(line.as_bytes());
    }
}
