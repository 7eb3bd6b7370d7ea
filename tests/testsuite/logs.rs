use std::io::Write;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

use lentilcart::LogSink;

/// An output that takes a line only when it is told to.
struct Full {
    release: std::sync::mpsc::Receiver<()>,
    lines: Sender<Vec<u8>>,
}

impl Write for Full {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.release.recv().ok();
        self.lines.send(bytes.to_vec()).ok();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn write_to_full_output_neither_waits_nor_grows() {
    let (release, held) = channel();
    let (lines, written) = channel();
    let out = Full {
        release: held,
        lines,
    };
    let (mut sink, writer) = LogSink::start(out).unwrap();
    let line = vec![b'x'; 1024];
    // 64 MB, of which half a MB fits beside what the output holds.
    for _ in 0..65_536 {
        sink.write_all(&line).unwrap();
    }
    drop(release);
    writer.stop(Duration::from_secs(10));
    let all: Vec<u8> = written.iter().flatten().collect();
    assert!(all.len() < 2 * 1024 * 1024, "{}", all.len());
    let text = String::from_utf8(all).unwrap();
    assert!(text.contains("log lines dropped"));
}

#[test]
fn stop_writes_what_waits() {
    let (release, held) = channel();
    let (lines, written) = channel();
    drop(release);
    let out = Full {
        release: held,
        lines,
    };
    let (mut sink, writer) = LogSink::start(out).unwrap();
    sink.write_all(b"last\n").unwrap();
    writer.stop(Duration::from_secs(10));
    let all: Vec<u8> = written.iter().flatten().collect();
    assert_eq!(all, b"last\n");
}
