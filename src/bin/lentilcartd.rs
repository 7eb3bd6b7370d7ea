//! The entry daemon of lentilcart.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use lentilcart::{
    EntrySettings, GatewaySettings, LogSink, entry, gateway, init_logs, init_logs_to, ops,
    options_help, platform,
};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::task::TaskTracker;

const USAGE: u8 = 2;
const FAILED: u8 = 1;
/// Environment variable with the path of a gateway's settings file.
const SETTINGS_VARIABLE: &str = "LENTILCART_SETTINGS";
/// Time in which the last log lines must be written at the end.
const LAST_LINES: Duration = Duration::from_millis(200);
/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_EVERY: Duration = Duration::from_secs(1);

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
            Ok(_) if is_check => valid(),
            Ok(settings) => start_gateway(settings, &path),
            Err(error) => invalid(&error),
        };
    }
    match EntrySettings::read(args, |name| std::env::var(name).ok()) {
        Ok(_) if is_check => valid(),
        Ok(settings) => {
            init_logs(&settings.name);
            ops::install_metrics();
            run(settings)
        }
        Err(error) => invalid(&error),
    }
}

fn valid() -> ExitCode {
    println!("settings are valid");
    ExitCode::SUCCESS
}

fn invalid(error: &impl std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(USAGE)
}

/// Runs a gateway on one thread: a host has a part of one core, and a second thread would only add
/// switches.
fn start_gateway(settings: GatewaySettings, path: &Path) -> ExitCode {
    let (sink, writer) = match LogSink::start(std::io::stdout()) {
        Ok(started) => started,
        Err(error) => {
            eprintln!("cannot start the thread of the logs: {error}");
            return ExitCode::from(FAILED);
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
            ExitCode::from(FAILED)
        }
    };
    writer.stop(LAST_LINES);
    code
}

async fn run_gateway(settings: GatewaySettings, path: &Path) -> ExitCode {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    );
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = signals else {
        return no_signals();
    };
    let tasks = TaskTracker::new();
    let (address, timeout) = (settings.store.address, settings.store.timeout);
    let store =
        platform::create_store_client(address, settings.get_source_ip(), timeout.into(), tasks);
    let running = match gateway::start_gateway(settings, store).await {
        Ok(running) => running,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(FAILED);
        }
    };
    let mut timer = tokio::time::interval(SETTINGS_EVERY);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => {}
            _ = timer.tick() => {}
        }
        match GatewaySettings::read(path) {
            Ok(settings) => running.reload(settings),
            Err(error) => log::warn!("settings not reloaded: {error}"),
        }
    }
    end(running.stop().await)
}

#[tokio::main]
async fn run(settings: EntrySettings) -> ExitCode {
    let tasks = TaskTracker::new();
    let (address, wait) = (settings.platform, settings.platform_timeout);
    let platform =
        platform::create_platform_client(address, settings.source_ip, wait, tasks.clone());
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (Ok(terminate), Ok(interrupt)) = signals else {
        return no_signals();
    };
    let running = match entry::start_entry(settings, platform).await {
        Ok(running) => running,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(FAILED);
        }
    };
    wait_stop(terminate, interrupt).await;
    end(running.stop().await)
}

async fn wait_stop(mut terminate: Signal, mut interrupt: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn no_signals() -> ExitCode {
    eprintln!("cannot receive signals");
    ExitCode::from(FAILED)
}

fn end(complete: bool) -> ExitCode {
    if complete {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(FAILED)
    }
}
