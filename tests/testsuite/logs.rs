use std::io::Write;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

use lentilcart::LogSink;

/// An output whose writes block until a message is sent or the sender is dropped.
struct BlockedOutput {
    release: std::sync::mpsc::Receiver<()>,
    lines: Sender<Vec<u8>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.release.recv().ok();
        self.lines.send(bytes.to_vec()).ok();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// An output that takes no lines must neither block the code that logs nor let the buffer grow without bound.
#[test]
fn write_to_blocked_output_drops_lines_and_returns() {
    let (release, released) = channel();
    let (lines, written) = channel();
    let out = BlockedOutput {
        release: released,
        lines,
    };
    let (mut sink, writer) = LogSink::start(out).unwrap();
    let line = vec![b'x'; 1024];
    // 64 MB, of which half a MB fits into the buffer while the output holds the first lines.
    for _ in 0..65_536 {
        sink.write_all(&line).unwrap();
    }
    drop(release);
    writer.stop(Duration::from_secs(10));
    let bytes: Vec<u8> = written.iter().flatten().collect();
    assert!(bytes.len() < 2 * 1024 * 1024, "{}", bytes.len());
    let text = String::from_utf8(bytes).unwrap();
    assert!(text.contains("log lines dropped"));
}

/// The last lines before the process ends say why it ends, and must not be lost.
#[test]
fn stop_writes_buffered_lines() {
    let (release, released) = channel();
    let (lines, written) = channel();
    drop(release);
    let out = BlockedOutput {
        release: released,
        lines,
    };
    let (mut sink, writer) = LogSink::start(out).unwrap();
    sink.write_all(b"last\n").unwrap();
    writer.stop(Duration::from_secs(10));
    let bytes: Vec<u8> = written.iter().flatten().collect();
    assert_eq!(bytes, b"last\n");
}
