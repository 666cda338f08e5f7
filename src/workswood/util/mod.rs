//! Settings, logging, metrics, errors, and output of commands.

pub mod bound_address;
pub mod clock;
pub mod errors;
pub mod job_metrics;
pub mod job_settings;
pub mod logs;
pub mod metrics;
pub mod print;
pub mod settings;
pub mod signals;
pub mod table;
