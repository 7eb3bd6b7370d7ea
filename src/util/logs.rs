use std::io::Write;

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::Map;

use super::clock::unix_millis;
use super::log_sink::LogSink;

/// The fields of a log line; numbers stay numbers, all other values become text.
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match (value.to_u64(), value.to_f64()) {
            (Some(number), _) => number.into(),
            (None, Some(number)) => number.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// Installs a logger that writes JSON lines to standard error.
///
/// `RUST_LOG` sets the level, which is `info` by default; `name` is the field `process` of each
/// line. Later calls change nothing.
pub fn init_logs(name: &str) {
    create_builder(name).try_init().ok();
}

/// Installs a logger like [`init_logs`] that writes to a sink, so that logging never blocks.
pub fn init_logs_to(name: &str, sink: &LogSink) {
    let mut builder = create_builder(name);
    builder.target(env_logger::Target::Pipe(Box::new(sink.clone())));
    builder.try_init().ok();
}

fn create_builder(name: &str) -> env_logger::Builder {
    let name = name.to_owned();
    let env = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(env);
    builder.format(move |out, record| {
        let mut fields = Fields(Map::new());
        fields.0.insert("unix_ms".into(), unix_millis().into());
        fields.0.insert(
            "level".into(),
            record.level().as_str().to_lowercase().into(),
        );
        fields.0.insert("process".into(), name.clone().into());
        fields.0.insert("target".into(), record.target().into());
        fields
            .0
            .insert("message".into(), record.args().to_string().into());
        record.key_values().visit(&mut fields).ok();
        writeln!(out, "{}", serde_json::Value::Object(fields.0))
    });
    builder
}
