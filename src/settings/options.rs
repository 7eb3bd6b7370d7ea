use std::ffi::OsString;
use std::fmt::Write;

use pico_args::Arguments;

/// A flag of the daemon, with its default value and description.
pub(crate) struct OptionSpec {
    /// Flag without its dashes.
    pub(crate) flag: &'static str,
    /// Default value; `None` if the setting is required, empty if it may be left out.
    pub(crate) default: Option<&'static str>,
    /// Description in the text of `--help`.
    pub(crate) help: &'static str,
}

const fn option(
    flag: &'static str,
    default: Option<&'static str>,
    help: &'static str,
) -> OptionSpec {
    OptionSpec {
        flag,
        default,
        help,
    }
}

/// Every setting of an entry.
pub(crate) const OPTIONS: [OptionSpec; 19] = [
    option("name", None, "name of this host, unique among the entries"),
    option("data-center", None, "data centre that this host stands in"),
    option("platform", None, "address of the platform, http://IP:PORT"),
    option("callers", None, "address that serves callers, IP:PORT"),
    option("peer", None, "address that serves other entries, IP:PORT"),
    option(
        "peer-public",
        Some(""),
        "address under which other entries reach --peer, IP:PORT; by default that of --peer",
    ),
    option("ops", None, "address that serves operators, IP:PORT"),
    option(
        "seeds",
        Some(""),
        "peer addresses of entries to try first, IP:PORT,IP:PORT",
    ),
    option(
        "source",
        Some(""),
        "address that connections are made from, IP; by default that of --callers",
    ),
    option(
        "platform-wait",
        Some("5s"),
        "time within which the platform must answer",
    ),
    option(
        "heartbeat",
        Some("50ms"),
        "time between heartbeats to other entries",
    ),
    option(
        "silence",
        Some("250ms"),
        "time without a heartbeat after which another entry counts as lost",
    ),
    option(
        "lame-duck",
        Some("1s"),
        "time between reporting not ready and closing the listeners",
    ),
    option(
        "drain",
        Some("30s"),
        "time within which requests in flight must finish on shutdown",
    ),
    option(
        "header-bytes",
        Some("32768"),
        "largest header section of a request, bytes",
    ),
    option(
        "header-wait",
        Some("10s"),
        "time within which a header section must arrive",
    ),
    option(
        "body-bytes",
        Some("67108864"),
        "largest body of a request, bytes",
    ),
    option(
        "connections",
        Some("10000"),
        "largest number of connections of callers open at once",
    ),
    option(
        "claim-every",
        Some("10ms"),
        "shortest time between two writes of a service's claims of idempotency keys",
    ),
];

/// Returns the name of the environment variable of a flag.
pub(crate) fn get_variable_name(flag: &str) -> String {
    format!("LENTILCART_{}", flag.replace('-', "_").to_uppercase())
}

/// Returns the text of `lentilcartd --help`.
#[must_use]
pub fn options_help() -> String {
    let mut text = String::from(
        "lentilcartd: the daemon of lentilcart, which runs an entry or a gateway\n\n\
         Usage: lentilcartd [--check] [--help] [--FLAG VALUE]...\n\n\
         Each setting is a flag or the environment variable beside it; the flag wins.\n\
         Times carry a unit: \"250ms\", \"2s\". A list is separated by commas.\n\n\
         If LENTILCART_SETTINGS names a settings file, a gateway is run with that file, and all flags\n\
         but --check and --help are ignored.\n\n",
    );
    for option in &OPTIONS {
        let default = match option.default {
            None => "(required)".to_owned(),
            Some("") => "(optional)".to_owned(),
            Some(value) => format!("[{value}]"),
        };
        let (flag, variable) = (option.flag, get_variable_name(option.flag));
        writeln!(
            text,
            "  --{flag:<14} {variable:<26} {}  {default}",
            option.help
        )
        .ok();
    }
    text + "\n  --check                                   check the settings and exit\n"
}

/// Reads the values of all settings from arguments, environment variables and defaults.
///
/// Returns the flag and the value of each setting that has one, and the errors of the command line.
pub(crate) fn read_options(
    args: Vec<OsString>,
    env: impl Fn(&str) -> Option<String>,
) -> (Vec<(&'static str, String)>, Vec<String>) {
    let mut args = Arguments::from_vec(args);
    let mut values = Vec::new();
    let mut errors = Vec::new();
    for option in &OPTIONS {
        let flag: &'static str = option.flag;
        let name: &'static str = Box::leak(format!("--{flag}").into_boxed_str());
        let given = match args.opt_value_from_str::<_, String>(name) {
            Ok(given) => given,
            Err(error) => {
                errors.push(format!("--{flag}: {error}"));
                continue;
            }
        };
        let value = given.or_else(|| env(&get_variable_name(flag)));
        match value.or_else(|| option.default.map(str::to_owned)) {
            Some(value) => values.push((flag, value)),
            None => errors.push(format!(
                "--{flag}: missing; give the flag or {}: {}",
                get_variable_name(flag),
                option.help
            )),
        }
    }
    for rest in args.finish() {
        errors.push(format!(
            "{}: unknown flag; see --help",
            rest.to_string_lossy()
        ));
    }
    (values, errors)
}
