use crate::script::run;

/// Defines a test for each script of the folder `scenarios`, under the name of the script.
macro_rules! scenario {
    ($($name:ident)*) => {
        $(
            #[test]
            fn $name() {
                run(stringify!($name));
            }
        )*
    };
}

scenario! {
    claim_lost_answers_run_once
    claim_platform_down_rejects_keyed
    entry_killed_runs_once
    entry_links_cut_runs_once
    entry_started_without_platform
    entry_paused_runs_once
    entry_stopped_cuts_nothing
    server_draining_gets_no_work
    server_failing_fast_is_avoided
    server_listed_leaving_gets_no_work
    ticket_lost_answer_is_settled
    ticket_competing_one_wins
    ticket_reaches_cut_entry
    ticket_paused_entry_never_reverts
    ticket_spreads_without_platform
    ticket_spreads_with_slow_platform
    ticket_spreads_past_cut_watchers
}
