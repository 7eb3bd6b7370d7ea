//! Fault: many clients upload bodies of a size that is allowed at once, and the daemons exceed their memory.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http::read;
use crate::net::ip;
use crate::server::{Server, Setup};
use crate::world::{Route, World, ZONES};

const SERVICE: &str = "apartados";
/// Size of an upload; `maxBodyBytes` of the configuration is 67,108,864.
const BODY_BYTES: usize = 58_720_256;
/// `memoryMb` of the machine.
const MEMORY_MB: u64 = 650;
/// Uploads at once to each daemon, without and with a burst of 1.6 times as many.
const USUAL: u32 = 5;
const BURST: u32 = 8;
const WAVES: u32 = 12;
const WAVE_TIME: Duration = Duration::from_secs(7);
const DEADLINE: Duration = Duration::from_millis(6000);

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let route = Route {
        host: "hulo84.example",
        prefix: "/xapu221/",
        kind: "unsafe",
        service: SERVICE,
        other_service: "escaparate",
        timeout_ms: 6000,
        target_ms: 800,
    };
    let mut world = World::start(folder, &route, 6, |store, record| {
        for index in 0..8 {
            let zone = ZONES[index % 2];
            let setup = Setup {
                id: format!("i-{index}"),
                service: SERVICE.to_owned(),
                zone: zone.to_owned(),
                slots: 3,
                work: Duration::from_millis(66),
                repeats_misdirected: false,
                repeats_rejection_each: 0,
                tells_load: true,
                queue: 6,
                endless_each: 0,
            };
            let server = Server::start(SocketAddr::new(ip(50 + index as u8), 0), setup, record);
            store.put(&server.key(), &server.entry("ready", 1));
        }
    });
    let record = world.record.clone();
    let targets = world.callers();
    let count = if has_trouble { BURST } else { USUAL };
    let is_done = AtomicBool::new(false);
    let peaks = Mutex::new(vec![0; targets.len()]);
    let mut ends = vec![0; targets.len()];
    let answered = AtomicU32::new(0);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for wave in 0..WAVES {
                let end = Instant::now() + WAVE_TIME;
                std::thread::scope(|uploads| {
                    for target in &targets {
                        for number in 0..count {
                            let (record, answered) = (&record, &answered);
                            uploads.spawn(move || {
                                let id =
                                    format!("{:08x}{:04x}{wave:02x}{number:02x}", 0, target.port());
                                record.line(&format!("client uploads {id} to {target}"));
                                let status = upload(*target, &id);
                                record.line(&format!("client gets {status:?} to {id}"));
                                answered
                                    .fetch_add(u32::from(status == Some(200)), Ordering::SeqCst);
                            });
                        }
                    }
                });
                std::thread::sleep(end.saturating_duration_since(Instant::now()));
            }
            is_done.store(true, Ordering::SeqCst);
        });
        while !is_done.load(Ordering::SeqCst) {
            for (index, daemon) in world.daemons.iter_mut().enumerate() {
                let memory = daemon.memory_mb();
                let mut peaks = peaks.lock().unwrap();
                peaks[index] = peaks[index].max(memory);
                if memory > MEMORY_MB {
                    ends[index] += 1;
                    record.line(&format!("{} has {memory} MB and is killed", daemon.name));
                    daemon.kill();
                    std::thread::sleep(Duration::from_millis(500));
                    daemon.restart();
                    record.line(&format!("{} is started again", daemon.name));
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    });
    let peaks = peaks.lock().unwrap().clone();
    println!(
        "{} uploads at once to each daemon: peaks of {peaks:?} MB, killed {ends:?} times, {} of {} uploads answered",
        count,
        answered.load(Ordering::SeqCst),
        WAVES * count * targets.len() as u32
    );
    ends.iter().filter(|count| **count >= 3).count() >= 2
}

/// Uploads a body; returns the status of the answer.
fn upload(target: SocketAddr, id: &str) -> Option<u16> {
    let stream = TcpStream::connect_timeout(&target, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(DEADLINE)).ok()?;
    stream.set_write_timeout(Some(DEADLINE)).ok()?;
    let head = format!(
        "POST /xapu221/2f HTTP/1.1\r\nHost: hulo84.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\nContent-Length: {BODY_BYTES}\r\n\r\n",
        DEADLINE.as_millis()
    );
    let mut writer = &stream;
    writer.write_all(head.as_bytes()).ok()?;
    let chunk = vec![b'x'; 1 << 16];
    for _ in 0..BODY_BYTES / chunk.len() {
        writer.write_all(&chunk).ok()?;
    }
    let answer = read(&mut BufReader::new(stream), true).ok()??;
    answer.word(1).parse().ok()
}
