//! Logs: one line of key=value pairs an event, written off the request's path.
//!
//! Lines go through a bounded queue to a thread that writes them to standard
//! output. When the queue is full the line is dropped and counted.

use std::fmt::Write as _;
use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, SystemTime};

use log::{Level, LevelFilter, Log, Metadata, Record};

/// Texts of one or more lines that may wait to be written.
const QUEUE: usize = 16 * 1024;
/// Lines wait this long for others to be written with: each wake-up of the writing
/// thread and each write costs some ten microseconds.
const LINGER: Duration = Duration::from_millis(20);
/// Longest wait for the last lines to be written when the process ends.
const FLUSH: Duration = Duration::from_millis(200);
/// Target of lines about routing and placement decisions.
pub const DECISION: &str = "decision";

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped so far because the queue was full.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// The queue of the logger that was started, if one was.
static QUEUED: OnceLock<SyncSender<Text>> = OnceLock::new();

/// What goes to the writing thread.
enum Text {
    /// Whole lines.
    Lines(String),
    /// Asks to be told when all before it is written.
    Flush(SyncSender<()>),
}

struct Queue {
    tx: SyncSender<Text>,
}

/// Hands lines to the writing thread, or counts them as dropped.
fn queue(tx: &SyncSender<Text>, text: String, lines: u64) {
    if let Err(TrySendError::Full(_)) = tx.try_send(Text::Lines(text)) {
        DROPPED.fetch_add(lines, Ordering::Relaxed);
    }
}

/// Logs several lines of one moment, which takes a third of what they take one by one.
pub fn info_lines<'a>(lines: impl Iterator<Item = &'a str>) {
    if !log::log_enabled!(Level::Info) {
        return;
    }
    let Some(tx) = QUEUED.get() else {
        lines.for_each(|line| log::info!("{line}"));
        return;
    };
    let at = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
    let (mut text, mut count) = (String::new(), 0);
    for line in lines {
        // A string takes whatever is written to it.
        let _ = writeln!(text, "ts={at} level=info {line}");
        count += 1;
    }
    if count > 0 {
        queue(tx, text, count);
    }
}

/// Waits until the lines so far are written.
pub fn flush() {
    let (tx, done) = sync_channel(1);
    let asked = QUEUED.get().is_some_and(|q| q.try_send(Text::Flush(tx)).is_ok());
    if asked {
        // Without an answer the process ends without its last lines.
        let _ = done.recv_timeout(FLUSH);
    }
}

/// Writes what comes, for ever.
fn write_all(rx: Receiver<Text>) {
    let mut out = std::io::BufWriter::new(std::io::stdout());
    while let Ok(first) = rx.recv() {
        let mut waiting = Vec::new();
        write_one(&mut out, first, &mut waiting);
        if waiting.is_empty() {
            std::thread::sleep(LINGER);
        }
        for text in rx.try_iter() {
            write_one(&mut out, text, &mut waiting);
        }
        let _ = out.flush();
        for tx in waiting {
            // Who has given up waiting needs no answer.
            let _ = tx.try_send(());
        }
    }
}

fn write_one(out: &mut impl Write, text: Text, waiting: &mut Vec<SyncSender<()>>) {
    match text {
        Text::Lines(lines) => drop(out.write_all(lines.as_bytes())),
        Text::Flush(tx) => waiting.push(tx),
    }
}

impl Log for Queue {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        queue(&self.tx, format!("{}\n", record.args()), 1);
    }

    fn flush(&self) {}
}

/// Starts logging at a level; a second call in one process changes nothing.
pub fn start(level: LevelFilter) {
    let (tx, rx) = sync_channel(QUEUE);
    std::thread::spawn(move || write_all(rx));
    let queue: Box<dyn Log> = Box::new(Queue { tx: tx.clone() });
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
    // A second logger is not used, nor is its queue.
    let _ = QUEUED.set(tx);
}
