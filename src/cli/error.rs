use lentilcart_state::{StateError, TicketError};
use quick_error::quick_error;

quick_error! {
    /// Errors of the command line.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum CliError {
        /// The command line cannot be read.
        Usage(message: String) {
            display("{message}")
        }
        /// The ticket file has faults.
        Ticket(file: String, error: TicketError) {
            source(error)
            display("{file}: the ticket was not submitted:\n{error}")
        }
        /// The state's protocol ended with an error.
        State(error: StateError) {
            source(error)
            from()
            display("{error}")
        }
        /// A file cannot be read.
        File(file: String, error: std::io::Error) {
            source(error)
            display("{file}: {error}")
        }
        /// The command was carried out only in part, or refused.
        Refused(message: String) {
            display("{message}")
        }
    }
}

impl CliError {
    /// Returns the exit code: 1 where the command was refused, 2 where it was misused.
    #[must_use]
    pub fn get_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            _ => 1,
        }
    }
}
