//! Large uploads at once beside small requests, against one entry that runs as a gateway in a process of its
//! own: the peak of its memory, what is served, and the latency of the small requests.

mod caller;
mod entry;
mod server;
mod upload_run;

pub(crate) use self::entry::Entry;
pub use self::upload_run::{UploadOptions, UploadRow, measure_uploads};
