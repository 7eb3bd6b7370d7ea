//! Runs one case of the review: starts the project's daemons as processes, with stand-ins of the
//! platform's store, of servers and of clients on loopback addresses, and writes `record.txt`.
//!
//! Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod cases;
mod clients;
mod daemon;
mod http;
mod json;
mod net;
mod record;
mod server;
mod store;
mod world;

use std::path::PathBuf;

/// Ends the run with exit code 2; the unwinding ends the processes that were started.
pub fn cannot_run(reason: &str) -> ! {
    panic!("cannot run: {reason}");
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        cannot_run("usage: review_rig CASE FOLDER");
    };
    std::panic::set_hook(Box::new(|panic| eprintln!("{panic}")));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let run = move || cases::run(&case, &folder, has_trouble);
    let code = match std::thread::spawn(run).join() {
        Ok(Some(broken)) => i32::from(broken),
        Ok(None) | Err(_) => 2,
    };
    std::process::exit(code);
}
