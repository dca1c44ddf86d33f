//! The record of a run: what was sent, answered and run, with the milliseconds since its start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes lines to `record.txt`; clones share the file.
#[derive(Debug, Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes one line.
    pub fn line(&self, text: impl AsRef<str>) {
        let millis = self.elapsed().as_millis();
        let mut file = self.file.lock().expect("no writer panics");
        // A lost line must not end the run; the verdict does not depend on the file.
        let _ = writeln!(file, "{millis:>7} ms  {}", text.as_ref());
    }

    /// Writes one line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
