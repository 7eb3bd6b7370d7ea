use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use lentilcart_util::Micros;

use crate::cluster::Process;
use crate::util::host_address;

/// Variable with the path of an entry's settings file.
const SETTINGS_VARIABLE: &str = "LENTILCART_SETTINGS";

/// The entry under load, as a process of its own; it is killed when dropped.
pub(crate) struct Entry {
    program: PathBuf,
    settings: PathBuf,
    process: Process,
}

impl Entry {
    /// Writes the settings of an entry into a folder and starts it.
    ///
    /// # Errors
    ///
    /// Fails if the settings cannot be written or the program cannot be started.
    pub(crate) fn start(
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
        let process = spawn(program, &settings)?;
        Ok(Self {
            program: program.to_owned(),
            settings,
            process,
        })
    }

    /// Kills the process and starts it again.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
    pub(crate) fn restart(&mut self) -> std::io::Result<()> {
        self.process.kill();
        self.process = spawn(&self.program, &self.settings)?;
        Ok(())
    }

    /// Returns the processor time that the process has used.
    pub(crate) fn get_cpu_time(&self) -> Micros {
        self.process.get_cpu_time()
    }

    /// Returns a field of the process's memory in bytes, such as `VmRSS`; 0 if it cannot be read.
    pub(crate) fn get_memory(&self, field: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.get_id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        let kib = line.and_then(|line| line.trim_start_matches(':').split_whitespace().next());
        kib.and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) * 1024
    }
}

fn spawn(program: &Path, settings: &Path) -> std::io::Result<Process> {
    let env = [(SETTINGS_VARIABLE, &*settings.to_string_lossy())];
    Process::start_program(program, &env, &settings.with_extension("log"))
}
