/// Returns the help text of a command, or the overview if there is no such command.
pub(super) fn help(command: &str) -> &'static str {
    match command {
        "submit" => SUBMIT,
        "new" => NEW,
        "diff" => DIFF,
        "show" => SHOW,
        "status" => STATUS,
        "served" => SERVED,
        "watch" => WATCH,
        "explain" => EXPLAIN,
        _ => OVERVIEW,
    }
}

const OVERVIEW: &str = "\
lentilcart: submits change tickets and shows what is in force and what is served

Usage: lentilcart COMMAND [FLAG VALUE]...

Commands:
  submit FILE        check a ticket and submit it
  new SERVICE...     write a ticket file with the state in force of these services
  diff A B           compare two tickets, by number or file
  show [NUMBER]      show a ticket, or the state in force
  status             show the ticket in force at every entry
  served [SERVICE]   show every server with what each entry knows of it
  watch              show each new ticket until it is in force everywhere
  explain ID FILE... show what log files say about a request

Flags of all commands (environment variable):
  --platform URL     platform's service (LENTILCART_PLATFORM), http://IP:PORT
  --entries LIST     operators' addresses of entries (LENTILCART_ENTRIES), IP:PORT,IP:PORT;
                     by default those of the platform's host list
  --json             print JSON
  --help             print the help of a command

Exit codes: 0 success, 1 rejected or failed, 2 usage error
";

const EXPLAIN: &str = "\
Usage: lentilcart explain ID FILE...

Reads log files of one or more processes and prints, in order of time, every line that names the
request. Before the first line of each process come its latest messages about its own state. Lines
may have text before their JSON.
";

const SUBMIT: &str = "\
Usage: lentilcart submit FILE [--id ID] [--check] [--wait TIME]

Checks a ticket as a whole, submits it, and waits until every entry has it in force.

  --id ID      repeat an earlier submission whose outcome is not known, under its id
  --check      check the file and stop before anything is written
  --wait TIME  how long to wait for the entries [10s]; 0s returns after acceptance
";

const NEW: &str = "\
Usage: lentilcart new SERVICE...

Prints a ticket file, written against the latest number, with the state in force of these
services. A service that does not exist yet is written with an example server.
";

const DIFF: &str = "\
Usage: lentilcart diff A B

Compares two tickets, each a number or a file. Prints one line for each difference:
+ added, - removed, ~ changed.
";

const SHOW: &str = "\
Usage: lentilcart show [NUMBER]

Prints the ticket of a number as JSON, or without one the whole state in force.
";

const STATUS: &str = "\
Usage: lentilcart status [--json]

Prints for every entry the ticket in force and how long ago the platform confirmed it.
Exits with 1 if an entry does not answer or entries disagree.
";

const SERVED: &str = "\
Usage: lentilcart served [SERVICE] [--json]

Prints each server with its state at each entry, its requests, answers, failures, latency,
and the time since its last answer.
";

const WATCH: &str = "\
Usage: lentilcart watch [--seconds N]

Prints a line for each new ticket with the entries that have it in force.

  --seconds N  stop after this number of seconds [0: never]
";
