//! The entry daemon of lentilcart.

use std::process::ExitCode;

use lentilcart::{Settings, entry, init_logs, ops, options_help, platform};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::task::TaskTracker;

const USAGE: u8 = 2;
const FAILED: u8 = 1;

fn main() -> ExitCode {
    let mut args: Vec<_> = std::env::args_os().skip(1).collect();
    if args.iter().any(|arg| arg == "--help") {
        print!("{}", options_help());
        return ExitCode::SUCCESS;
    }
    let before = args.len();
    args.retain(|arg| arg != "--check");
    let is_check = args.len() < before;
    let settings = match Settings::read(args, |name| std::env::var(name).ok()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(USAGE);
        }
    };
    if is_check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    init_logs(&settings.name);
    ops::install_metrics();
    run(settings)
}

#[tokio::main]
async fn run(settings: Settings) -> ExitCode {
    let tasks = TaskTracker::new();
    let (address, wait) = (settings.platform, settings.platform_wait);
    let platform = platform::dial(address, settings.source, wait, tasks.clone());
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        eprintln!("cannot receive signals");
        return ExitCode::from(FAILED);
    };
    let running = match entry::start(settings, platform).await {
        Ok(running) => running,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(FAILED);
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let complete = running.stop().await;
    if complete {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(FAILED)
    }
}
