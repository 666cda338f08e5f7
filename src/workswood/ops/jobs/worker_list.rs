//! Turns changes of the list of workers into events for the scheduler.

use std::collections::{HashMap, HashSet};

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{Event, WorkerInfo};
use workswood_platform::jobs::KeyedRecord;

use super::topic_reader::TopicUpdate;

/// Most records of one update that are logged because they can't be read; the others are counted.
const MAX_UNREAD_LINES: usize = 8;
/// Most characters of a name in such a line.
const MAX_NAME_CHARS: usize = 128;

/// The listed workers, by their keys in the list.
#[derive(Debug, Default)]
pub struct WorkerList {
    listed: HashMap<String, WorkerId>,
}

impl WorkerList {
    /// Applies records of the list and returns the events that follow. `parse` parses a record; if
    /// it fails, the worker of that record is no longer listed.
    pub fn apply(
        &mut self,
        change: TopicUpdate,
        parse: impl Fn(&KeyedRecord) -> Result<WorkerInfo, String>,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        let records = match change {
            TopicUpdate::Reset(records) => {
                let present: HashSet<&str> = records.iter().map(|r| r.key.as_str()).collect();
                let gone: Vec<String> =
                    self.listed.keys().filter(|k| !present.contains(k.as_str())).cloned().collect();
                events.extend(gone.iter().filter_map(|key| self.unlist(key)));
                records
            }
            TopicUpdate::Changes(records) => records,
        };
        let mut unread = 0;
        for rec in &records {
            events.extend(self.apply_record(rec, &parse, &mut unread));
        }
        if unread > MAX_UNREAD_LINES {
            log::error!("event=workers_not_read code=203 unread={unread} logged={MAX_UNREAD_LINES}");
        }
        events
    }

    /// Applies one record; `unread` counts those of the update that can't be read.
    fn apply_record(
        &mut self,
        rec: &KeyedRecord,
        parse: impl Fn(&KeyedRecord) -> Result<WorkerInfo, String>,
        unread: &mut usize,
    ) -> Option<Event> {
        if rec.value.is_none() {
            return self.unlist(&rec.key);
        }
        match parse(rec) {
            Ok(info) => self.list(&rec.key, info),
            Err(e) => {
                *unread += 1;
                if *unread <= MAX_UNREAD_LINES {
                    let name: String = rec.key.escape_default().take(MAX_NAME_CHARS).collect();
                    log::error!("event=worker_not_read code=203 worker={name} error=\"{e}\"");
                }
                self.unlist(&rec.key)
            }
        }
    }

    /// Lists a worker. A record of an earlier incarnation than the listed one was written late and
    /// is ignored.
    fn list(&mut self, key: &str, info: WorkerInfo) -> Option<Event> {
        if self.listed.get(key).is_some_and(|listed| listed.supersedes(&info.id)) {
            log::info!("event=worker_entry_late worker={}", info.id);
            return None;
        }
        self.listed.insert(key.to_string(), info.id.clone());
        Some(Event::WorkerListed(info))
    }

    fn unlist(&mut self, key: &str) -> Option<Event> {
        self.listed.remove(key).map(Event::WorkerUnlisted)
    }
}
