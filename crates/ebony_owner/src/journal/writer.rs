//! Group commit: at most one append is in flight, and the records that arrive meanwhile form the next row.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use ebony_types::{ClockTime, SessionId};
use rand::RngCore;

use super::batch::RowBatch;
use super::record::{BodyPlace, JournalRecord};
use super::row::RowHeader;
use crate::codec::Result;
use crate::retry::retry_backoff;
use crate::wall_time::WallTime;

/// Failed attempts of one append after which the platform counts as down. A single lost reply is common, and the next
/// attempt resolves it.
pub const OUTAGE_FAILURES: u32 = 2;

/// Records that become durable together, and the body that one of them references.
#[derive(Clone, Debug, Default)]
pub struct RecordGroup {
    /// The records in the order in which they take effect.
    pub records: Vec<JournalRecord>,
    /// The body, which is stored before the row.
    pub body: Option<Bytes>,
}

/// A row to create if it is absent. A repeated attempt equals the first one in every field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendRow {
    /// The sequence of the row.
    pub sequence: u64,
    /// The encoded row.
    pub row: Bytes,
    /// The object `bodies/{session}/{sequence}`, to be stored before the row.
    pub bodies: Option<Bytes>,
    /// Identifies the write: after a lost reply, a read of the row tells whether the write took effect.
    pub nonce: u128,
}

/// The outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The row exists with the append's nonce.
    Durable,
    /// The row exists with another nonce: a successor sealed the journal.
    Sealed,
    /// It is unknown whether the row exists, or the platform is down.
    Unavailable,
}

/// The state of the journal after an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendProgress {
    /// Rows up to this one are durable.
    Durable(u64),
    /// The append will be repeated; the value is the number of failed attempts.
    Retrying(u32),
    /// A successor sealed the journal.
    Sealed,
    /// The outcome does not match the append in flight and is ignored.
    Stale,
}

/// Whether another process has a copy of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyState {
    /// Only this process has the row.
    Absent,
    /// A copy was ordered.
    Ordered,
    /// Another process has a copy.
    Copied,
}

#[derive(Debug)]
struct PendingAppend {
    row: AppendRow,
    turns: usize,
    bytes: usize,
    failures: u32,
    retry_at: Option<ClockTime>,
    copy: CopyState,
}

/// The state of a journal that accepts records.
#[derive(Debug)]
pub struct OpenJournal {
    queue: VecDeque<RowBatch>,
    append: Option<PendingAppend>,
    /// Rows that were built during an outage, so that another process can hold copies of them until they are
    /// appended.
    outage_rows: VecDeque<PendingAppend>,
    next_sequence: u64,
    durable: u64,
    last_start: Option<ClockTime>,
    min_interval: Duration,
    checkpoint: Option<u64>,
    turns: usize,
    bytes: usize,
}

/// The state of a journal that another session has sealed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SealedJournal {
    /// The last row that is known to be durable.
    pub durable: u64,
}

/// Appends to the journal of one session. `S` is [`OpenJournal`] or [`SealedJournal`]; only an open journal accepts
/// records.
///
/// ```
/// use std::time::Duration;
/// use ebony_owner::journal::{AppendOutcome, AppendProgress, JournalRecord, JournalWriter, RecordGroup};
/// use ebony_owner::wall_time::WallTime;
/// use ebony_types::{BudgetUse, ClockTime, ProgramId, SessionId, ShardKey};
/// use rand_chacha::ChaCha8Rng;
/// use rand_chacha::rand_core::SeedableRng;
///
/// let mut rng = ChaCha8Rng::seed_from_u64(1);
/// let session = SessionId::from_bytes([1; 16]);
/// let mut writer = JournalWriter::open(session, Duration::from_millis(10));
/// let record = JournalRecord::Sealed { by: session };
/// let place = writer.next_place(0);
/// writer.push(RecordGroup { records: vec![record], body: None })?;
///
/// let now = ClockTime::from_millis(5);
/// let append = writer.flush(now, WallTime::default(), &mut rng)?.expect("an idle writer flushes at once");
/// assert_eq!(append.sequence, place.sequence);
/// let progress = writer.append_done(1, AppendOutcome::Durable, now, &mut rng);
/// assert_eq!(progress, AppendProgress::Durable(1));
/// # Ok::<(), ebony_owner::journal::CodecError>(())
/// ```
#[derive(Debug)]
pub struct JournalWriter<S> {
    session: SessionId,
    state: S,
}

impl<S> JournalWriter<S> {
    /// Returns the session that the journal belongs to.
    pub fn session(&self) -> SessionId {
        self.session
    }
}

impl JournalWriter<SealedJournal> {
    /// Returns the last row that is known to be durable.
    pub fn durable(&self) -> u64 {
        self.state.durable
    }
}

