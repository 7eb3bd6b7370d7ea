//! Errors of the daemon and of its settings.

use quick_error::quick_error;

quick_error! {
    /// Errors in the settings, or in reading them.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum SettingsError {
        /// Settings that are missing, not valid or cannot be read; one message each.
        Invalid(messages: Vec<String>) {
            display("{}", messages.join("\n"))
        }
    }
}

quick_error! {
    /// Errors that keep the daemon from starting.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum DaemonError {
        /// A listener cannot be bound to the address of a setting, named as users write it.
        Listen(setting: &'static str, address: std::net::SocketAddr, source: std::io::Error) {
            source(source)
            display("{setting} {address}: cannot listen: {source}; choose a free address of this host")
        }
        /// The handlers of signals cannot be installed.
        Signal(source: std::io::Error) {
            source(source)
            display("cannot receive signals: {source}")
        }
    }
}
