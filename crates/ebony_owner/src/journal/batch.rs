//! Batches of records, each of which forms one row.

use bytes::{Bytes, BytesMut};

use super::record::{BodySpan, JournalRecord};
use super::row::{MAX_ROW_BYTES, MAX_ROW_RECORDS, RowHeader, encode_row};
use crate::codec::{self, Result};

/// The most bytes of bodies in a batch with several bodies. A larger body gets a batch of its own.
const MAX_BATCH_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Encoded records of a future row, and the bodies that they reference.
#[derive(Clone, Debug, Default)]
pub(super) struct RowBatch {
    pub(super) sequence: u64,
    records: Vec<u8>,
    count: u32,
    bodies: Vec<Bytes>,
    body_bytes: usize,
    pub(super) turns: usize,
}

impl RowBatch {
    pub(super) fn new(sequence: u64) -> Self {
        Self {
            sequence,
            ..Self::default()
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns `true` if a group with a body of `body_bytes` may join the batch.
    pub(super) fn has_room(&self, body_bytes: usize) -> bool {
        let has_row_room = self.records.len() < MAX_ROW_BYTES / 2 && self.count < MAX_ROW_RECORDS / 2;
        let has_body_room = self.body_bytes == 0 || self.body_bytes + body_bytes <= MAX_BATCH_BODY_BYTES;
        has_row_room && has_body_room
    }

    /// Returns the span that the next body gets if it has `body_bytes` bytes.
    pub(super) fn next_span(&self, body_bytes: usize) -> BodySpan {
        BodySpan {
            offset: u32::try_from(self.body_bytes).unwrap_or(u32::MAX),
            length: u32::try_from(body_bytes).unwrap_or(u32::MAX),
        }
    }

    pub(super) fn push(&mut self, records: &[JournalRecord], body: Option<Bytes>) -> Result<()> {
        for record in records {
            codec::append_item(record, &mut self.records)?;
            self.count += 1;
            self.turns += usize::from(matches!(record, JournalRecord::Turn(_)));
        }
        if let Some(body) = body {
            self.body_bytes += body.len();
            self.bodies.push(body);
        }
        Ok(())
    }

    /// Returns the bytes of all records and bodies.
    pub(super) fn byte_count(&self) -> usize {
        self.records.len() + self.body_bytes
    }

    /// Encodes the row and concatenates the bodies.
    pub(super) fn encode(&self, header: RowHeader) -> Result<(Bytes, Option<Bytes>)> {
        let header = RowHeader {
            sequence: self.sequence,
            records: self.count,
            ..header
        };
        let row = encode_row(&header, &self.records)?;
        Ok((row.into(), self.join_bodies()))
    }

    fn join_bodies(&self) -> Option<Bytes> {
        match self.bodies.as_slice() {
            [] => None,
            [body] => Some(body.clone()),
            bodies => {
                let mut joined = BytesMut::with_capacity(self.body_bytes);
                bodies.iter().for_each(|body| joined.extend_from_slice(body));
                Some(joined.freeze())
            }
        }
    }
}
