use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Largest size of the buffer, in bytes.
const MAX_BUFFER_BYTES: usize = 512 * 1024;
/// Time between two writes to the output; lines are buffered meanwhile.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// A log output that never blocks: it buffers lines, which a thread writes out.
///
/// Lines that do not fit into the buffer are dropped and counted; the count is written as a line of
/// its own. Each call of `write` must pass complete lines.
#[derive(Debug, Clone)]
pub struct LogSink {
    buffer: Arc<Mutex<Buffer>>,
}

/// Lines that are not written yet.
#[derive(Debug, Default)]
struct Buffer {
    /// Complete lines, each with its line break.
    bytes: Vec<u8>,
    /// Number of lines that were dropped since the last write.
    dropped: u64,
}

/// Handle of the thread that writes the lines of a sink.
#[derive(Debug)]
pub struct LogWriter {
    stop: SyncSender<()>,
    thread: Option<JoinHandle<()>>,
}

impl LogSink {
    /// Creates a sink and starts the thread that writes its lines to `out`.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<(Self, LogWriter)> {
        let buffer = Arc::<Mutex<Buffer>>::default();
        let (stop, stop_signal) = sync_channel(1);
        let shared = buffer.clone();
        let thread = std::thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || run(&shared, out, &stop_signal))?;
        let writer = LogWriter {
            stop,
            thread: Some(thread),
        };
        Ok((Self { buffer }, writer))
    }
}

impl Write for LogSink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = self.buffer.lock().expect("no panic under lock");
        if buffer.bytes.len() + line.len() > MAX_BUFFER_BYTES {
            buffer.dropped += 1;
        } else {
            buffer.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogWriter {
    /// Writes the buffered lines and ends the thread; gives up after `timeout` if the output does
    /// not take them.
    pub fn stop(mut self, timeout: Duration) {
        self.stop.try_send(()).ok();
        let Some(thread) = self.thread.take() else {
            return;
        };
        let step = Duration::from_millis(5);
        let mut waited = Duration::ZERO;
        while !thread.is_finished() && waited < timeout {
            std::thread::sleep(step);
            waited += step;
        }
        if thread.is_finished() {
            thread.join().ok();
        }
    }
}

/// Writes the lines of a sink at each interval until it is told to stop or the output fails.
fn run(buffer: &Mutex<Buffer>, mut out: impl Write, stop_signal: &Receiver<()>) {
    let mut is_last = false;
    while !is_last {
        is_last = stop_signal.recv_timeout(WRITE_INTERVAL)
            != Err(std::sync::mpsc::RecvTimeoutError::Timeout);
        let taken = std::mem::take(&mut *buffer.lock().expect("no panic under lock"));
        let mut bytes = taken.bytes;
        if taken.dropped > 0 {
            let dropped = taken.dropped;
            let line = serde_json::json!({ "level": "warn", "message": "log lines dropped", "count": dropped });
            bytes.extend_from_slice(format!("{line}\n").as_bytes());
        }
        // An output that fails cannot take a line that reports the failure either.
        if out.write_all(&bytes).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
