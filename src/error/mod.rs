//! Errors of the daemon and its settings.

use quick_error::quick_error;

quick_error! {
    /// Faults of the settings, all of them at once.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum SettingsError {
        /// Settings that are missing or cannot be used; one line each.
        Faults(lines: Vec<String>) {
            display("{}", lines.join("\n"))
        }
    }
}

quick_error! {
    /// Errors that end the daemon.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum DaemonError {
        /// A listener cannot be opened.
        Listen(setting: &'static str, address: std::net::SocketAddr, source: std::io::Error) {
            source(source)
            display("--{setting} {address}: cannot listen: {source}; choose a free address of this host")
        }
        /// Signals cannot be received.
        Signal(source: std::io::Error) {
            source(source)
            display("cannot receive signals: {source}")
        }
    }
}
