//! Reads the policy object of the settings.

use ebony_policy::options::OptionsError;
use ebony_policy::{PolicyName, PolicyOptions};
use serde_json::{Map, Value};

/// The member of the policy object that names the base policy.
const NAME_MEMBER: &str = "name";

/// The reason why the policy object of the settings is invalid.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum PolicyError {
    /// A member is unknown or has the wrong type.
    #[error("malformed policy: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A number is out of range.
    #[error("invalid policy: {0}")]
    Invalid(#[from] OptionsError),
}

/// The result of reading the policy object.
pub(super) type Result<T, E = PolicyError> = std::result::Result<T, E>;

/// Reads the policy object of the settings. The member `name` selects the base policy, and the other members override
/// its options.
///
/// # Errors
///
/// Returns [`PolicyError`] if a member is unknown, malformed or out of range.
///
/// ```
/// use ebony_entry::dispatch::read_policy;
/// use ebony_policy::placement::PlacementRule;
/// use serde_json::json;
///
/// let policy = json!({"name": "round-robin", "placement": {"samples": 3}});
/// let options = read_policy(policy.as_object().unwrap())?;
/// assert_eq!(options.placement.rule, PlacementRule::RoundRobin);
/// assert_eq!(options.placement.samples, 3);
/// assert!(read_policy(json!({"nam": 1}).as_object().unwrap()).is_err());
/// # Ok::<(), ebony_entry::dispatch::PolicyError>(())
/// ```
pub fn read_policy(policy: &Map<String, Value>) -> Result<PolicyOptions> {
    let mut changes = policy.clone();
    let name: PolicyName = match changes.remove(NAME_MEMBER) {
        Some(name) => serde_json::from_value(name)?,
        None => PolicyName::default(),
    };
    let mut value = serde_json::to_value(PolicyOptions::named(name))?;
    overlay(&mut value, Value::Object(changes));
    let options: PolicyOptions = serde_json::from_value(value)?;
    options.validate()?;
    Ok(options)
}

/// Returns `true` if the policy object enables model loading. It is off by default, because it moves models between
/// engines.
///
/// ```
/// use ebony_entry::dispatch::is_loading_on;
/// use serde_json::json;
///
/// assert!(!is_loading_on(json!({}).as_object().unwrap()));
/// assert!(is_loading_on(json!({"loading": {"enabled": true}}).as_object().unwrap()));
/// ```
pub fn is_loading_on(policy: &Map<String, Value>) -> bool {
    let loading = policy.get("loading");
    let is_enabled = loading.and_then(|loading| loading.get("enabled"));
    is_enabled.and_then(Value::as_bool) == Some(true)
}

/// Merges `changes` into `value`, recursing into objects.
fn overlay(value: &mut Value, changes: Value) {
    match (value, changes) {
        (Value::Object(members), Value::Object(changes)) => {
            for (name, change) in changes {
                overlay(members.entry(name).or_insert(Value::Null), change);
            }
        }
        (value, change) => *value = change,
    }
}
