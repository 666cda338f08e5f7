//! One planner on a platform without sockets, round by round.

use workswood_core::fleet::FleetFile;
use workswood_core::plan::{EntryReports, HostAction, ObservedFleet, decide, missing_actions};
use workswood_core::record::{Record, Role};

use crate::log::{Log, Process};
use crate::platform::Platform;

/// A planner, its log and its platform.
pub struct Fleet {
    /// The log.
    pub log: Log,
    /// The planner.
    pub p: Process,
    /// The platform.
    pub platform: Platform,
    /// The time.
    pub now: u64,
}

impl Fleet {
    /// A planner with a file in force.
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

    /// Puts a file in force.
    pub fn apply(&mut self, file: &FleetFile, base: u64) {
        let file = Box::new(file.clone());
        let record = Record::Apply { change_id: format!("{base}"), base, author: "a".into(), file };
        assert_eq!(self.p.append(&mut self.log, self.now, vec![record]), [Ok(())]);
    }

    /// Decides on a list; returns the acts that follow, not carried out.
    pub fn decide(&mut self, seen: &ObservedFleet) -> Vec<HostAction> {
        let facts = EntryReports { folded_by_all: u64::MAX, ..EntryReports::default() };
        let records = decide(&self.p.state, seen, &facts, self.now, 1);
        if !records.is_empty() {
            self.p.append(&mut self.log, self.now, records);
        }
        missing_actions(&self.p.state, seen)
    }

    /// Lets a second pass; returns the list as it is then.
    pub fn tick(&mut self) -> ObservedFleet {
        self.now += 1_000;
        self.platform.tick(self.now);
        self.platform.list(0)
    }

    /// Decides and acts for some rounds.
    pub fn rounds(&mut self, n: usize) {
        for _ in 0..n {
            let seen = self.tick();
            for a in self.decide(&seen) {
                self.platform.act(&a, self.now);
            }
        }
    }
}
