use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Bytes of log lines that wait to be written at most.
const MOST_BYTES: usize = 512 * 1024;
/// Time between two writes; lines gather meanwhile.
const WRITE_EVERY: Duration = Duration::from_millis(100);

/// Takes log lines without waiting; a thread writes them out.
///
/// Lines that find no room are dropped and counted; the count is written as a line of its own.
#[derive(Debug, Clone)]
pub struct LogSink {
    waiting: Arc<Mutex<Waiting>>,
}

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
}

/// The thread that writes a sink's lines.
#[derive(Debug)]
pub struct LogWriter {
    stop: SyncSender<()>,
    thread: Option<JoinHandle<()>>,
}

impl LogSink {
    /// Creates a sink and starts its thread.
    ///
    /// # Errors
    ///
    /// Fails where the system gives no thread.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<(Self, LogWriter)> {
        let waiting = Arc::<Mutex<Waiting>>::default();
        let (stop, stopped) = sync_channel(1);
        let shared = waiting.clone();
        let thread = std::thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || run(&shared, out, &stopped))?;
        let writer = LogWriter {
            stop,
            thread: Some(thread),
        };
        Ok((Self { waiting }, writer))
    }
}

impl Write for LogSink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut waiting = self.waiting.lock().expect("no panic under lock");
        if waiting.bytes.len() + line.len() > MOST_BYTES {
            waiting.dropped += 1;
        } else {
            waiting.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogWriter {
    /// Writes what waits and ends the thread, unless the output takes nothing for `limit`.
    pub fn stop(mut self, limit: Duration) {
        self.stop.try_send(()).ok();
        let Some(thread) = self.thread.take() else {
            return;
        };
        let step = Duration::from_millis(5);
        let mut waited = Duration::ZERO;
        while !thread.is_finished() && waited < limit {
            std::thread::sleep(step);
            waited += step;
        }
        if thread.is_finished() {
            thread.join().ok();
        }
    }
}

fn run(waiting: &Mutex<Waiting>, mut out: impl Write, stopped: &Receiver<()>) {
    let mut is_last = false;
    while !is_last {
        is_last =
            stopped.recv_timeout(WRITE_EVERY) != Err(std::sync::mpsc::RecvTimeoutError::Timeout);
        let taken = std::mem::take(&mut *waiting.lock().expect("no panic under lock"));
        let mut bytes = taken.bytes;
        if taken.dropped > 0 {
            let dropped = taken.dropped;
            let line = serde_json::json!({ "level": "warn", "message": "log lines dropped", "count": dropped });
            bytes.extend_from_slice(format!("{line}\n").as_bytes());
        }
        // An output that fails takes no line that could say so.
        if out.write_all(&bytes).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
