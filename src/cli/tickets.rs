use std::sync::Arc;
use std::time::{Duration, Instant};

use lentilcart_route::get_policy_names;
use lentilcart_state::{
    AppliedState, CatchUp, KvReply, KvRequest, NumberedTicket, SnapshotWriter, SubmissionReceipt,
    Ticket, TicketSubmission, number_key, parse_ticket, ticket_key,
};
use lentilcart_util::Name;
use pico_args::Arguments;

use super::context::{Context, SharedFlags, read_duration_flag, read_flag, read_positionals};
use super::error::CliError;
use super::template::render_template;
use crate::ops::StatusView;
use crate::platform::run_protocol;
use crate::util::unix_millis;

/// Number of answers in a row that may be lost before a submission gives up.
const MAX_LOST_ANSWERS: u32 = 8;
/// Default time to wait until a ticket is in force at every entry.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);
/// Time between two queries of the entries while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Checks and submits a ticket, and waits until it is in force at every entry.
pub(super) async fn submit(mut args: Arguments) -> Result<(), CliError> {
    let is_check = args.contains("--check");
    let id = read_flag(&mut args, "--id", "")?;
    let wait = read_duration_flag(&mut args, "--wait", DEFAULT_WAIT)?;
    let flags = SharedFlags::read(&mut args)?;
    let json = flags.json;
    let context = if is_check {
        None
    } else {
        Some(Context::try_from(flags)?)
    };
    let files = read_positionals(args)?;
    let [file] = &files[..] else {
        return Err(CliError::Usage(
            "submit takes one FILE; see lentilcart submit --help".into(),
        ));
    };
    let ticket = read_ticket_file(file)?;
    let Some(context) = context else {
        if json {
            println!("{}", serde_json::json!({ "file": file, "valid": true }));
        } else {
            println!("{file}: valid");
        }
        return Ok(());
    };
    let id = id.unwrap_or_else(new_id);
    let mut submit = TicketSubmission::new(id.into(), Arc::new(ticket), MAX_LOST_ANSWERS);
    let accepted = run_protocol(&context.platform, |reply| submit.step(reply)).await?;
    eprintln!(
        "accepted as ticket {} (id {})",
        accepted.number, accepted.id
    );
    write_snapshot(&context).await;
    let waited = if wait.is_zero() {
        Ok(())
    } else {
        wait_until_in_force(&context, &accepted, wait).await
    };
    if context.json {
        let in_force = waited.is_ok() && !wait.is_zero();
        let (number, id) = (accepted.number, accepted.id);
        println!(
            "{}",
            serde_json::json!({ "number": number, "id": id, "in_force": in_force })
        );
    }
    waited
}

