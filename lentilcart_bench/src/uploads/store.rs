use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lentilcart_platform::{StoreHttpRequest, decode_call, encode_reply};
use lentilcart_state::{StoreCall, StoreItem, StoreReply};
use lentilcart_util::Name;

use crate::util::{ConnectionOptions, serve, text_response};

/// Revision of the items that the store begins with.
const REVISION: u64 = 1;

/// A stand-in of the platform's store, whose items stay as they are: watches end without a change.
pub(super) struct Store {
    items: Mutex<Vec<StoreItem>>,
}

impl Store {
    /// Creates a store with items.
    pub(super) fn new(items: impl IntoIterator<Item = (Name, Vec<u8>)>) -> Self {
        let items = items.into_iter().map(|(key, value)| StoreItem {
            key,
            value,
            revision: REVISION,
        });
        Self {
            items: Mutex::new(items.collect()),
        }
    }

    /// Serves calls until the task is dropped.
    pub(super) async fn serve(self: Arc<Self>, address: SocketAddr) -> std::io::Result<()> {
        let service = move |_: SocketAddr, request| {
            let store = self.clone();
            async move { store.answer(request).await }
        };
        serve(
            address,
            ConnectionOptions::default(),
            Arc::default(),
            service,
        )
        .await
    }

    /// Answers a call, or cuts the connection if it cannot be read.
    async fn answer(&self, request: Request<Incoming>) -> Option<Response<Full<Bytes>>> {
        let (parts, body) = request.into_parts();
        let method = ["GET", "POST", "PUT", "DELETE"]
            .into_iter()
            .find(|method| parts.method == *method)?;
        let request = StoreHttpRequest {
            method,
            path: parts.uri.path_and_query()?.to_string(),
            body: body.collect().await.ok()?.to_bytes().into(),
        };
        let reply = match decode_call(&request) {
            Ok(call) => self.execute(call).await,
            Err(error) => {
                return Some(text_response(StatusCode::BAD_REQUEST, error.to_string()));
            }
        };
        let (status, body) = encode_reply(&reply);
        Some(text_response(StatusCode::from_u16(status).ok()?, body))
    }

    async fn execute(&self, call: StoreCall) -> StoreReply {
        match call {
            StoreCall::List { prefix, .. } => {
                let items = self.items.lock().expect("no panic under lock");
                let items = items.iter().filter(|item| item.key.starts_with(&*prefix));
                StoreReply::Page {
                    items: items.cloned().collect(),
                    more: false,
                    revision: REVISION,
                }
            }
            StoreCall::Watch { max_wait, .. } => {
                tokio::time::sleep(Duration::from(max_wait)).await;
                StoreReply::Events {
                    events: Vec::new(),
                    revision: REVISION,
                }
            }
            StoreCall::Write { .. } => StoreReply::Written(REVISION),
            StoreCall::OpenLease(_) => StoreReply::LeaseOpened(1),
            StoreCall::RenewLease(_) | StoreCall::EndLease(_) => StoreReply::LeaseUpdated,
        }
    }
}
