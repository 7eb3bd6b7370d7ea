use std::net::SocketAddr;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::{Request, Response};
use lentilcart_platform::HEADER_NAMES;
use lentilcart_state::RequestClass;

use super::gateway::{ActiveRoutes, Gateway};
use super::serve::{find_route, serve_by_routes};
use crate::http::{EarlyRequest, HttpBody, LookAhead, find_request_error};

/// Returns which requests that callers send ahead are started before their turn, and how: those of
/// idempotent routes whose services have room to spare, while this entry is not leaving.
pub(super) fn create_look_ahead(gateway: &Arc<Gateway>) -> LookAhead {
    let [for_overlap, for_start, for_leaving] = [(); 3].map(|()| gateway.clone());
    LookAhead {
        may_overlap: Box::new(move |request| {
            may_overlap(&for_overlap.get_active_routes(), request)
        }),
        start: Box::new(move |_: SocketAddr, request| start_early(&for_start, request)),
        is_leaving: Box::new(move || for_leaving.is_leaving()),
    }
}

/// Returns whether a request may run together with others of its connection: it is valid and its route is
/// idempotent.
fn may_overlap<B>(routes: &ActiveRoutes, request: &Request<B>) -> bool {
    let is_valid = find_request_error(request).is_none()
        && request.headers().contains_key(HEADER_NAMES.request_id);
    is_valid
        && find_route(routes, request).is_some_and(|route| route.class == RequestClass::Idempotent)
}

/// Returns whether the services of a request's route have room to spare. Otherwise callers that send ahead would
/// get a larger part of an overloaded service than those that wait for each answer.
fn has_spare_room<B>(routes: &ActiveRoutes, request: &Request<B>) -> bool {
    find_route(routes, request).is_some_and(|route| {
        route.services.iter().all(|weighted| {
            let dispatcher = routes.dispatchers.get(&weighted.service);
            dispatcher.is_some_and(|dispatcher| {
                dispatcher.read_pool(|pool| pool.has_spare_room(dispatcher.get_now()))
            })
        })
    })
}

/// Starts a request before its turn if it may overlap and its services have room to spare. It is served by the
/// version of the routes by which that was decided.
fn start_early(
    gateway: &Arc<Gateway>,
    request: EarlyRequest,
) -> Option<BoxFuture<'static, Response<HttpBody>>> {
    let routes = gateway.get_active_routes();
    let may_start = may_overlap(&routes, &request) && has_spare_room(&routes, &request);
    may_start.then(|| serve_by_routes(gateway.clone(), routes, request).boxed())
}
