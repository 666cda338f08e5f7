//! Logs: one line of key=value pairs an event, written off the request's path.
//!
//! Lines go through a bounded queue to a thread that writes them to standard
//! output. When the queue is full the line is dropped and counted.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::SystemTime;

use log::{LevelFilter, Log, Metadata, Record};

/// Lines that may wait to be written.
const QUEUE: usize = 16 * 1024;
/// Target of lines about routing and placement decisions.
pub const DECISION: &str = "decision";

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped so far because the queue was full.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

struct Queue {
    tx: SyncSender<String>,
}

impl Log for Queue {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = format!("{}\n", record.args());
        if let Err(TrySendError::Full(_)) = self.tx.try_send(line) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Starts logging at a level; a second call in one process changes nothing.
pub fn start(level: LevelFilter) {
    let (tx, rx) = sync_channel::<String>(QUEUE);
    std::thread::spawn(move || {
        let mut out = std::io::BufWriter::new(std::io::stdout());
        while let Ok(line) = rx.recv() {
            let _ = out.write_all(line.as_bytes());
            for line in rx.try_iter() {
                let _ = out.write_all(line.as_bytes());
            }
            let _ = out.flush();
        }
    });
    let queue: Box<dyn Log> = Box::new(Queue { tx });
    let _ = fern::Dispatch::new()
        .level(level)
        .level_for("hyper", LevelFilter::Warn)
        .level_for("hyper_util", LevelFilter::Warn)
        .level_for("warp", LevelFilter::Off)
        .format(|out, message, record| {
            let at = humantime::format_rfc3339_millis(SystemTime::now());
            out.finish(format_args!(
                "ts={at} level={} {message}",
                record.level().as_str().to_ascii_lowercase()
            ));
        })
        .chain(queue)
        .apply();
}
