use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use super::options::SoakOptions;
use super::record::now_ms;
use super::site::{COLD_LIMIT, DATA_CENTERS, GRACE, Site};
use crate::cluster::{Process, binary_path};

/// Variable with the path of an entry's settings file.
const SETTINGS_VARIABLE: &str = "LENTILCART_SETTINGS";
/// Lines of the settings between which a reload changes.
const RETRY_RATIOS: [&str; 2] = ["ratio = 0.2", "ratio = 0.19"];
/// Time within which a readiness check must be answered.
const READINESS_TIMEOUT: Duration = Duration::from_millis(500);

/// What the soak did to an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EntryEvent {
    Started,
    Terminated,
    Killed,
    Stopped,
    Continued,
    Reloaded,
}

/// An entry as a process of its own.
pub(super) struct Entry {
    pub(super) name: String,
    /// Address for callers.
    pub(super) address: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pub(super) program: PathBuf,
    /// Whether new connections go to it.
    pub(super) is_in_rotation: AtomicBool,
    /// Whether a fault of the schedule is at work on it.
    pub(super) is_taken: AtomicBool,
    process: Mutex<Option<Process>>,
    /// Times in Unix milliseconds.
    events: Mutex<Vec<(u64, EntryEvent)>>,
}

impl Entry {
    /// Writes the settings of an entry; [`Self::start`] starts it.
    ///
    /// # Errors
    ///
    /// Fails if the settings cannot be written.
    pub(super) fn new(number: usize, site: &Site, options: &SoakOptions) -> std::io::Result<Self> {
        let name = format!("entry-{number}");
        let has_program = ((number + 1) as f64 * options.program_share) as usize
            > (number as f64 * options.program_share) as usize;
        let data_center = DATA_CENTERS[number % DATA_CENTERS.len()];
        let [callers, ready, peer, ops] = [0, 1, 2, 3].map(|port| site.entry_address(number, port));
        let seeds: Vec<_> = (0..site.entries.min(3))
            .map(|seed| format!("\"{}\"", site.entry_address(seed, 3)))
            .collect();
        let text = format!(
            "name = \"{name}\"\ndata-center = \"{data_center}\"\n\n[listen]\ncallers = \"{callers}\"\n\
             ready = \"{ready}\"\npeer = \"{peer}\"\nops = \"{ops}\"\nconnections = 6000\n\n[peers]\n\
             seeds = [{}]\n\n[store]\naddress = \"{}\"\n\n[retries]\n{}\nburst = {}\n\n[stop]\n\
             grace = \"{}s\"\n",
            seeds.join(","),
            site.store_address(),
            RETRY_RATIOS[0],
            site.retry_burst,
            GRACE.as_secs()
        );
        let warmup = if site.limits_cold {
            let (_, overage, slack) = COLD_LIMIT;
            format!("\n[warmup]\noverage = {overage:?}\nslack = {slack:?}\n")
        } else {
            String::new()
        };
        let text = text + &warmup;
        let settings = options.logs.join(format!("{name}.toml"));
        std::fs::write(&settings, text)?;
        Ok(Self {
            log: options.logs.join(format!("{name}.log")),
            name,
            address: callers,
            ready,
            settings,
            program: if has_program {
                options.program.clone()
            } else {
                binary_path("lentilcartd")
            },
            is_in_rotation: AtomicBool::new(true),
            is_taken: AtomicBool::new(false),
            process: Mutex::new(None),
            events: Mutex::default(),
        })
    }

