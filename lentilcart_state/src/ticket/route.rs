use lentilcart_util::{DurationText, Micros, Name};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::RequestClass;

/// Requests of a service that share a class, a priority and a deadline.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Host that a request must name; any where empty.
    pub host: Name,
    /// Prefix of the request's path.
    pub path: Name,
    /// Methods that match; all where empty.
    pub methods: Vec<Name>,
    /// Whether requests may run more than once.
    pub class: RequestClass,
    /// Priority from 0 to 9; a higher one is served first.
    pub priority: u8,
    /// Time from a request's arrival to the end of its answer.
    #[serde_as(as = "DurationText")]
    pub deadline: Micros,
}

impl Route {
    /// Returns whether a request matches.
    #[must_use]
    pub fn is_match(&self, host: &str, path: &str, method: &str) -> bool {
        (self.host.is_empty() || self.host.eq_ignore_ascii_case(host))
            && self.is_path_match(path)
            && (self.methods.is_empty() || self.methods.iter().any(|m| &**m == method))
    }

    /// Returns how specific the route is; the most specific match serves a request.
    #[must_use]
    pub fn get_specificity(&self) -> (bool, usize, bool) {
        (
            !self.host.is_empty(),
            self.path.len(),
            !self.methods.is_empty(),
        )
    }

    fn is_path_match(&self, path: &str) -> bool {
        match path.strip_prefix(&*self.path) {
            Some(rest) => rest.is_empty() || rest.starts_with('/') || self.path.ends_with('/'),
            None => false,
        }
    }
}
