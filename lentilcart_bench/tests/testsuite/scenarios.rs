use crate::script::run;

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
    claim_answers_lost
    claim_platform_down
    entry_killed_keyed
    entry_links_cut_keyed
    entry_new_platform_down
    entry_paused_keyed
    entry_stopped
    server_draining
    server_fails_fast
    server_listed_leaving
    ticket_answer_lost
    ticket_competing
    ticket_entry_cut
    ticket_entry_paused
    ticket_platform_down
    ticket_platform_slow
    ticket_watchers_cut
}
