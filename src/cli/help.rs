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
  new SERVICE...     print a ticket file with the state in force of these services
  diff A B           compare two tickets, by number or file
  show [NUMBER]      show a ticket, or the state in force
  status             show the ticket in force at every entry
  served [SERVICE]   show every server with what each entry knows of it
  watch              follow the highest ticket number in force, and at how many entries it is
  explain ID FILE... show what log files say about a request

Flags of the commands that call the platform (environment variable):
  --platform URL     address of the platform (LENTILCART_PLATFORM), http://IP:PORT; required
  --entries LIST     addresses at which entries serve operators (LENTILCART_ENTRIES),
                     IP:PORT,IP:PORT; by default those of the platform's host list
  --json             print JSON; ignored by new, and by show, which always prints JSON

Flag of all commands:
  --help             print the help of a command

These do not call the platform: explain, which takes neither --platform, --entries nor --json,
and submit --check and diff of two files, which do not require --platform.

Exit codes: 0 success, 1 rejected or failed, 2 usage error
";

const EXPLAIN: &str = "\
Usage: lentilcart explain ID FILE...

Reads log files of one or more processes and prints, in order of time, every line that names the
request. Before each line come the state messages of its process since the previous one, the latest
of each kind, marked with `before:`. Lines may have text before their JSON.
";

const SUBMIT: &str = "\
Usage: lentilcart submit FILE [--id ID] [--check] [--wait TIME]

Checks a ticket as a whole, submits it, and waits until every entry has it, or a later one, in
force. If that takes longer than --wait, the ticket stays accepted and the exit code is 1.

  --id ID      id of the submission [random]; give the id of an earlier submission whose outcome is
               not known to repeat it safely
  --check      check the file and stop before anything is written
  --wait TIME  how long to wait for the entries [10s]; 0s returns after acceptance
";

const NEW: &str = "\
Usage: lentilcart new SERVICE...

Prints a ticket file whose `base` is the number of the latest ticket, with the state in force of
these services. A service that does not exist yet is written with an example server.
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

Prints for every entry the ticket in force. CONFIRMED is the time since the platform last answered
this entry, or another one whose heartbeat said so.
PEERS HEARD is the number of other entries whose last heartbeat is less than a second old.
Exits with 1 if an entry does not answer or entries disagree.
";

const SERVED: &str = "\
Usage: lentilcart served [SERVICE] [--json]

Prints each server with its state, its requests, answers, failures, latency,
and the time since its last answer. Of each entry, `waiting` is the number of queued requests and
`homes` are the owners of the service. A server is usable if it is `serving` or `ramping` at one entry
or more; a service is `up` if all its servers are usable, `DOWN` if none is, and otherwise `degraded`.
STATE is `disagree` if the entries differ; BY ENTRY then shows the state at each. RUNNING shows the
outstanding requests / the slots, MEAN the mean latency at the entry with the most recent answer, and
HEARD the time since that answer. Exits with 1 if an entry does not answer.
";

const WATCH: &str = "\
Usage: lentilcart watch [--seconds N]

Prints the highest ticket number in force at any entry, and at how many of all entries it is in
force, whenever this line changes.

  --seconds N  stop after this number of seconds [0: never]
";