impl JournalWriter<OpenJournal> {
    /// Opens the empty journal of a new session. Appends of new rows start at least `min_interval` apart.
    pub fn open(session: SessionId, min_interval: Duration) -> Self {
        Self {
            session,
            state: OpenJournal {
                queue: VecDeque::new(),
                append: None,
                outage_rows: VecDeque::new(),
                next_sequence: 1,
                durable: 0,
                last_start: None,
                min_interval,
                checkpoint: None,
                turns: 0,
                bytes: 0,
            },
        }
    }

    /// Sets the shortest time between the starts of the appends of two rows.
    pub fn set_min_interval(&mut self, min_interval: Duration) {
        self.state.min_interval = min_interval;
    }

    /// References a stored checkpoint in the headers of the rows that are built from now on.
    pub fn set_checkpoint(&mut self, sequence: u64) {
        self.state.checkpoint = Some(sequence);
    }

    /// Returns the place that the body of the next group gets if it has `body_bytes` bytes; its sequence is that of
    /// the group's row.
    pub fn next_place(&mut self, body_bytes: usize) -> BodyPlace {
        let has_room = self
            .state
            .queue
            .back()
            .is_some_and(|batch| batch.has_room(body_bytes));
        if !has_room {
            self.state
                .queue
                .push_back(RowBatch::new(self.state.next_sequence));
            self.state.next_sequence += 1;
        }
        let batch = self.state.queue.back();
        BodyPlace {
            session: self.session,
            sequence: batch.map_or(0, |batch| batch.sequence),
            span: batch.map(|batch| batch.next_span(body_bytes)).unwrap_or_default(),
        }
    }

    /// Adds a group at the place that [`JournalWriter::next_place`] returned, and returns the sequence of its row.
    ///
    /// # Errors
    ///
    /// Returns [`crate::codec::CodecError`] if a record cannot be encoded. The journal must not be used further.
    pub fn push(&mut self, group: RecordGroup) -> Result<u64> {
        let place = self.next_place(group.body.as_ref().map_or(0, Bytes::len));
        let Some(batch) = self.state.queue.back_mut() else {
            return Ok(place.sequence);
        };
        let (turns, bytes) = (batch.turns, batch.byte_count());
        batch.push(&group.records, group.body)?;
        self.state.turns += batch.turns - turns;
        self.state.bytes += batch.byte_count() - bytes;
        Ok(place.sequence)
    }

    /// Returns the append to start now, if there is one: the next batch, or a repeated attempt.
    ///
    /// # Errors
    ///
    /// Returns [`crate::codec::CodecError`] if the row cannot be encoded. The journal must not be used further.
    pub fn flush(
        &mut self,
        now: ClockTime,
        written: WallTime,
        rng: &mut impl RngCore,
    ) -> Result<Option<AppendRow>> {
        if self.next_flush().is_none_or(|due| due > now) {
            return Ok(None);
        }
        if let Some(append) = &mut self.state.append {
            append.retry_at = None;
            return Ok(Some(append.row.clone()));
        }
        let next = match self.state.outage_rows.pop_front() {
            Some(append) => Some(append),
            None => self.build_row(written, rng)?,
        };
        let row = next.as_ref().map(|append| append.row.clone());
        self.state.last_start = Some(now);
        self.state.append = next;
        Ok(row)
    }

    /// Encodes the next batch as a row, if it has records.
    fn build_row(&mut self, written: WallTime, rng: &mut impl RngCore) -> Result<Option<PendingAppend>> {
        if self.state.queue.front().is_none_or(RowBatch::is_empty) {
            return Ok(None);
        }
        let Some(batch) = self.state.queue.pop_front() else {
            return Ok(None);
        };
        let header = RowHeader {
            session: self.session,
            sequence: batch.sequence,
            written,
            checkpoint: self.state.checkpoint,
            records: 0,
        };
        let (sequence, turns, bytes) = (batch.sequence, batch.turns, batch.byte_count());
        let (row, bodies) = batch.encode(header)?;
        let nonce = (u128::from(rng.next_u64()) << 64) | u128::from(rng.next_u64());
        Ok(Some(PendingAppend {
            row: AppendRow {
                sequence,
                row,
                bodies,
                nonce,
            },
            turns,
            bytes,
            failures: 0,
            retry_at: None,
            copy: CopyState::Absent,
        }))
    }

    /// Returns the next row to copy to another process while the platform is down.
    ///
    /// One copy is ordered at a time; records that arrive meanwhile form the next row.
    ///
    /// # Errors
    ///
    /// Returns [`crate::codec::CodecError`] if the row cannot be encoded. The journal must not be used further.
    pub fn next_copy(&mut self, written: WallTime, rng: &mut impl RngCore) -> Result<Option<AppendRow>> {
        let is_ordered = |append: &PendingAppend| append.copy == CopyState::Ordered;
        if !self.is_outage() || self.pending().any(is_ordered) {
            return Ok(None);
        }
        let mut pending = self.state.append.iter_mut().chain(&mut self.state.outage_rows);
        if let Some(append) = pending.find(|append| append.copy == CopyState::Absent) {
            append.copy = CopyState::Ordered;
            return Ok(Some(append.row.clone()));
        }
        let Some(mut append) = self.build_row(written, rng)? else {
            return Ok(None);
        };
        append.copy = CopyState::Ordered;
        let row = append.row.clone();
        self.state.outage_rows.push_back(append);
        Ok(Some(row))
    }

