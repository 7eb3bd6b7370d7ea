use lentilcart_util::{DurationText, Micros, Name};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::RequestClass;

/// Route of a ticket: requests of a service that share a class, a priority and a deadline.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Host that a request must name; empty for any host.
    pub host: Name,
    /// Prefix of the request's path, matched by whole segments: `/a` matches `/a` and `/a/b`, not
    /// `/ab`.
    pub path: Name,
    /// Methods that a request may have; empty for any method.
    pub methods: Vec<Name>,
    /// Whether requests may run more than once.
    pub class: RequestClass,
    /// Priority from 0 to 9; requests with a higher one are dispatched first.
    pub priority: u8,
    /// Longest time from a request's arrival to the end of its response.
    #[serde_as(as = "DurationText")]
    pub deadline: Micros,
}

impl Route {
    /// Returns whether a request with this host, path and method matches the route.
    ///
    /// `host` is compared as a whole, so it must be without its port, and without regard to case;
    /// the method is compared exactly.
    #[must_use]
    pub fn is_match(&self, host: &str, path: &str, method: &str) -> bool {
        (self.host.is_empty() || self.host.eq_ignore_ascii_case(host))
            && self.is_path_match(path)
            && (self.methods.is_empty() || self.methods.iter().any(|m| &**m == method))
    }

    /// Returns a key that orders routes by how specific they are: whether the route names a host,
    /// the length of its path prefix in bytes, and whether it names methods.
    ///
    /// The matching route with the greatest key serves a request.
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
