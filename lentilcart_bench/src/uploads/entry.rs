use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use crate::util::host_address;

/// Variable with the path of an entry's settings file.
const SETTINGS_VARIABLE: &str = "LENTILCART_SETTINGS";

/// The entry under load, as a process of its own; it is killed when dropped.
pub(super) struct Entry {
    program: PathBuf,
    settings: PathBuf,
    child: Child,
}

impl Entry {
    /// Writes the settings of an entry into a folder and starts it.
    ///
    /// # Errors
    ///
    /// Fails if the settings cannot be written or the program cannot be started.
    pub(super) fn start(
        program: &Path,
        folder: &Path,
        number: u8,
        store: SocketAddr,
    ) -> std::io::Result<Self> {
        let [callers, ready, peer, ops] =
            [7601, 7602, 7603, 7604].map(|port| host_address(0, 1, number, port).to_string());
        let text = format!(
            "name = \"entry\"\ndata-center = \"a\"\n[listen]\ncallers = \"{callers}\"\nready = \"{ready}\"\n\
             peer = \"{peer}\"\nops = \"{ops}\"\nconnections = 6000\n[store]\naddress = \"{store}\"\n\
             [retries]\nratio = 0.2\nburst = 58\n[stop]\ngrace = \"6s\"\n"
        );
        let settings = folder.join("entry.toml");
        std::fs::write(&settings, text)?;
        let child = spawn(program, &settings)?;
        Ok(Self {
            program: program.to_owned(),
            settings,
            child,
        })
    }

    /// Kills the process and starts it again.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
    pub(super) fn restart(&mut self) -> std::io::Result<()> {
        self.kill();
        self.child = spawn(&self.program, &self.settings)?;
        Ok(())
    }

    /// Returns a field of the process's memory in bytes, such as `VmRSS`; 0 if it cannot be read.
    pub(super) fn get_memory(&self, field: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        let kib = line.and_then(|line| line.trim_start_matches(':').split_whitespace().next());
        kib.and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) * 1024
    }

    fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(program: &Path, settings: &Path) -> std::io::Result<Child> {
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))?;
    Command::new(program)
        .env(SETTINGS_VARIABLE, settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}
