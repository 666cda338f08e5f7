//! The test suite: one module for each feature.

mod act_tokens;
mod bad_endpoints;
mod deferred_requests;
mod entry_stop;
mod fleet_files;
mod fold_rules;
mod job_placement;
mod job_settings;
mod keyed_requests;
mod log_faults;
mod log_retention;
mod machine_orders;
mod maintenance_waves;
mod operator_changes;
mod peer_members;
mod queue_order;
mod random_fleet;
mod random_jobs;
mod random_keys;
mod result_codes;
mod separate_processes;
mod slot_dispatch;
mod state_checkpoints;
mod store_protocol;
mod whole_path;
mod worker_protocol;
