//! Policies that differ in the value of one field.

use serde_json::Value;
use workswood_core::jobs::Policy;

use crate::util::errors::{Error, Result};

/// A field of a policy and the values to compare, such as `need.full=0.7,0.85`.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyVariants {
    /// Path of the field: names of the enclosing objects and of the field.
    path: Vec<String>,
    values: Vec<Value>,
}

impl PolicyVariants {
    /// Parses `FIELD=VALUE,VALUE`.
    pub fn parse(text: &str) -> Result<PolicyVariants> {
        let invalid = || Error::InvalidVariation { text: text.to_string() };
        let (path, values) = text.split_once('=').ok_or_else(invalid)?;
        let path: Vec<String> = path.split('.').map(str::to_string).collect();
        if path.iter().any(String::is_empty) || values.is_empty() {
            return Err(invalid());
        }
        // A value that is not JSON is a string, such as `1500ms`.
        let value = |v: &str| serde_json::from_str(v).unwrap_or_else(|_| Value::from(v));
        Ok(PolicyVariants { path, values: values.split(',').map(value).collect() })
    }

    /// Returns a named policy for each value, with the other fields as in `base`.
    pub fn policies(&self, base: &Policy) -> Result<Vec<(String, Policy)>> {
        self.values.iter().map(|v| self.policy(base, v)).collect()
    }

    fn policy(&self, base: &Policy, value: &Value) -> Result<(String, Policy)> {
        let name = format!("{}={value}", self.path.join("."));
        let invalid = |text: String| Error::InvalidSettings { path: name.clone(), text };
        let mut tree = serde_json::to_value(base).map_err(|e| invalid(e.to_string()))?;
        let mut field = &mut tree;
        for part in &self.path {
            field = field.get_mut(part).ok_or_else(|| invalid(format!("a policy has no `{part}` here")))?;
        }
        *field = value.clone();
        let policy: Policy = serde_json::from_value(tree).map_err(|e| invalid(e.to_string()))?;
        policy.check().map_err(invalid)?;
        Ok((name, policy))
    }
}
