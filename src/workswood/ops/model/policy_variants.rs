//! One value of a policy, in several variants.

use serde_json::Value;
use workswood_core::jobs::Policy;

use crate::util::errors::{Error, Result};

/// One value of a policy, in several variants: `need.full=0.7,0.85`.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyVariants {
    /// Its place: names of tables and of the field.
    path: Vec<String>,
    values: Vec<Value>,
}

impl PolicyVariants {
    /// Reads `PLACE=VALUE,VALUE`.
    pub fn parse(text: &str) -> Result<PolicyVariants> {
        let bad = || Error::BadVary { text: text.to_string() };
        let (path, values) = text.split_once('=').ok_or_else(bad)?;
        let path: Vec<String> = path.split('.').map(str::to_string).collect();
        if path.iter().any(String::is_empty) || values.is_empty() {
            return Err(bad());
        }
        // What is no JSON is text: `1500ms`.
        let value = |v: &str| serde_json::from_str(v).unwrap_or_else(|_| Value::from(v));
        Ok(PolicyVariants { path, values: values.split(',').map(value).collect() })
    }

    /// A policy for each value, each under its name.
    pub fn policies(&self, base: &Policy) -> Result<Vec<(String, Policy)>> {
        self.values.iter().map(|v| self.policy(base, v)).collect()
    }

    fn policy(&self, base: &Policy, value: &Value) -> Result<(String, Policy)> {
        let name = format!("{}={value}", self.path.join("."));
        let bad = |text: String| Error::Settings { path: name.clone(), text };
        let mut tree = serde_json::to_value(base).map_err(|e| bad(e.to_string()))?;
        let mut place = &mut tree;
        for part in &self.path {
            place = place.get_mut(part).ok_or_else(|| bad(format!("a policy has no `{part}` here")))?;
        }
        *place = value.clone();
        let policy: Policy = serde_json::from_value(tree).map_err(|e| bad(e.to_string()))?;
        policy.check().map_err(bad)?;
        Ok((name, policy))
    }
}
