use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use lentilcart_util::Micros;

/// Clock ticks of `/proc` (`USER_HZ`).
const TICKS_PER_SECOND: u64 = 100;
/// Size of a memory page.
const PAGE_BYTES: u64 = 4096;

/// A process that the bench started; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

/// Returns the path of a binary of this workspace, which is built into the same folder as the running
/// one.
///
/// # Panics
///
/// Panics if the path of this process is unknown.
#[must_use]
pub fn binary_path(name: &str) -> PathBuf {
    let mut folder = std::env::current_exe().expect("the path of this process is known");
    folder.pop();
    if folder.ends_with("deps") || folder.ends_with("examples") {
        folder.pop();
    }
    folder.join(name)
}

impl Process {
    /// Starts a binary of this workspace, with its standard error written to the file `log`;
    /// it is discarded without one, or if the file cannot be created.
    ///
    /// # Panics
    ///
    /// Panics if the binary cannot be started; `cargo build --workspace` builds it.
    #[must_use]
    pub fn start(name: &str, args: &[String], env: &[(&str, &str)], log: Option<&str>) -> Self {
        let path = binary_path(name);
        let mut command = Command::new(&path);
        command
            .args(args)
            .envs(env.iter().copied())
            .stdin(Stdio::null());
        let file = log.and_then(|log| File::create(log).ok());
        command.stderr(file.map_or_else(Stdio::null, Stdio::from));
        command.stdout(Stdio::null());
        let child = command.spawn();
        let child = child
            .unwrap_or_else(|e| panic!("{}: {e}; run cargo build --workspace", path.display()));
        Self { child }
    }

    /// Starts any program, with its output and errors appended to the file `log`.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started, or the file cannot be opened.
    pub fn start_program(
        path: &Path,
        env: &[(&str, &str)],
        log: &Path,
    ) -> Result<Self, std::io::Error> {
        let file = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(path);
        command
            .envs(env.iter().copied())
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file);
        let child = command.spawn().map_err(|e| {
            let message = format!("{}: {e}", path.display());
            std::io::Error::new(e.kind(), message)
        })?;
        Ok(Self { child })
    }

    /// Returns the id of the process.
    #[must_use]
    pub fn get_id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the processor time used so far, in user and system mode; 0 if it cannot be read.
    #[must_use]
    pub fn get_cpu_time(&self) -> Micros {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.get_id()));
        let stat = stat.unwrap_or_default();
        let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<u64> = fields
            .split_whitespace()
            .map(|f| f.parse().unwrap_or(0))
            .collect();
        let ticks = fields.get(11).unwrap_or(&0) + fields.get(12).unwrap_or(&0);
        Micros(ticks * 1_000_000 / TICKS_PER_SECOND)
    }

    /// Returns the resident memory in bytes; 0 if it cannot be read.
    #[must_use]
    pub fn get_resident_bytes(&self) -> u64 {
        let statm = std::fs::read_to_string(format!("/proc/{}/statm", self.get_id()));
        let statm = statm.unwrap_or_default();
        let pages = statm
            .split_whitespace()
            .nth(1)
            .and_then(|field| field.parse::<u64>().ok());
        pages.unwrap_or_default() * PAGE_BYTES
    }

    /// Sends a signal, such as `TERM` or `STOP`.
    pub fn signal(&self, signal: &str) {
        let id = self.get_id().to_string();
        Command::new("kill").args(["-s", signal, &id]).status().ok();
    }

    /// Kills the process with `KILL` and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Waits for the end of the process and returns its exit code, `None` if a signal ended it.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().ok().and_then(|status| status.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
