use lentilcart_state::{StateError, TicketFileError};
use quick_error::quick_error;

quick_error! {
    /// Errors of the command line.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum CliError {
        /// The arguments of the command are not valid.
        Usage(message: String) {
            display("{message}")
        }
        /// The ticket file has errors.
        Ticket(file: String, error: TicketFileError) {
            source(error)
            display("{file}: the ticket is not valid:\n{error}")
        }
        /// Reading or changing the state in the platform's store failed.
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
        /// The command was rejected, failed, or was carried out only in part.
        Failed(message: String) {
            display("{message}")
        }
    }
}

impl CliError {
    /// Returns the exit code: 2 for a usage error, 1 for any other error.
    #[must_use]
    pub fn get_exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            _ => 1,
        }
    }
}
