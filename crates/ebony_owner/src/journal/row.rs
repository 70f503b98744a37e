//! Encoding of journal rows: a header and the records of one group commit.

use ebony_types::SessionId;
use serde::{Deserialize, Serialize};

use super::record::JournalRecord;
use crate::codec::{self, CodecError, Result};
use crate::wall_time::WallTime;

/// The largest encoded row in bytes. A batch accepts no further group of records once it has reached half of this,
/// and one group needs far less than the other half.
pub const MAX_ROW_BYTES: usize = 512 * 1024;

/// The most records in one row.
pub const MAX_ROW_RECORDS: u32 = 8_192;

/// The header of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RowHeader {
    /// The session whose journal the row belongs to.
    pub session: SessionId,
    /// Position of the row in the journal, from 1.
    pub sequence: u64,
    /// When the row was written, on the writer's clock.
    pub written: WallTime,
    /// The newest checkpoint that is known to be stored. Rows up to this sequence may have been deleted.
    pub checkpoint: Option<u64>,
    /// Number of records that follow.
    pub records: u32,
}

/// A decoded row.
///
/// ```
/// use ebony_owner::journal::{JournalRecord, JournalRow};
/// use ebony_owner::wall_time::WallTime;
/// use ebony_types::SessionId;
///
/// let (dead, successor) = (SessionId::from_bytes([1; 16]), SessionId::from_bytes([2; 16]));
/// let bytes = JournalRow::seal(dead, 7, successor, WallTime::default())?;
/// let row = JournalRow::decode(&bytes)?;
/// assert!(row.is_seal());
/// assert_eq!(row.header.sequence, 7);
/// # Ok::<(), ebony_owner::journal::CodecError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalRow {
    /// The header.
    pub header: RowHeader,
    /// The records in the order in which they take effect.
    pub records: Vec<JournalRecord>,
}

impl JournalRow {
    /// Encodes the row with which session `by` ends the journal of `session`.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError`] if the row cannot be encoded.
    pub fn seal(session: SessionId, sequence: u64, by: SessionId, written: WallTime) -> Result<Vec<u8>> {
        let header = RowHeader {
            session,
            sequence,
            written,
            checkpoint: None,
            records: 1,
        };
        let mut records = Vec::new();
        codec::append_item(&JournalRecord::Sealed { by }, &mut records)?;
        encode_row(&header, &records)
    }

    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError`] if the bytes exceed the limits, have an unknown format version, or are not exactly one
    /// row.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        codec::expect_size(bytes.len(), MAX_ROW_BYTES)?;
        let mut rest = bytes;
        codec::take_version(&mut rest)?;
        let header: RowHeader = codec::take_item(&mut rest)?;
        if header.records > MAX_ROW_RECORDS {
            return Err(CodecError::Malformed(format!(
                "{} records in one row, more than the limit of {MAX_ROW_RECORDS}",
                header.records
            )));
        }
        let records: Result<Vec<JournalRecord>> =
            (0..header.records).map(|_| codec::take_item(&mut rest)).collect();
        codec::expect_end(rest)?;
        Ok(Self {
            header,
            records: records?,
        })
    }

    /// Returns `true` if the row seals its journal.
    pub fn is_seal(&self) -> bool {
        matches!(self.records.as_slice(), [JournalRecord::Sealed { .. }])
    }
}

/// Encodes a row from its header and its encoded records.
pub(crate) fn encode_row(header: &RowHeader, records: &[u8]) -> Result<Vec<u8>> {
    let mut bytes = Vec::with_capacity(records.len() + 128);
    codec::append_item(&codec::FORMAT_VERSION, &mut bytes)?;
    codec::append_item(header, &mut bytes)?;
    bytes.extend_from_slice(records);
    codec::expect_size(bytes.len(), MAX_ROW_BYTES)?;
    Ok(bytes)
}
