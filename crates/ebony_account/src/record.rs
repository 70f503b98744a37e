//! The row of a program in the store.

use serde::{Deserialize, Serialize};

use crate::turn::CoverRequest;

/// The bytes of a row are not a valid record.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("malformed account record: {0}")]
pub struct RecordError(String);

/// The result of reading a record.
pub type Result<T, E = RecordError> = std::result::Result<T, E>;

/// The budget of a program and the part of it that was granted.
///
/// ```
/// use ebony_account::{AccountRecord, CoverRequest};
/// use ebony_types::ProgramName;
///
/// let mut record = AccountRecord::open(1_000);
/// let program = ProgramName::parse("3fa81c")?;
/// let request =
///     CoverRequest { program, budget: 1_000, tokens: 500, needed: 300, spare_divisor: 4, debt: 0, unseen: 0 };
/// assert_eq!(record.grant(&request), 300);
/// assert_eq!(record.grant(&CoverRequest { needed: 0, ..request.clone() }), 175);
/// assert_eq!(record.grant(&request), 300);
/// assert_eq!(record.grant(&request), 225);
/// assert_eq!(record.grant(&request), 0);
/// assert_eq!(AccountRecord::from_bytes(&record.to_bytes())?, record);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AccountRecord {
    /// The tokens that all turns of the program together may generate.
    #[serde(rename = "b")]
    pub budget: u64,
    /// The tokens that were granted to entries or recorded as debts.
    #[serde(rename = "g")]
    pub granted: u64,
}

impl AccountRecord {
    /// Creates the record of a program without grants.
    pub fn open(budget: u64) -> Self {
        Self { budget, granted: 0 }
    }

    /// Returns the tokens that can still be granted.
    pub fn left(self) -> u64 {
        self.budget.saturating_sub(self.granted)
    }

    /// Grants a request as far as possible and returns the tokens granted; 0 if the budget is spent.
    pub fn grant(&mut self, request: &CoverRequest) -> u64 {
        let spare = self.left() / request.spare_divisor.max(1);
        let granted = request.tokens.min(request.needed.max(spare)).min(self.left());
        self.granted += granted;
        granted
    }

    /// Creates the record of a program that may have generated `unseen` tokens without a record.
    pub fn open_with_unrecorded(budget: u64, unseen: u64) -> Self {
        Self {
            budget,
            granted: unseen,
        }
    }

    /// Records tokens that were forwarded without a grant, even beyond the budget.
    pub fn record_debt(&mut self, tokens: u64) {
        self.granted += tokens;
    }

    /// Encodes the record as CBOR.
    pub fn to_bytes(self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(&self, &mut bytes).expect("writing to memory does not fail");
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
