/// Returns the help of a command, or the overview.
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
lentilcart: submits change tickets and reads back what is in force and what is served

Usage: lentilcart COMMAND [FLAG VALUE]...

Commands:
  submit FILE        check a ticket and submit it
  new SERVICE...     write a ticket file with the state in force of these services
  diff A B           compare two tickets, by number or file
  show [NUMBER]      show a ticket, or the state in force
  status             show the ticket in force at every entry
  served [SERVICE]   show every server as each entry sees it
  watch              show each new ticket until it is in force everywhere
  explain ID FILE... tell the story of a request out of log files

Flags of all commands (environment variable):
  --platform URL     platform's service (LENTILCART_PLATFORM), http://IP:PORT
  --entries LIST     operators' addresses of entries (LENTILCART_ENTRIES), IP:PORT,IP:PORT;
                     by default those of the platform's host list
  --json             print JSON
  --help             print the help of a command

Exit codes: 0 done, 1 refused or failed, 2 misused
";

const EXPLAIN: &str = "\
Usage: lentilcart explain ID FILE...

Reads log files of one or more processes and prints, in order of time, every line that names the
request, with what each process believed when it first met it. Lines may have text before their JSON.
";

const SUBMIT: &str = "\
Usage: lentilcart submit FILE [--id ID] [--check] [--wait TIME]

Checks a ticket as a whole, submits it, and waits until every entry has it in force.

  --id ID      settle an earlier submission whose end is not known, under its id
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

Compares two tickets, each a number or a file. One line a difference:
+ added, - removed, ~ changed.
";

const SHOW: &str = "\
Usage: lentilcart show [NUMBER]

Prints the ticket of a number as JSON, or without one the whole state in force.
";

const STATUS: &str = "\
Usage: lentilcart status [--json]

Prints for every entry the ticket in force and how long ago the platform confirmed it.
Exits with 1 where an entry does not answer or entries disagree.
";

const SERVED: &str = "\
Usage: lentilcart served [SERVICE] [--json]

Prints each server with its state in each entry's view, its requests, answers, failures,
latency, and the age of each fact.
";

const WATCH: &str = "\
Usage: lentilcart watch [--seconds N]

Prints a line for each new ticket with the entries that have it in force.

  --seconds N  stop after so many seconds [0: never]
";
