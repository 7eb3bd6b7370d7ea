use std::ffi::OsString;
use std::process::ExitCode;

use pico_args::Arguments;

use super::context::Context;
use super::error::CliError;
use super::explain::explain;
use super::help::help;
use super::{status, tickets};

/// Runs a command and returns its exit code: 0 for success, 1 for a failure, 2 for a usage error.
#[must_use]
pub fn main(args: Vec<OsString>) -> ExitCode {
    let mut args = Arguments::from_vec(args);
    let command = args.subcommand().ok().flatten();
    if args.contains("--help") || command.as_deref() == Some("help") {
        print!("{}", help(command.as_deref().unwrap_or_default()));
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(command.as_deref(), args)),
        Err(error) => Err(CliError::Failed(error.to_string())),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.get_exit_code())
        }
    }
}

async fn run(command: Option<&str>, mut args: Arguments) -> Result<(), CliError> {
    match command {
        Some("submit") => tickets::submit(args).await,
        Some("diff") => tickets::diff(args).await,
        Some("new") => {
            let context = Context::read(&mut args)?;
            tickets::new(&context, args).await
        }
        Some("show") => {
            let context = Context::read(&mut args)?;
            tickets::show(&context, args).await
        }
        Some("status") => {
            let context = Context::read(&mut args)?;
            status::status(&context, args).await
        }
        Some("served") => {
            let context = Context::read(&mut args)?;
            status::served(&context, args).await
        }
        Some("watch") => {
            let context = Context::read(&mut args)?;
            status::watch(&context, args).await
        }
        Some("explain") => explain(args),
        Some(other) => Err(CliError::Usage(format!(
            "{other}: unknown command; see --help"
        ))),
        None => Err(CliError::Usage(
            "a command is missing; see --help".to_owned(),
        )),
    }
}
