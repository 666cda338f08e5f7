//! Logging: one line of `key=value` pairs per event, written by a separate thread.
//!
//! Lines go through a bounded queue to a thread that writes them to standard output, so that
//! logging never blocks a request. Lines that do not fit into the queue are dropped and counted.

use std::fmt::Write as _;
use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, SystemTime};

use log::{Level, LevelFilter, Log, Metadata, Record};

/// Largest number of queued commands, each of which may contain several lines.
const QUEUE_CAPACITY: usize = 16 * 1024;
/// How long lines are collected before they are written together, to save wake-ups of the writer
/// thread and system calls.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Longest wait of [`flush`].
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Target of lines about routing and placement decisions.
pub const DECISION_TARGET: &str = "decision";

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of lines that were dropped because the queue was full.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// The queue of the logger, once [`start`] was called.
static QUEUE: OnceLock<SyncSender<Command>> = OnceLock::new();

/// A command to the writer thread.
enum Command {
    /// Write whole lines.
    Write(String),
    /// Reply once all earlier commands are done.
    Flush(SyncSender<()>),
}

struct QueueLogger {
    tx: SyncSender<Command>,
}

/// Passes lines to the writer thread, or counts them as dropped.
fn enqueue(tx: &SyncSender<Command>, lines: String, count: u64) {
    if let Err(TrySendError::Full(_)) = tx.try_send(Command::Write(lines)) {
        DROPPED_LINES.fetch_add(count, Ordering::Relaxed);
    }
}

/// Logs several lines with the same timestamp, which is cheaper than one by one.
pub fn info_lines<'a>(lines: impl Iterator<Item = &'a str>) {
    if !log::log_enabled!(Level::Info) {
        return;
    }
    let Some(tx) = QUEUE.get() else {
        lines.for_each(|line| log::info!("{line}"));
        return;
    };
    let timestamp = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
    let (mut text, mut count) = (String::new(), 0);
    for line in lines {
        // Writing to a string can't fail.
        let _ = writeln!(text, "ts={timestamp} level=info {line}");
        count += 1;
    }
    if count > 0 {
        enqueue(tx, text, count);
    }
}

/// Waits until all lines so far are written, or until a timeout.
pub fn flush() {
    let (tx, flushed) = sync_channel(1);
    let requested = QUEUE.get().is_some_and(|q| q.try_send(Command::Flush(tx)).is_ok());
    if requested {
        // After a timeout the process ends without its last lines.
        let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Runs the writer thread; returns when the queue is closed.
fn run_writer(rx: Receiver<Command>) {
    let mut out = std::io::BufWriter::new(std::io::stdout());
    while let Ok(first) = rx.recv() {
        let mut flushes = Vec::new();
        execute(&mut out, first, &mut flushes);
        if flushes.is_empty() {
            std::thread::sleep(BATCH_DELAY);
        }
        for command in rx.try_iter() {
            execute(&mut out, command, &mut flushes);
        }
        let _ = out.flush();
        for tx in flushes {
            // Sending fails if the caller has stopped waiting.
            let _ = tx.try_send(());
        }
    }
}

fn execute(out: &mut impl Write, command: Command, flushes: &mut Vec<SyncSender<()>>) {
    match command {
        Command::Write(lines) => drop(out.write_all(lines.as_bytes())),
        Command::Flush(tx) => flushes.push(tx),
    }
}

impl Log for QueueLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        enqueue(&self.tx, format!("{}\n", record.args()), 1);
    }

    fn flush(&self) {}
}

/// Starts logging at a level; further calls in the same process have no effect.
pub fn start(level: LevelFilter) {
    let (tx, rx) = sync_channel(QUEUE_CAPACITY);
    std::thread::spawn(move || run_writer(rx));
    let logger: Box<dyn Log> = Box::new(QueueLogger { tx: tx.clone() });
    let _ = fern::Dispatch::new()
        .level(level)
        .level_for("hyper", LevelFilter::Warn)
        .level_for("hyper_util", LevelFilter::Warn)
        .level_for("warp", LevelFilter::Off)
        .format(|out, message, record| {
            let timestamp = humantime::format_rfc3339_millis(SystemTime::now());
            out.finish(format_args!(
                "ts={timestamp} level={} {message}",
                record.level().as_str().to_ascii_lowercase()
            ));
        })
        .chain(logger)
        .apply();
    // Does nothing if there is a logger already.
    let _ = QUEUE.set(tx);
}
