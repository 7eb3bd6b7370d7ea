use lentilcart_util::Micros;

/// One planned request.
#[derive(Debug, Clone)]
pub struct Shot {
    /// Number, unique in the plan.
    pub id: u64,
    /// Arrival since the start of the run.
    pub at: Micros,
    /// Service, by its place in the firm.
    pub service: usize,
    /// Entry that it is sent to.
    pub entry: usize,
    /// Work of its first execution.
    pub work: Micros,
    /// Work of a further execution.
    pub again: Micros,
    /// Whether it is a straggler.
    pub straggler: bool,
    /// Bytes of its answer.
    pub size: usize,
    /// Whether it must run at most once.
    pub once: bool,
}

/// How a request ended, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer came and was its own.
    Answered,
    /// An answer came that was not whole or not its own.
    Wrong,
    /// It was told not to have run.
    NotRun,
    /// It was told that it may have run, or the connection was cut.
    Unknown,
}

/// What a caller saw of a request.
#[derive(Debug, Clone, Copy)]
pub struct Sight {
    /// How it ended.
    pub ending: Ending,
    /// Time from its planned arrival to its end.
    pub latency: Micros,
    /// The part of it that was not spent inside a server.
    pub outside: Micros,
}
