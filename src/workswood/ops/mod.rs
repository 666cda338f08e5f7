//! The operations of the commands, one module for each command.

pub mod apply;
pub mod bench;
pub mod check;
pub mod dev;
pub mod entry;
pub mod explain;
pub mod job_status;
pub mod jobs;
pub mod late;
pub mod model;
pub mod plan;
pub mod soak;
pub mod status;
