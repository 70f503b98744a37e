//! The record of one turn in the store.

use bytes::Bytes;
use ebony_types::{CustomerName, ProgramName, TurnName};
use serde::{Deserialize, Serialize};

/// The bytes of a row are not a valid record.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("malformed turn record: {0}")]
pub struct RecordError(String);

/// The result of reading a record.
pub type Result<T, E = RecordError> = std::result::Result<T, E>;

/// The stored record of a completely answered turn. Records are immutable.
///
/// ```
/// use bytes::Bytes;
/// use ebony_conversation::TurnRecord;
///
/// let record = TurnRecord {
///     program: None,
///     ancestors: Vec::new(),
///     content: Bytes::from_static(b"question\nanswer\n"),
///     customer: None,
/// };
/// assert_eq!(TurnRecord::from_bytes(&record.to_bytes())?, record);
/// # Ok::<(), ebony_conversation::RecordError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TurnRecord {
    /// The program of the turn. A turn of another program may continue this conversation; it starts a program of its
    /// own.
    #[serde(rename = "p")]
    pub program: Option<ProgramName>,
    /// The turns whose content precedes this one's, oldest first.
    #[serde(rename = "a")]
    pub ancestors: Vec<TurnName>,
    /// The input and the output of the turn. If `ancestors` is empty, those of the whole conversation up to this turn.
    #[serde(rename = "c")]
    pub content: Bytes,
    /// The customer that the turn belongs to. Records of earlier builds and of configurations without customers have
    /// none, and are encoded as by earlier builds.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerName>,
}

impl TurnRecord {
    /// Sets the customer that the turn belongs to.
    ///
    /// ```
    /// use ebony_conversation::TurnChain;
    /// use ebony_types::CustomerName;
    ///
    /// let lali = CustomerName::parse("lali")?;
    /// let record = TurnChain::begin(None, b"a?", b"a.\n").with_customer(Some(&lali));
    /// assert_eq!(record.customer, Some(lali));
    /// # Ok::<(), ebony_types::customer::CustomerNameError>(())
    /// ```
    #[must_use]
    pub fn with_customer(mut self, customer: Option<&CustomerName>) -> Self {
        self.customer = customer.cloned();
        self
    }

    /// Encodes the record as CBOR.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.content.len() + 256);
        ciborium::into_writer(self, &mut bytes).expect("writing to memory does not fail");
        bytes
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] if the bytes are not a valid record.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        ciborium::from_reader(bytes).map_err(|error| RecordError(error.to_string()))
    }
}
