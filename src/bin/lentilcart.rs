//! The operators' command line of lentilcart.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = std::env::args_os().skip(1).collect();
    lentilcart::cli::main(args)
}
