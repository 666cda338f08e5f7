//! The test suite: one module for each feature.

mod bad_endpoints;
mod deferred_requests;
mod entry_stop;
mod fleet_files;
mod fold_rules;
mod keyed_requests;
mod log_faults;
mod log_retention;
mod maintenance_waves;
mod operator_changes;
mod random_fleet;
mod random_keys;
mod result_codes;
mod separate_processes;
mod state_checkpoints;
mod whole_path;
