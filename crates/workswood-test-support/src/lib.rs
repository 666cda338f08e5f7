//! Simulations and helpers for the test suite.
//!
//! * [`advised_world`] drives one scheduler whose queue has an adviser, event by event.
//! * [`crowd`] opens many connections of clients that don't end what they send.
//! * [`cut`] is a TCP proxy that injects faults.
//! * [`files`] builds small fleet files.
//! * [`log`] is an in-memory log with processes that fold it at their own pace.
//! * [`one`] drives one planner, round by round.
//! * [`platform`] simulates the platform on injected time, without sockets.
//! * [`history`] runs random histories of planners against that platform.
//! * [`job_entry`] starts entries that run jobs as separate processes.
//! * [`job_node`] has settings of an entry that runs jobs within the test process.
//! * [`job_world`] simulates workers, relays, a store and lease holders on injected time.
//! * [`keys`] runs random schedules of requests that must not be repeated.
//! * [`live`] starts entries that communicate over sockets.
//! * [`host_world`] drives one scheduler with hosts, event by event.
//! * [`process_usage`] measures the memory and the descriptors of a process.
//! * [`program`] runs a program as a child process.
//! * [`relay_site`] runs a relay with one worker within the test process.
//! * [`turn_store`] is a store that processes appends one at a time, on the test's clock.

pub mod advised_world;
pub mod crowd;
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
pub mod process_usage;
pub mod program;
pub mod relay_site;
pub mod turn_store;
