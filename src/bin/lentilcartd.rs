//! The daemon of lentilcart: runs a gateway if `LENTILCART_SETTINGS` names a settings file, in
//! which case all flags but `--check` and `--help` are ignored, and an entry otherwise.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use lentilcart::{
    EntrySettings, GatewaySettings, LogSink, entry, gateway, init_logs, init_logs_to, ops,
    options_help, platform,
};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::task::TaskTracker;

/// Exit code if the settings are not valid.
const EXIT_INVALID: u8 = 2;
/// Exit code if the daemon cannot start, or if requests were cut off when it stopped.
const EXIT_FAILED: u8 = 1;
/// Environment variable with the path of a gateway's settings file; if it is set, a gateway is
/// run.
const SETTINGS_VARIABLE: &str = "LENTILCART_SETTINGS";
/// Time within which the last log lines must be written on shutdown.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between two reads of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

fn main() -> ExitCode {
    let mut args: Vec<_> = std::env::args_os().skip(1).collect();
    if args.iter().any(|arg| arg == "--help") {
        print!("{}", options_help());
        return ExitCode::SUCCESS;
    }
    let before = args.len();
    args.retain(|arg| arg != "--check");
    let is_check = args.len() < before;
    if let Some(path) = std::env::var_os(SETTINGS_VARIABLE) {
        let path = PathBuf::from(path);
        return match GatewaySettings::read(&path) {
            Ok(_) if is_check => report_valid(),
            Ok(settings) => start_gateway_runtime(settings, &path),
            Err(error) => report_invalid(&error),
        };
    }
    match EntrySettings::read(args, |name| std::env::var(name).ok()) {
        Ok(_) if is_check => report_valid(),
        Ok(settings) => {
            init_logs(&settings.name);
            ops::install_metrics();
            run_entry(settings)
        }
        Err(error) => report_invalid(&error),
    }
}

fn report_valid() -> ExitCode {
    println!("settings are valid");
    ExitCode::SUCCESS
}

fn report_invalid(error: &impl std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(EXIT_INVALID)
}

/// Runs a gateway with one runtime thread, beside the log thread: a host of the users' platform has
/// only a part of one core, so a second runtime thread would add nothing but context switches.
fn start_gateway_runtime(settings: GatewaySettings, path: &Path) -> ExitCode {
    let (sink, writer) = match LogSink::start(std::io::stdout()) {
        Ok(started) => started,
        Err(error) => {
            eprintln!("cannot start the log thread: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    init_logs_to(&settings.name, &sink);
    ops::install_metrics();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let code = match runtime {
        Ok(runtime) => runtime.block_on(run_gateway(settings, path)),
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    };
    writer.stop(LOG_FLUSH_TIMEOUT);
    code
}

/// Runs a gateway until a signal to stop; reads its settings again at each interval and at SIGHUP.
async fn run_gateway(settings: GatewaySettings, path: &Path) -> ExitCode {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    );
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = signals else {
        return report_signal_error();
    };
    let tasks = TaskTracker::new();
    let (address, timeout) = (settings.store.address, settings.store.timeout);
    let store =
        platform::create_store_client(address, settings.get_source_ip(), timeout.into(), tasks);
    let handle = match gateway::start_gateway(settings, store).await {
        Ok(handle) => handle,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let mut timer = tokio::time::interval(SETTINGS_POLL_INTERVAL);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => {}
            _ = timer.tick() => {}
        }
        match GatewaySettings::read(path) {
            Ok(settings) => handle.reload(settings),
            Err(error) => log::warn!("settings not reloaded: {error}"),
        }
    }
    get_exit_code(handle.stop().await)
}

/// Runs an entry until a signal to stop.
#[tokio::main]
async fn run_entry(settings: EntrySettings) -> ExitCode {
    let tasks = TaskTracker::new();
    let (address, timeout) = (settings.platform, settings.platform_timeout);
    let platform =
        platform::create_platform_client(address, settings.source_ip, timeout, tasks.clone());
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (Ok(terminate), Ok(interrupt)) = signals else {
        return report_signal_error();
    };
    let handle = match entry::start_entry(settings, platform).await {
        Ok(handle) => handle,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    wait_for_stop(terminate, interrupt).await;
    get_exit_code(handle.stop().await)
}

/// Waits for a signal to stop.
async fn wait_for_stop(mut terminate: Signal, mut interrupt: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn report_signal_error() -> ExitCode {
    eprintln!("cannot receive signals");
    ExitCode::from(EXIT_FAILED)
}

/// Returns the exit code of a process that has stopped: success if all requests finished.
fn get_exit_code(is_complete: bool) -> ExitCode {
    if is_complete {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAILED)
    }
}
