//! The project's daemon as a process of its own, started as the deploy file says.

use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, ask};

/// Command of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/lentilcartd";
/// Template of the settings that the deploy file names.
const TEMPLATE: &str = "deploy/settings.toml";

pub struct Daemon {
    pub name: String,
    child: Child,
    settings: PathBuf,
    pub callers: SocketAddr,
    ready: SocketAddr,
}

/// Ports that are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub callers: u16,
    pub ready: u16,
    pub ops: u16,
    pub peer: u16,
}

pub struct Place<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub ip: IpAddr,
    pub seeds: &'a [IpAddr],
    pub store: SocketAddr,
    pub grace_s: u32,
}

impl Daemon {
    pub fn start(place: &Place<'_>, ports: Ports, folder: &Path) -> Self {
        let settings = folder.join(format!("{}.toml", place.name));
        fs::write(&settings, fill_in(place, ports)).expect("settings can be written");
        let child = spawn(&settings);
        Self {
            name: place.name.to_owned(),
            child,
            settings,
            callers: SocketAddr::new(place.ip, ports.callers),
            ready: SocketAddr::new(place.ip, ports.ready),
        }
    }

    /// Starts the process again, with the same settings.
    pub fn restart(&mut self) {
        self.child = spawn(&self.settings);
    }

    /// Waits until the daemon says that it is ready.
    pub fn await_ready(&self) {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if self.is_ready() {
                return;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        crate::cannot_run(&format!("{} does not become ready", self.name));
    }

    pub fn is_ready(&self) -> bool {
        let answer = ask(&Request {
            target: self.ready,
            method: "GET",
            path: "/readyz",
            host: "a",
            id: "ready",
            deadline: Duration::from_millis(500),
            body: b"",
        });
        matches!(answer, Answer::Complete(200, _))
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("sh")
            .args(["-c", &format!("kill -{name} {}", self.child.id())])
            .status();
        if !status.is_ok_and(|status| status.success()) {
            crate::cannot_run(&format!("cannot send {name} to {}", self.name));
        }
    }

    /// Returns the resident memory of the process in megabytes, as the kernel shows it.
    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) / 1024
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts the process; its log stands beside its settings.
fn spawn(settings: &Path) -> Child {
    let log = fs::File::options()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))
        .expect("log");
    let errors = log.try_clone().expect("log");
    Command::new(PROGRAM)
        .env_clear()
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .env("LENTILCART_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .unwrap_or_else(|error| crate::cannot_run(&format!("{PROGRAM}: {error}")))
}

/// Fills in the template of the settings, as the platform does.
fn fill_in(place: &Place<'_>, ports: Ports) -> String {
    let template = fs::read_to_string(TEMPLATE)
        .unwrap_or_else(|error| crate::cannot_run(&format!("{TEMPLATE}: {error}")));
    let seeds = place
        .seeds
        .iter()
        .map(|ip| format!("\"{ip}:{}\"", ports.ops));
    let seeds: Vec<String> = seeds.collect();
    let fields = [
        ("{{nodeName}}", place.name.to_owned()),
        ("{{zone}}", place.zone.to_owned()),
        ("{{listen.http}}", format!("{}:{}", place.ip, ports.callers)),
        (
            "{{listen.readiness}}",
            format!("{}:{}", place.ip, ports.ready),
        ),
        ("{{listen.admin}}", format!("{}:{}", place.ip, ports.ops)),
        ("{{ip}}", place.ip.to_string()),
        ("{{internalPorts.0}}", ports.peer.to_string()),
        ("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds.join(", ")),
        ("{{platform.address}}", place.store.to_string()),
        ("{{bounds.retryRatio}}", "0.2".to_owned()),
        ("{{bounds.retryBurst}}", "58".to_owned()),
        ("{{bounds.graceS}}", place.grace_s.to_string()),
    ];
    let mut text = template;
    for (field, value) in fields {
        text = text.replace(field, &value);
    }
    if text.contains("{{") {
        crate::cannot_run("the template of the settings has other placeholders");
    }
    text
}

/// Folder for the files of a run, which is removed with its contents on drop unless `KEEP_LOGS` is set.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create() -> Self {
        let name = format!("lentilcart-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("temporary folder");
        Self(folder)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        if std::env::var("KEEP_LOGS").is_err() {
            fs::remove_dir_all(&self.0).ok();
        }
    }
}
