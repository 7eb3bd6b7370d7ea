use std::ffi::OsString;
use std::fmt::Write;

use pico_args::Arguments;

/// A setting: its flag, its default and its help.
pub(crate) struct Opt {
    pub(crate) flag: &'static str,
    pub(crate) default: Option<&'static str>,
    pub(crate) help: &'static str,
}

const fn opt(flag: &'static str, default: Option<&'static str>, help: &'static str) -> Opt {
    Opt {
        flag,
        default,
        help,
    }
}

/// Every setting of the daemon.
pub(crate) const OPTIONS: [Opt; 19] = [
    opt("name", None, "name of this host, unique among the entries"),
    opt("data-center", None, "data centre that this host stands in"),
    opt(
        "platform",
        None,
        "address of the platform's service, http://IP:PORT",
    ),
    opt("callers", None, "address that serves callers, IP:PORT"),
    opt("peer", None, "address that serves other entries, IP:PORT"),
    opt(
        "peer-public",
        Some(""),
        "address under which other entries reach --peer, IP:PORT",
    ),
    opt("ops", None, "address that serves operators, IP:PORT"),
    opt(
        "seeds",
        Some(""),
        "peer addresses of entries to try first, IP:PORT,IP:PORT",
    ),
    opt(
        "source",
        Some(""),
        "address that connections are made from, IP; that of --callers",
    ),
    opt(
        "platform-wait",
        Some("5s"),
        "time in which the platform must answer",
    ),
    opt(
        "heartbeat",
        Some("50ms"),
        "time between heartbeats to other entries",
    ),
    opt(
        "silence",
        Some("250ms"),
        "silence after which another entry counts as lost",
    ),
    opt(
        "lame-duck",
        Some("1s"),
        "time between not being ready and closing listeners",
    ),
    opt(
        "drain",
        Some("30s"),
        "longest time for requests in flight on shutdown",
    ),
    opt(
        "header-bytes",
        Some("32768"),
        "largest header section of a request, bytes",
    ),
    opt(
        "header-wait",
        Some("10s"),
        "time in which a header section must arrive",
    ),
    opt(
        "body-bytes",
        Some("67108864"),
        "largest body of a request, bytes",
    ),
    opt(
        "connections",
        Some("10000"),
        "connections of callers open at once",
    ),
    opt(
        "claim-every",
        Some("10ms"),
        "shortest time between two writes of a service's claims",
    ),
];

/// Returns the environment variable of a flag.
pub(crate) fn variable(flag: &str) -> String {
    format!("LENTILCART_{}", flag.replace('-', "_").to_uppercase())
}

/// Returns the text of `lentilcartd --help`.
#[must_use]
pub fn options_help() -> String {
    let mut text = String::from(
        "lentilcartd: the entry daemon of lentilcart\n\n\
         Usage: lentilcartd [--check] [--help] [--FLAG VALUE]...\n\n\
         Each setting is a flag or the environment variable beside it; the flag wins.\n\
         Times carry a unit: \"250ms\", \"2s\". A list is separated by commas.\n\n",
    );
    for option in &OPTIONS {
        let default = match option.default {
            None => "(required)".to_owned(),
            Some("") => "(none)".to_owned(),
            Some(value) => format!("[{value}]"),
        };
        let (flag, variable) = (option.flag, variable(option.flag));
        writeln!(
            text,
            "  --{flag:<14} {variable:<26} {}  {default}",
            option.help
        )
        .ok();
    }
    text + "\n  --check                                   check the settings and exit\n"
}

/// Collects the values of all settings and what is wrong with the command line.
pub(crate) fn read(
    args: Vec<OsString>,
    env: impl Fn(&str) -> Option<String>,
) -> (Vec<(&'static str, String)>, Vec<String>) {
    let mut args = Arguments::from_vec(args);
    let mut values = Vec::new();
    let mut faults = Vec::new();
    for option in &OPTIONS {
        let flag: &'static str = option.flag;
        let name: &'static str = Box::leak(format!("--{flag}").into_boxed_str());
        let given = match args.opt_value_from_str::<_, String>(name) {
            Ok(given) => given,
            Err(error) => {
                faults.push(format!("--{flag}: {error}"));
                continue;
            }
        };
        let value = given.or_else(|| env(&variable(flag)));
        match value.or_else(|| option.default.map(str::to_owned)) {
            Some(value) => values.push((flag, value)),
            None => faults.push(format!(
                "--{flag}: missing; give the flag or {}: {}",
                variable(flag),
                option.help
            )),
        }
    }
    for rest in args.finish() {
        faults.push(format!(
            "{}: unknown flag; see --help",
            rest.to_string_lossy()
        ));
    }
    (values, faults)
}
