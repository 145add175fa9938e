//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines with the milliseconds since the start to the record and to the
/// standard output.
#[derive(Clone, Debug)]
pub struct Record(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Creates the record at a path.
    ///
    /// # Errors
    ///
    /// Returns the error of creating the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self(Arc::new(Inner {
            file: Mutex::new(File::create(path)?),
            started: Instant::now(),
        })))
    }

    /// Returns the milliseconds since the start.
    #[must_use]
    pub fn now_ms(&self) -> u128 {
        self.0.started.elapsed().as_millis()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at_ms = self.now_ms();
        let mut file = self.0.file.lock().expect("no writer panics");
        writeln!(file, "{at_ms:6} {text}").expect("the record is written");
    }

    /// Writes a line, also to the standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
