//! Small fakes for the test suite.
//!
//! * [`files`] makes small fleet files.
//! * [`log`] is a log in memory with readers that lag.
//! * [`platform`] is a platform on injected time, without sockets.
//! * [`history`] draws random histories of planners against that platform.

pub mod files;
pub mod history;
pub mod log;
pub mod platform;
