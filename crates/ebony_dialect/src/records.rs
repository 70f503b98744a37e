//! Decoding of rows that operators and targets write to the store.

use ebony_dispatch::TargetRecord;
use ebony_routing::RoutingTable;
use ebony_types::TargetName;

/// The reason why the value of a row could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(pub String);

/// The result of decoding a row.
pub type Result<T, E = DecodeError> = std::result::Result<T, E>;

/// Decodes rows that operators and targets write to the store.
pub trait RecordDialect {
    /// Returns the table and the key of the row that holds the configuration.
    fn routing_row(&self) -> (&'static str, &'static str);

    /// Returns the table in which targets register themselves.
    fn target_table(&self) -> &'static str;

    /// Decodes the configuration.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the value is not a valid configuration.
    fn decode_routing(&self, value: &[u8]) -> Result<RoutingTable>;

    /// Decodes the row of a target.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the value does not describe a usable target.
    fn decode_target(&self, name: TargetName, value: &[u8]) -> Result<TargetRecord>;
}
