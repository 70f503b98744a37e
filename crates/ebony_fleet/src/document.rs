//! The configuration document of a fleet.

use ebony_config::ConfigDocument;
use serde_json::json;

/// The bearer key of the first caller, `shop`.
pub const CALLER_KEY: &str = "shop-key";

/// The bearer key of the second caller, `luthier`.
pub const OTHER_CALLER_KEY: &str = "luthier-key";

/// The bearer key of the operator.
pub const OPERATOR_KEY: &str = "operator-key";

/// Returns a document with two callers, one operator, and the given models and services in force.
///
/// # Errors
///
/// Fails if a name is not valid.
pub fn fleet_document(
    models: &[String],
    services: &[String],
) -> Result<ConfigDocument, ebony_config::ConfigReport> {
    let digest = |key: &str| ebony_config::KeyDigest::of_key(key).to_string();
    let document = json!({
        "version": 1,
        "models": models,
        "services": services,
        "operators": {"operator": {"keys": [digest(OPERATOR_KEY)]}},
        "callers": {
            "shop": {"group": "shops", "keys": [digest(CALLER_KEY)]},
            "luthier": {"group": "luthiers", "keys": [digest(OTHER_CALLER_KEY)]},
        },
    });
    let document = ConfigDocument::decode(document.to_string().as_bytes())?;
    document.validate()?;
    Ok(document)
}
