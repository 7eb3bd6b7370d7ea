use std::sync::Arc;

use lentilcart_state::{AppliedState, Route, Service};

/// Routes of the state in force, the most specific one first.
#[derive(Debug, Default)]
pub(crate) struct Router {
    routes: Vec<(Route, Arc<Service>)>,
}

impl Router {
    /// Builds the route table of a state.
    pub(crate) fn new(state: &AppliedState) -> Self {
        let services = state.services.values().map(|(_, service)| service);
        let each = |s: &Arc<Service>| s.routes.iter().map(|r| (r.clone(), s.clone())).collect();
        let mut routes: Vec<_> = services.flat_map(|s| -> Vec<_> { each(s) }).collect();
        routes.sort_by_key(|(route, _)| std::cmp::Reverse(route.get_specificity()));
        Self { routes }
    }

    /// Returns the most specific route that matches a host without port, a path and a method, and
    /// its service.
    pub(crate) fn find(
        &self,
        host: &str,
        path: &str,
        method: &str,
    ) -> Option<&(Route, Arc<Service>)> {
        self.routes
            .iter()
            .find(|(route, _)| route.is_match(host, path, method))
    }
}
