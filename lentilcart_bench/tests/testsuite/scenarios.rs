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
    ticket_answer_lost
    ticket_competing
}
