//! Small fakes for the test suite.
//!
//! * [`advised_world`] is one scheduler whose queue has advice, event by event.
//! * [`cut`] is a relay that can be cut.
//! * [`files`] makes small fleet files.
//! * [`log`] is a log in memory with readers that lag.
//! * [`one`] is one planner, round by round.
//! * [`platform`] is a platform on injected time, without sockets.
//! * [`history`] draws random histories of planners against that platform.
//! * [`job_node`] is settings of a process that runs jobs.
//! * [`job_world`] is workers, a store and lease holders on injected time.
//! * [`keys`] draws random schedules of requests that may not be repeated.
//! * [`live`] starts entries over sockets.
//! * [`host_world`] is one scheduler with hosts, event by event.
//! * [`turn_store`] is a store that takes appends in turn, on the test's clock.

pub mod advised_world;
pub mod cut;
pub mod files;
pub mod history;
pub mod host_world;
pub mod job_entry;
pub mod job_node;
pub mod job_world;
pub mod keys;
pub mod live;
pub mod log;
pub mod one;
pub mod platform;
pub mod program;
pub mod turn_store;