    /// Records that another process has a copy of a row.
    pub fn copy_done(&mut self, sequence: u64) {
        let pending = self.state.append.iter_mut().chain(&mut self.state.outage_rows);
        for append in pending.filter(|append| append.row.sequence == sequence) {
            append.copy = CopyState::Copied;
        }
    }

    /// Records that the process with a copy of a row is gone, so that another copy is ordered.
    pub fn copy_lost(&mut self, sequence: u64) {
        let pending = self.state.append.iter_mut().chain(&mut self.state.outage_rows);
        for append in pending.filter(|append| append.row.sequence == sequence) {
            append.copy = CopyState::Absent;
        }
    }

    /// Takes all rows that are not durable, and encodes the queued records as further rows.
    ///
    /// # Errors
    ///
    /// Returns [`crate::codec::CodecError`] if a row cannot be encoded.
    pub fn take_undurable_rows(
        &mut self,
        written: WallTime,
        rng: &mut impl RngCore,
    ) -> Result<Vec<AppendRow>> {
        let pending = self
            .state
            .append
            .take()
            .into_iter()
            .chain(std::mem::take(&mut self.state.outage_rows));
        let mut rows: Vec<AppendRow> = pending.map(|append| append.row).collect();
        while let Some(append) = self.build_row(written, rng)? {
            rows.push(append.row);
        }
        Ok(rows)
    }

    /// Returns the sequence up to which every row is durable or copied to another process.
    pub fn copied(&self) -> u64 {
        let copied = self
            .pending()
            .take_while(|append| append.copy == CopyState::Copied);
        copied
            .last()
            .map_or(self.state.durable, |append| append.row.sequence)
    }

    fn pending(&self) -> impl Iterator<Item = &PendingAppend> {
        self.state.append.iter().chain(&self.state.outage_rows)
    }

    /// Returns `true` if the platform counts as down, after [`OUTAGE_FAILURES`] failed attempts.
    fn is_outage(&self) -> bool {
        let failures = self.state.append.as_ref().map_or(0, |append| append.failures);
        failures >= OUTAGE_FAILURES
    }

    /// Returns when [`JournalWriter::flush`] has an append to start; `None` while an outcome is awaited or no record
    /// is queued.
    pub fn next_flush(&self) -> Option<ClockTime> {
        if let Some(append) = &self.state.append {
            return append.retry_at;
        }
        if self.state.outage_rows.is_empty() {
            self.state.queue.front().filter(|batch| !batch.is_empty())?;
        }
        let start = self.state.last_start.map(|start| start + self.state.min_interval);
        Some(start.unwrap_or_default())
    }

    /// Handles the outcome of the append in flight.
    pub fn append_done(
        &mut self,
        sequence: u64,
        outcome: AppendOutcome,
        now: ClockTime,
        rng: &mut impl RngCore,
    ) -> AppendProgress {
        let Some(append) = &mut self.state.append else {
            return AppendProgress::Stale;
        };
        if append.row.sequence != sequence || append.retry_at.is_some() {
            return AppendProgress::Stale;
        }
        match outcome {
            AppendOutcome::Durable => {
                self.state.turns -= append.turns;
                self.state.bytes -= append.bytes;
                self.state.durable = sequence;
                self.state.append = None;
                AppendProgress::Durable(sequence)
            }
            AppendOutcome::Unavailable => {
                append.failures += 1;
                append.retry_at = Some(now + retry_backoff(append.failures, rng));
                AppendProgress::Retrying(append.failures)
            }
            AppendOutcome::Sealed => AppendProgress::Sealed,
        }
    }

    /// Ends the journal after another session has sealed it. Records that are not durable are dropped.
    pub fn seal(self) -> JournalWriter<SealedJournal> {
        JournalWriter {
            session: self.session,
            state: SealedJournal {
                durable: self.state.durable,
            },
        }
    }

    /// Returns the last durable row; zero before the first.
    pub fn durable(&self) -> u64 {
        self.state.durable
    }

    /// Returns `true` if no record is queued behind the append in flight.
    pub fn is_queue_empty(&self) -> bool {
        self.state.outage_rows.is_empty() && self.state.queue.iter().all(RowBatch::is_empty)
    }

    /// Returns `true` if the append in flight has failed at least once, so that the platform counts as unavailable
    /// for writes. It counts as down only after [`OUTAGE_FAILURES`] failed attempts.
    pub fn is_unavailable(&self) -> bool {
        self.state
            .append
            .as_ref()
            .is_some_and(|append| append.failures > 0)
    }

    /// Returns the number of turns that are not durable.
    pub fn undurable_turns(&self) -> usize {
        self.state.turns
    }

    /// Returns the bytes of records and bodies that are not durable.
    pub fn undurable_bytes(&self) -> usize {
        self.state.bytes
    }
}
