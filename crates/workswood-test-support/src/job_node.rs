//! Settings of an entry that runs jobs within the test process.

use workswood::util::job_settings::JobSettings;
use workswood_core::jobs::Policy;

/// Template of the settings with which entries are deployed.
const TEMPLATE: &str = include_str!("../../../deploy/settings.json");

/// Returns the policy with which entries are deployed.
pub fn deployed_policy() -> Policy {
    let at = TEMPLATE.find("\"policy\":").expect("a policy in the template");
    let text = TEMPLATE[at..].trim_start_matches("\"policy\":");
    let mut values = serde_json::Deserializer::from_str(text).into_iter();
    values.next().expect("a value").expect("a good policy")
}

/// Returns valid settings for an entry of this name.
pub fn settings(name: &str) -> JobSettings {
    let text = serde_json::json!({
        "name": name, "data_centre": "north", "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0",
        "peers": "127.0.0.1:0", "metrics": "127.0.0.1:0", "store": "127.0.0.1:9", "machines": "127.0.0.1:9",
        "longest_lease_ms": 10000, "machine_handover_ms": 3000, "keep_ended_s": 120, "stop_within_s": 6,
    });
    serde_json::from_value(text).expect("good settings")
}
