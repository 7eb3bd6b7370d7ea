use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether the requests of a route may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestClass {
    /// Requests may run more than once: they may be retried and hedged.
    Idempotent,
    /// Requests run at most once.
    Once,
}

impl RequestClass {
    /// Returns the name used in tickets and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::Once => "once",
        }
    }
}

impl fmt::Display for RequestClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
