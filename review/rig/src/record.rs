//! What was sent, answered and run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

struct Inner {
    file: BufWriter<File>,
    /// Servers that began to work on each request.
    runs: BTreeMap<String, Vec<String>>,
}

#[derive(Clone)]
pub struct Record {
    inner: Arc<Mutex<Inner>>,
    pub started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        let inner = Inner {
            file: BufWriter::new(file),
            runs: BTreeMap::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut inner = self.inner.lock().unwrap();
        writeln!(inner.file, "{at:8.3} {text}").expect("record.txt can be written");
    }

    /// Records that a server begins to work on a request.
    pub fn run(&self, server: &str, id: &str) {
        self.line(&format!("server {server} runs {id}"));
        let mut inner = self.inner.lock().unwrap();
        let runs = inner.runs.entry(id.to_owned()).or_default();
        runs.push(server.to_owned());
    }

    pub fn runs(&self) -> BTreeMap<String, Vec<String>> {
        self.inner.lock().unwrap().runs.clone()
    }

    pub fn flush(&self) {
        self.inner.lock().unwrap().file.flush().ok();
    }
}
