//! An in-memory log and processes that fold it at their own pace.

use workswood_core::fold::{RecordResult, State};
use workswood_core::ids::UnixMs;
use workswood_core::record::{Envelope, FORMAT_VERSION, Record};

/// An in-memory log.
#[derive(Default)]
pub struct Log {
    /// All envelopes, by offset.
    pub all: Vec<Envelope>,
}

/// A process that writes to the log and folds it.
pub struct Process {
    /// Incarnation of the process.
    pub id: String,
    /// State from the envelopes that the process has folded.
    pub state: State,
    seq: u64,
}

impl Process {
    /// Creates a process that has folded nothing.
    pub fn new(id: &str) -> Process {
        Process { id: id.to_string(), state: State::default(), seq: 0 }
    }

    /// Creates the next envelope of the process without appending it.
    pub fn envelope(&mut self, at: UnixMs, records: Vec<Record>) -> Envelope {
        self.seq += 1;
        Envelope {
            format_version: FORMAT_VERSION,
            sender: self.id.clone(),
            seq: self.seq,
            written_at: at,
            records,
        }
    }

    /// Folds up to `max` further envelopes.
    pub fn follow(&mut self, log: &Log, max: usize) {
        let from = self.state.next_offset as usize;
        for (i, env) in log.all.iter().enumerate().skip(from).take(max) {
            self.state.fold(i as u64, env);
        }
    }

    /// Appends records and folds the whole log; returns the result of each record.
    pub fn append(&mut self, log: &mut Log, at: UnixMs, records: Vec<Record>) -> Vec<RecordResult> {
        let env = self.envelope(at, records);
        self.follow(log, usize::MAX);
        log.all.push(env.clone());
        self.state.fold(log.all.len() as u64 - 1, &env)
    }
}
