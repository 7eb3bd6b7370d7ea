//! Scripts of the second review: each starts the daemons of a small deployment as separate processes, before stand-ins
//! of the platform's store, of servers and of clients, and checks one rule.
//!
//! `rig-2 CASE FOLDER` exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0`
//! it runs without the disruption.

mod ahead;
mod client;
mod cut;
mod daemon;
mod http;
mod json;
mod net;
mod quota;
mod record;
mod server;
mod store;

use std::path::Path;
use std::process::ExitCode;

use crate::record::Record;

/// What a case returns: whether the rule held, or why the case could not run.
pub type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: rig-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let work = std::env::temp_dir().join(format!("rig-2-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&work) {
        eprintln!("cannot make a temporary folder: {error}");
        return ExitCode::from(2);
    }
    let run = match case.as_str() {
        "ahead" => ahead::run,
        "cut" => cut::run,
        "quota" => quota::run,
        _ => {
            eprintln!("unknown case {case}");
            return ExitCode::from(2);
        }
    };
    let verdict = run(&work, &record, has_trouble);
    match &verdict {
        Ok(true) => record.tell("the rule held".to_owned()),
        Ok(false) => record.tell("the rule was broken".to_owned()),
        Err(reason) => record.tell(format!("the case could not run: {reason}")),
    }
    if let Err(error) = record.write(&Path::new(folder).join("record.txt")) {
        eprintln!("cannot write the record: {error}");
        return ExitCode::from(2);
    }
    if std::env::var_os("KEEP").is_none() {
        std::fs::remove_dir_all(&work).ok();
    }
    ExitCode::from(match verdict {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    })
}
