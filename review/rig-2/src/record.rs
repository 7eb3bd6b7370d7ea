//! What was sent, answered and run, with times from the start of the script.

use std::fs;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The record, which clones share.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn add(&self, line: String) {
        let now = self.now();
        self.lines.lock().unwrap().push((now, line));
    }

    /// Adds a line that is also shown.
    pub fn tell(&self, line: String) {
        println!("{:8.3} {line}", self.now().as_secs_f64());
        self.add(line);
    }

    /// Writes the lines, in the order of their times.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(time, _)| *time);
        let mut file = std::io::BufWriter::new(fs::File::create(path)?);
        for (time, line) in lines {
            writeln!(file, "{:8.3} {line}", time.as_secs_f64())?;
        }
        file.flush()
    }
}
