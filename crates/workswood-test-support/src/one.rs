//! One planner on the simulated platform, driven round by round.

use workswood_core::fleet::FleetFile;
use workswood_core::plan::{EntryReports, HostAction, ObservedFleet, decide, missing_actions};
use workswood_core::record::{Record, Role};

use crate::log::{Log, Process};
use crate::platform::Platform;

/// A planner with its log and its platform.
pub struct Fleet {
    /// The log.
    pub log: Log,
    /// The planner.
    pub p: Process,
    /// The platform.
    pub platform: Platform,
    /// Simulated Unix time in milliseconds.
    pub now: u64,
}

impl Fleet {
    /// Creates a planner and applies a file.
    pub fn new(file: &FleetFile) -> Fleet {
        let mut f = Fleet {
            log: Log::default(),
            p: Process::new("p"),
            platform: Platform::new(file),
            now: 1_000_000,
        };
        let take = Record::Take { role: Role::Planner, holder: "p".into(), term: 1, seen_renewals: 0 };
        f.p.append(&mut f.log, f.now, vec![take]);
        f.apply(file, 0);
        f
    }

    /// Applies a file on top of version `base`.
    pub fn apply(&mut self, file: &FleetFile, base: u64) {
        let file = Box::new(file.clone());
        let record = Record::Apply { change_id: format!("{base}"), base, author: "a".into(), file };
        assert_eq!(self.p.append(&mut self.log, self.now, vec![record]), [Ok(())]);
    }

    /// Lets the planner decide on an observed fleet; returns the host actions to carry out.
    pub fn decide(&mut self, observed: &ObservedFleet) -> Vec<HostAction> {
        let reports = EntryReports { folded_by_all: u64::MAX, ..EntryReports::default() };
        let records = decide(&self.p.state, observed, &reports, self.now, 1);
        if !records.is_empty() {
            self.p.append(&mut self.log, self.now, records);
        }
        missing_actions(&self.p.state, observed)
    }

    /// Advances time by a second; returns the observed fleet.
    pub fn tick(&mut self) -> ObservedFleet {
        self.now += 1_000;
        self.platform.tick(self.now);
        self.platform.list(0)
    }

    /// Runs rounds of a tick, a decision and its host actions.
    pub fn rounds(&mut self, n: usize) {
        for _ in 0..n {
            let observed = self.tick();
            for action in self.decide(&observed) {
                self.platform.act(&action, self.now);
            }
        }
    }
}