    /// Starts the process; its log is appended to that of its earlier starts.
    ///
    /// # Errors
    ///
    /// Fails if the program or the log file cannot be opened.
    pub(super) fn start(&self) -> std::io::Result<()> {
        let settings = self.settings.to_string_lossy();
        let env = [(SETTINGS_VARIABLE, &*settings)];
        let process = Process::start_program(&self.program, &env, &self.log)?;
        *self.lock() = Some(process);
        self.add_event(EntryEvent::Started);
        Ok(())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Process>> {
        self.process.lock().expect("no panic under lock")
    }

    fn add_event(&self, event: EntryEvent) {
        let mut events = self.events.lock().expect("no panic under lock");
        events.push((now_ms(), event));
    }

    pub(super) fn events(&self) -> Vec<(u64, EntryEvent)> {
        self.events.lock().expect("no panic under lock").clone()
    }

    /// Returns the start and the end of each time for which the process was stopped.
    pub(super) fn pauses(&self) -> Vec<(u64, u64)> {
        let events = self.events();
        let at = |kind| {
            let of_kind = events.iter().filter(move |(_, event)| *event == kind);
            of_kind.map(|(at, _)| *at)
        };
        at(EntryEvent::Stopped)
            .zip(at(EntryEvent::Continued))
            .collect()
    }

    /// Returns whether the process is running.
    pub(super) fn is_running(&self) -> bool {
        self.lock().as_mut().is_some_and(Process::is_running)
    }

    /// Kills the process and waits for its end.
    pub(super) fn kill(&self) {
        self.add_event(EntryEvent::Killed);
        if let Some(mut process) = self.lock().take() {
            process.kill();
        }
    }

    /// Sends TERM and waits for the end of the process, which is killed when it has taken too long.
    /// Returns whether it ended by itself.
    pub(super) async fn terminate(&self) -> bool {
        self.add_event(EntryEvent::Terminated);
        self.signal("TERM");
        let end = Instant::now() + GRACE;
        while self.is_running() && Instant::now() < end {
            sleep(Duration::from_millis(10)).await;
        }
        let has_ended = !self.is_running();
        if let Some(mut process) = self.lock().take() {
            process.kill();
        }
        has_ended
    }

    /// Kills the process as if that were a planned stop.
    pub(super) fn fail_stop(&self) {
        self.add_event(EntryEvent::Terminated);
        if let Some(mut process) = self.lock().take() {
            process.kill();
        }
    }

    /// Stops the process for a while.
    pub(super) async fn pause(&self, time: Duration) {
        self.add_event(EntryEvent::Stopped);
        self.signal("STOP");
        sleep(time).await;
        self.signal("CONT");
        self.add_event(EntryEvent::Continued);
    }

    /// Changes the settings file and sends HUP.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or written.
    pub(super) fn reload(&self) -> std::io::Result<()> {
        let text = std::fs::read_to_string(&self.settings)?;
        let [mut old, mut new] = RETRY_RATIOS;
        if !text.contains(old) {
            std::mem::swap(&mut old, &mut new);
        }
        std::fs::write(&self.settings, text.replace(old, new))?;
        self.add_event(EntryEvent::Reloaded);
        self.signal("HUP");
        Ok(())
    }

    fn signal(&self, signal: &str) {
        if let Some(process) = &*self.lock() {
            process.signal(signal);
        }
    }

    /// Returns whether the entry answers that it is ready.
    pub(super) async fn is_ready(&self) -> bool {
        let ask = async {
            let mut stream = TcpStream::connect(self.ready).await.ok()?;
            let path = lentilcart_platform::READY_PATH;
            let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
            stream.write_all(request.as_bytes()).await.ok()?;
            let mut answer = [0; 12];
            stream.read_exact(&mut answer).await.ok()?;
            Some(&answer == b"HTTP/1.1 200")
        };
        timeout(READINESS_TIMEOUT, ask).await == Ok(Some(true))
    }

    /// Takes the entry out of rotation after two checks without success, and back after one with it;
    /// never returns.
    pub(super) async fn check_readiness(&self) {
        let mut misses = 0;
        loop {
            misses = if self.is_ready().await { 0 } else { misses + 1 };
            self.is_in_rotation.store(misses < 2, Ordering::Relaxed);
            sleep(Duration::from_secs(1)).await;
        }
    }

    /// Returns the lines of its log that hold a text.
    pub(super) fn find_log_lines(&self, text: &str) -> String {
        find_lines(&self.log, text)
    }
}

fn find_lines(log: &Path, text: &str) -> String {
    let mut found = String::new();
    match std::fs::File::open(log) {
        Ok(file) => {
            let lines = BufReader::new(file).lines().map_while(Result::ok);
            for line in lines.filter(|line| line.contains(text)) {
                writeln!(found, "    {line}").expect("writing to a string succeeds");
            }
        }
        Err(error) => log::warn!("{}: {error}", log.display()),
    }
    found
}
