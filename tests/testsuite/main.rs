//! The test suite: one module for each feature.

mod bad_endpoints;
mod deferred_requests;
mod entry_stop;
mod keyed_requests;
mod log_faults;
mod log_retention;
mod maintenance_waves;
mod operator_changes;
mod random_fleet;
mod separate_processes;
mod whole_path;
