//! The test suite: one module for each feature.

mod act_tokens;
mod bad_endpoints;
mod deferred_requests;
mod entry_stop;
mod fleet_files;
mod fold_rules;
mod job_placement;
mod keyed_requests;
mod log_faults;
mod log_retention;
mod maintenance_waves;
mod operator_changes;
mod peer_members;
mod random_fleet;
mod random_jobs;
mod random_keys;
mod result_codes;
mod separate_processes;
mod slot_dispatch;
mod state_checkpoints;
mod whole_path;
