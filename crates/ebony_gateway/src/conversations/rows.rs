//! Stores the records of turns as rows of the platform's store.

use std::rc::Rc;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use ebony_platform::table::create_resolved;
use ebony_platform::{PlatformError, RowKey, TableService, WriteNonce};
use ebony_types::TurnName;
use ebony_types::rendezvous::rendezvous_weight;
use futures_util::future::try_join_all;
use sha2::{Digest, Sha256};

/// The table of the first rows of turns.
const TABLE: &str = "turns";

/// The table of the parts of records that do not fit into the first row of a turn.
const CONTINUATION_TABLE: &str = "turns-further";

/// Partitions of both tables. The store allows 200 transactions a second in a partition; the deployments have 42 turns
/// a second.
const PARTS: u64 = 16;

/// The maximum bytes of a record in one row. The store accepts 64 KiB of base64, which include the nonce and the count.
const MAX_ROW_BYTES: usize = 48_000;

/// The result of reading or writing a turn.
pub(crate) type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// The rows of turns. Their keys follow from the name of the turn alone.
pub(crate) struct TurnRows {
    store: Rc<dyn TableService>,
}

impl TurnRows {
    pub(crate) fn open(store: Rc<dyn TableService>) -> Self {
        Self { store }
    }

    /// Reads an encoded record. Returns `None` only if the store has no record of the turn.
    pub(crate) async fn read(&self, turn: &TurnName) -> Result<Option<Bytes>> {
        let Some(first) = self.store.read(&first_key(turn)).await? else {
            return Ok(None);
        };
        let mut value = first.value;
        if value.len() < size_of::<u32>() {
            return Err(malformed(turn));
        }
        let continuations = value.get_u32();
        if continuations == 0 {
            return Ok(Some(value));
        }
        let reads = (0..continuations).map(|index| self.read_continuation(turn, index));
        let rest = try_join_all(reads).await?;
        let mut record = BytesMut::from(value);
        rest.iter().for_each(|part| record.extend_from_slice(part));
        Ok(Some(record.freeze()))
    }

    async fn read_continuation(&self, turn: &TurnName, index: u32) -> Result<Bytes> {
        // The first row is written last, so the continuation rows exist if it does.
        let row = self.store.read(&continuation_key(turn, index)).await?;
        row.map(|row| row.value).ok_or_else(|| malformed(turn))
    }

    /// Writes an encoded record. Writing the same record again has no effect.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::Conflict`] if another record has the turn's name.
    pub(crate) async fn write(&self, turn: &TurnName, record: &Bytes) -> Result<()> {
        let first = record.slice(..MAX_ROW_BYTES.min(record.len()));
        let rest = &record[first.len()..];
        let mut continuations = 0;
        for part in rest.chunks(MAX_ROW_BYTES) {
            let key = continuation_key(turn, continuations);
            self.create(&key, Bytes::copy_from_slice(part)).await?;
            continuations += 1;
        }
        let mut value = BytesMut::with_capacity(first.len() + size_of::<u32>());
        value.put_u32(continuations);
        value.extend_from_slice(&first);
        self.create(&first_key(turn), value.freeze()).await
    }

    /// Creates a row. The nonce is derived from the value, so that an existing row with the same value counts as
    /// written.
    async fn create(&self, key: &RowKey, value: Bytes) -> Result<()> {
        let digest: [u8; 32] = Sha256::digest(&value).into();
        let mut nonce = [0; 16];
        nonce.copy_from_slice(&digest[..16]);
        let nonce = WriteNonce(u128::from_be_bytes(nonce));
        create_resolved(&*self.store, key, value, nonce).await.map(drop)
    }
}

fn malformed(turn: &TurnName) -> PlatformError {
    PlatformError::Malformed(format!("the rows of turn {turn} are incomplete"))
}

fn first_key(turn: &TurnName) -> RowKey {
    RowKey(format!("{}{turn}", part_prefix(TABLE, part_of(turn))))
}

fn continuation_key(turn: &TurnName, index: u32) -> RowKey {
    RowKey(format!(
        "{}{turn}:{index}",
        part_prefix(CONTINUATION_TABLE, part_of(turn))
    ))
}

fn part_of(turn: &TurnName) -> u64 {
    rendezvous_weight(turn.as_str(), TABLE) % PARTS
}

fn part_prefix(table: &str, part: u64) -> String {
    format!("{table}/{part:02}/")
}

/// Returns the key prefixes of all partitions of both tables.
pub(crate) fn part_prefixes() -> impl Iterator<Item = String> {
    let tables = [TABLE, CONTINUATION_TABLE].into_iter();
    tables.flat_map(|table| (0..PARTS).map(move |part| part_prefix(table, part)))
}
