use std::sync::Arc;
use std::time::{Duration, Instant};

use lentilcart_route::get_policy_names;
use lentilcart_state::{
    AcceptedTicket, AppliedState, CatchUp, KvReply, KvRequest, NumberedTicket, SnapshotWriter,
    Ticket, TicketSubmission, number_key, parse_ticket, ticket_key,
};
use lentilcart_util::Name;
use pico_args::Arguments;

use super::context::{Context, flag, rest, span_flag};
use super::error::CliError;
use super::template::template;
use crate::ops::StatusView;
use crate::platform::run_protocol;
use crate::util::unix_millis;

const ATTEMPTS: u32 = 8;
const FORCE_WAIT: Duration = Duration::from_secs(10);
const POLL_EVERY: Duration = Duration::from_millis(50);

/// Checks and submits a ticket, and waits until it is in force.
pub(super) async fn submit(mut args: Arguments) -> Result<(), CliError> {
    let is_check = args.contains("--check");
    let id = flag(&mut args, "--id", "")?;
    let wait = span_flag(&mut args, "--wait", FORCE_WAIT)?;
    let context = if is_check {
        None
    } else {
        Some(Context::read(&mut args)?)
    };
    let files = rest(args)?;
    let [file] = &files[..] else {
        return Err(CliError::Usage(
            "submit takes one FILE; see lentilcart submit --help".into(),
        ));
    };
    let ticket = read_file(file)?;
    let Some(context) = context else {
        println!("{file}: valid");
        return Ok(());
    };
    let id = id.unwrap_or_else(new_id);
    let mut submit = TicketSubmission::new(id.into(), Arc::new(ticket), ATTEMPTS);
    let accepted = run_protocol(&context.platform, |reply| submit.step(reply)).await?;
    eprintln!("accepted as ticket {} ({})", accepted.number, accepted.id);
    compact(&context).await;
    let waited = if wait.is_zero() {
        Ok(())
    } else {
        wait_force(&context, &accepted, wait).await
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

/// Waits until every entry that answers has a ticket in force.
async fn wait_force(
    context: &Context,
    accepted: &AcceptedTicket,
    wait: Duration,
) -> Result<(), CliError> {
    let started = Instant::now();
    let mut shown = String::new();
    loop {
        let views = context.ask_entries::<StatusView>("/status").await?;
        let has = |view: &Result<StatusView, String>| {
            view.as_ref()
                .is_ok_and(|view| view.number >= accepted.number)
        };
        let there = views.iter().filter(|(_, view)| has(view)).count();
        let seconds = started.elapsed().as_secs_f64();
        let line = format!("in force at {there} of {} entries", views.len());
        if line != shown {
            eprintln!("{line}, {seconds:.1} s");
            shown = line;
        }
        match views.len() {
            0 => {
                return Err(CliError::Refused(
                    "accepted, but no entry is known".to_owned(),
                ));
            }
            all if there == all => return Ok(()),
            _ if started.elapsed() > wait => {
                let missing = views.iter().filter(|(_, view)| !has(view));
                let missing: Vec<String> = missing.map(|(at, _)| at.to_string()).collect();
                let missing = missing.join(", ");
                return Err(CliError::Refused(format!(
                    "accepted, but not yet in force after {seconds:.1} s at {missing}"
                )));
            }
            _ => tokio::time::sleep(POLL_EVERY).await,
        }
    }
}

/// Writes a snapshot where one is due; a failure only leaves the work to the next submitter.
async fn compact(context: &Context) {
    if let Ok(state) = context.get_state().await {
        let mut compact = SnapshotWriter::new(state);
        run_protocol(&context.platform, |reply| compact.step(reply))
            .await
            .ok();
    }
}

/// Prints a ticket file with the state in force of some services.
pub(super) async fn new(context: &Context, args: Arguments) -> Result<(), CliError> {
    let names = rest(args)?;
    if names.is_empty() {
        return Err(CliError::Usage("new takes at least one SERVICE".to_owned()));
    }
    let state = context.get_state().await?;
    print!("{}", template(&state, &names));
    Ok(())
}

/// Prints a ticket, or the state in force.
pub(super) async fn show(context: &Context, args: Arguments) -> Result<(), CliError> {
    let names = rest(args)?;
    let text = match &names[..] {
        [] => serde_json::to_string_pretty(&context.get_state().await?),
        [number] => {
            let number = parse_number(number)?;
            let ticket = get_ticket(context, number).await?;
            serde_json::to_string_pretty(&ticket)
        }
        _ => return Err(CliError::Usage("show takes at most one NUMBER".to_owned())),
    };
    println!("{}", text.expect("tickets have text keys"));
    Ok(())
}

/// Prints how two tickets differ.
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
    let sides = rest(args)?;
    let [a, b] = &sides[..] else {
        return Err(CliError::Usage(
            "diff takes two tickets, each a number or a file".to_owned(),
        ));
    };
    let mut tickets = Vec::new();
    for side in [a, b] {
        let ticket = match &context {
            Some(context) if is_number(side) => {
                let number = parse_number(side)?;
                get_ticket(context, number).await?.ticket
            }
            _ => Arc::new(read_file(side)?),
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

async fn get_ticket(context: &Context, number: u64) -> Result<NumberedTicket, CliError> {
    // The number of the latest ticket is recorded only when the next one is accepted.
    let mut follow = CatchUp::new(
        AppliedState {
            number: number - 1,
            ..AppliedState::default()
        },
        None,
    );
    let recorded = read_key(context, &number_key(number)).await?;
    if let Some(id) = recorded {
        let id = Name::from(id);
        let body = read_key(context, &ticket_key(&id))
            .await?
            .unwrap_or_default();
        let ticket: Ticket = serde_json::from_str(&body)
            .map_err(|error| CliError::Refused(format!("ticket {number}: {error}")))?;
        return Ok(NumberedTicket {
            number,
            id,
            ticket: Arc::new(ticket),
        });
    }
    let (_, tickets) = run_protocol(&context.platform, |reply| follow.step(reply)).await?;
    let found = tickets.into_iter().find(|ticket| ticket.number == number);
    found.ok_or_else(|| CliError::Refused(format!("ticket {number} does not exist")))
}

async fn read_key(context: &Context, key: &Name) -> Result<Option<String>, CliError> {
    match (context.platform.call_kv)(KvRequest::Get { key: key.clone() }).await {
        KvReply::Value(stored) => Ok(stored.map(|stored| stored.value)),
        KvReply::Lost(reason) => Err(CliError::Refused(reason)),
        other => Err(CliError::Refused(format!(
            "{key}: unexpected answer {other:?}"
        ))),
    }
}

fn read_file(file: &str) -> Result<Ticket, CliError> {
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|error| CliError::File(file.to_owned(), error))?;
    parse_ticket(&text, &get_policy_names())
        .map_err(|error| CliError::Ticket(file.to_owned(), error))
}

fn parse_number(text: &str) -> Result<u64, CliError> {
    let number = text.parse().ok().filter(|number| *number > 0);
    number.ok_or_else(|| CliError::Usage(format!("{text:?}: expected a ticket's number, from 1")))
}

fn new_id() -> String {
    format!("t{:x}-{:08x}", unix_millis(), rand::random::<u32>())
}
