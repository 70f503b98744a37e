//! The configuration document of a fleet.

use ebony_config::ConfigDocument;
use serde_json::{Value, json};

/// The bearer key of the first caller, `shop`.
pub const CALLER_KEY: &str = "shop-key";

/// The bearer key of the second caller, `luthier`.
pub const OTHER_CALLER_KEY: &str = "luthier-key";

/// The bearer key of the operator.
pub const OPERATOR_KEY: &str = "operator-key";

/// The contents of a document, besides the two fixed callers and the operator.
#[derive(Clone, Copy, Debug)]
pub struct DocumentOptions<'a> {
    /// The models.
    pub models: &'a [String],
    /// The name of the plain service.
    pub service: &'a str,
    /// Further callers, each in a group of its own.
    pub callers: &'a [String],
    /// The `defaults` object of the document.
    pub defaults: &'a Value,
}

/// Returns the bearer key of a further caller.
pub fn caller_key(caller: &str) -> String {
    format!("{caller}-key")
}

/// Returns a document with the two fixed callers, the operator, and the given callers, models and service.
///
/// # Errors
///
/// Fails if a name or value is not valid.
pub fn fleet_document(options: &DocumentOptions<'_>) -> Result<ConfigDocument, ebony_config::ConfigReport> {
    let digest = |key: &str| ebony_config::KeyDigest::of_key(key).to_string();
    let mut document = json!({
        "version": 1,
        "defaults": options.defaults,
        "models": options.models,
        "services": [options.service],
        "operators": {"operator": {"keys": [digest(OPERATOR_KEY)]}},
        "callers": {
            "shop": {"group": "shops", "keys": [digest(CALLER_KEY)]},
            "luthier": {"group": "luthiers", "keys": [digest(OTHER_CALLER_KEY)]},
        },
    });
    for caller in options.callers {
        document["callers"][caller] = json!({"group": caller, "keys": [digest(&caller_key(caller))]});
    }
    let document = ConfigDocument::decode(document.to_string().as_bytes())?;
    document.validate()?;
    Ok(document)
}
