//! The list of workers, as it changes.

use std::collections::{HashMap, HashSet};

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{Event, WorkerInfo};
use workswood_platform::jobs::KeyedRecord;

use super::topic_reader::TopicUpdate;

/// Workers that are listed, by their names.
#[derive(Debug, Default)]
pub struct WorkerList {
    listed: HashMap<String, WorkerId>,
}

impl WorkerList {
    /// Takes in what was heard of the list; returns what that means to the scheduler. An entry
    /// that can't be read names no worker, whatever it said before.
    pub fn take(
        &mut self,
        heard: TopicUpdate,
        read: impl Fn(&KeyedRecord) -> Result<WorkerInfo, String>,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        let records = match heard {
            TopicUpdate::Reset(records) => {
                let here: HashSet<&str> = records.iter().map(|r| r.key.as_str()).collect();
                let gone: Vec<String> =
                    self.listed.keys().filter(|k| !here.contains(k.as_str())).cloned().collect();
                events.extend(gone.iter().filter_map(|key| self.unlist(key)));
                records
            }
            TopicUpdate::Changes(records) => records,
        };
        for rec in &records {
            events.extend(self.take_one(rec, &read));
        }
        events
    }

    fn take_one(
        &mut self,
        rec: &KeyedRecord,
        read: impl Fn(&KeyedRecord) -> Result<WorkerInfo, String>,
    ) -> Option<Event> {
        if rec.value.is_none() {
            return self.unlist(&rec.key);
        }
        match read(rec) {
            Ok(info) => self.list(&rec.key, info),
            Err(e) => {
                log::error!("event=worker_not_read code=203 worker={} error=\"{e}\"", rec.key);
                self.unlist(&rec.key)
            }
        }
    }

    /// Takes an entry in, unless a later life of the same worker is listed: then it comes late.
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