/// Waits until every known entry has the accepted ticket, or a later one, in force; fails with the
/// addresses of those that have not after `wait`.
async fn wait_until_in_force(
    context: &Context,
    accepted: &SubmissionReceipt,
    wait: Duration,
) -> Result<(), CliError> {
    let started = Instant::now();
    let mut shown = String::new();
    loop {
        let responses = context.query_entries::<StatusView>("/status").await?;
        let has_ticket = |response: &Result<StatusView, String>| {
            response
                .as_ref()
                .is_ok_and(|view| view.number >= accepted.number)
        };
        let in_force = responses.iter().filter(|(_, r)| has_ticket(r)).count();
        let seconds = started.elapsed().as_secs_f64();
        let line = format!("in force at {in_force} of {} entries", responses.len());
        if line != shown {
            eprintln!("{line}, {seconds:.1} s");
            shown = line;
        }
        match responses.len() {
            0 => {
                return Err(CliError::Failed(
                    "accepted, but no entry is known".to_owned(),
                ));
            }
            all if in_force == all => return Ok(()),
            _ if started.elapsed() > wait => {
                let missing = responses.iter().filter(|(_, r)| !has_ticket(r));
                let missing: Vec<String> = missing.map(|(at, _)| at.to_string()).collect();
                let missing = missing.join(", ");
                return Err(CliError::Failed(format!(
                    "accepted, but not yet in force after {seconds:.1} s at {missing}"
                )));
            }
            _ => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// Writes a snapshot if one is due; after a failure, the next submission writes it.
async fn write_snapshot(context: &Context) {
    if let Ok(state) = context.get_state().await {
        let mut writer = SnapshotWriter::new(state);
        run_protocol(&context.platform, |reply| writer.step(reply))
            .await
            .ok();
    }
}

/// Prints a ticket file with the state in force of the named services.
pub(super) async fn new(context: &Context, args: Arguments) -> Result<(), CliError> {
    let names = read_positionals(args)?;
    if names.is_empty() {
        return Err(CliError::Usage("new takes at least one SERVICE".to_owned()));
    }
    let state = context.get_state().await?;
    print!("{}", render_template(&state, &names));
    Ok(())
}

/// Prints a ticket, or the state in force if no number is given.
pub(super) async fn show(context: &Context, args: Arguments) -> Result<(), CliError> {
    let names = read_positionals(args)?;
    let text = match &names[..] {
        [] => serde_json::to_string_pretty(&context.get_state().await?),
        [number] => {
            let number = parse_number(number)?;
            let ticket = get_ticket(context, number).await?;
            serde_json::to_string_pretty(&ticket)
        }
        _ => return Err(CliError::Usage("show takes at most one NUMBER".to_owned())),
    };
    println!("{}", text.expect("the keys of all maps are strings"));
    Ok(())
}

/// Prints the differences between two tickets.
pub(super) async fn diff(mut args: Arguments) -> Result<(), CliError> {
    let is_number = |text: &String| text.chars().all(|c| c.is_ascii_digit());
    let json = args.clone().contains("--json");
    let context = match Context::read(&mut args) {
        Ok(context) => Some(context),
        Err(error) => {
            args.contains("--json");
            let all_files = args
                .clone()
                .finish()
                .iter()
                .all(|arg| !is_number(&arg.to_string_lossy().into_owned()));
            if !all_files {
                return Err(error);
            }
            None
        }
    };
    let positionals = read_positionals(args)?;
    let [a, b] = &positionals[..] else {
        return Err(CliError::Usage(
            "diff takes two tickets, each a number or a file".to_owned(),
        ));
    };
    let mut tickets = Vec::new();
    for word in [a, b] {
        let ticket = match &context {
            Some(context) if is_number(word) => {
                let number = parse_number(word)?;
                get_ticket(context, number).await?.ticket
            }
            _ => Arc::new(read_ticket_file(word)?),
        };
        tickets.push(ticket);
    }
    let lines = lentilcart_state::diff_tickets(&tickets[0], &tickets[1]);
    if json {
        println!("{}", serde_json::json!(lines));
    } else {
        println!("{}", lines.join("\n"));
    }
    Ok(())
}

/// Returns the accepted ticket with a number.
async fn get_ticket(context: &Context, number: u64) -> Result<NumberedTicket, CliError> {
    // The key of a number is written only when the next ticket is accepted; the latest
    // ticket has none yet and is found by catching up from the number before it.
    let mut catch_up = CatchUp::new(
        AppliedState {
            number: number - 1,
            ..AppliedState::default()
        },
        None,
    );
    let id = read_key(context, &number_key(number)).await?;
    if let Some(id) = id {
        let id = Name::from(id);
        let body = read_key(context, &ticket_key(&id))
            .await?
            .unwrap_or_default();
        let ticket: Ticket = serde_json::from_str(&body)
            .map_err(|error| CliError::Failed(format!("ticket {number}: {error}")))?;
        return Ok(NumberedTicket {
            number,
            id,
            ticket: Arc::new(ticket),
        });
    }
    let (_, tickets) = run_protocol(&context.platform, |reply| catch_up.step(reply)).await?;
    let found = tickets.into_iter().find(|ticket| ticket.number == number);
    found.ok_or_else(|| CliError::Failed(format!("ticket {number} does not exist")))
}

/// Returns the value of a key in the platform's store, if it has one.
async fn read_key(context: &Context, key: &Name) -> Result<Option<String>, CliError> {
    match (context.platform.call_kv)(KvRequest::Get { key: key.clone() }).await {
        KvReply::Value(stored) => Ok(stored.map(|stored| stored.value)),
        KvReply::Lost(reason) => Err(CliError::Failed(reason)),
        other => Err(CliError::Failed(format!(
            "{key}: unexpected reply {other:?}"
        ))),
    }
}

/// Reads and checks a ticket file.
fn read_ticket_file(file: &str) -> Result<Ticket, CliError> {
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|error| CliError::File(file.to_owned(), error))?;
    parse_ticket(&text, &get_policy_names())
        .map_err(|error| CliError::Ticket(file.to_owned(), error))
}

/// Parses the number of a ticket.
fn parse_number(text: &str) -> Result<u64, CliError> {
    let number = text.parse().ok().filter(|number| *number > 0);
    number.ok_or_else(|| CliError::Usage(format!("{text:?}: expected a ticket's number, from 1")))
}

/// Returns a random id for a ticket: `t`, the Unix time in milliseconds, and 32 random bits, both
/// in hexadecimal.
fn new_id() -> String {
    format!("t{:x}-{:08x}", unix_millis(), rand::random::<u32>())
}
