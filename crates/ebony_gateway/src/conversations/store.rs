//! Finds and records turns, in memory, in the store and through other gateways.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebony_conversation::{TurnCache, TurnChain, TurnRecord};
use ebony_platform::{PlatformError, TableService};
use ebony_routing::CallerIdentity;
use ebony_types::{ClockTime, ProgramName, TurnName};
use futures_util::future::{Either, select, try_join_all};
use slog::{info, warn};
use tokio::time::timeout;

use super::errors::{FindError, KeepError, Result};
use super::rows::TurnRows;
use crate::accounts::AccountManager;
use crate::decision_log::{DecisionLog, LineKind};
use crate::fleet::CoverHolder;
use crate::gateway::GatewayClock;
use crate::links::{PeerLinks, PeerTurn};
use crate::metrics::GatewayMetrics;

/// The maximum size of the records in memory. The turns that a gateway runs in the 60 s for which turns are kept take
/// less than 1 MB in the deployments; hosts of 88 MB have room for ten times that.
const CACHE_BYTES: usize = 8 * 1024 * 1024;

/// How long the store may take before other gateways are asked as well. The store usually answers in 4 to 10 ms.
const HEDGE_DELAY: Duration = Duration::from_millis(40);

/// How long the owner of a program may take before the store is read instead: a few times the latency between failure
/// domains.
const OWNER_TIMEOUT: Duration = Duration::from_millis(15);

/// The timeout of a request to the store on behalf of another gateway, which waits longer than this for the reply.
const RELAY_TIMEOUT: Duration = Duration::from_millis(100);

/// The delay before the first repeated request to the store. Doubles with each failure.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The maximum delay before a repeated request to the store. An answer whose record was refused during an outage of the
/// store ends this much after the outage at the latest.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// The records of kept conversations.
pub(crate) struct ConversationStore {
    rows: TurnRows,
    cache: RefCell<TurnCache>,
    links: Rc<PeerLinks>,
    accounts: Rc<AccountManager>,
    clock: GatewayClock,
    decisions: Rc<DecisionLog>,
    metrics: Rc<GatewayMetrics>,
}

impl ConversationStore {
    pub(crate) fn open(
        store: Rc<dyn TableService>,
        links: Rc<PeerLinks>,
        accounts: Rc<AccountManager>,
        clock: GatewayClock,
        decisions: Rc<DecisionLog>,
        metrics: Rc<GatewayMetrics>,
    ) -> Rc<Self> {
        Rc::new(Self {
            rows: TurnRows::open(store),
            cache: RefCell::new(TurnCache::open(CACHE_BYTES)),
            links,
            accounts,
            clock,
            decisions,
            metrics,
        })
    }

    /// Returns the conversation up to a turn, for `reader`. Waits until `limit` for a store that does not answer. The
    /// owner of `program` is asked first, because the turns are most likely of that program.
    ///
    /// # Errors
    ///
    /// Fails if a turn does not exist, belongs to another customer or cannot be read in time, or if the conversation is
    /// too large.
    pub(crate) async fn find_chain(
        &self,
        turn: &TurnName,
        program: Option<&ProgramName>,
        reader: &CallerIdentity,
        limit: ClockTime,
    ) -> Result<TurnChain> {
        let owner = program.and_then(|program| self.other_owner(program));
        let owner = owner.as_deref();
        let record = self.find_record(turn, owner, reader, limit).await?;
        let ancestors = record.ancestors.iter();
        let ancestors = ancestors.map(|turn| self.find_record(turn, owner, reader, limit));
        let ancestors = try_join_all(ancestors).await?;
        TurnChain::open(turn.clone(), record, ancestors).map_err(|_| FindError::TooLarge)
    }

    /// Returns the size of the records in memory, in bytes.
    pub(crate) fn cache_bytes(&self) -> usize {
        self.cache.borrow().bytes()
    }

    /// Returns the gateway that owns a program, if it is another one.
    fn other_owner(&self, program: &ProgramName) -> Option<String> {
        match self.accounts.holder(program) {
            CoverHolder::Peer(owner) => Some(owner),
            CoverHolder::Own | CoverHolder::ActingOwner | CoverHolder::Unknown => None,
        }
    }

    /// Returns the record of a turn if it belongs to the reader.
    async fn find_record(
        &self,
        turn: &TurnName,
        owner: Option<&str>,
        reader: &CallerIdentity,
        limit: ClockTime,
    ) -> Result<Rc<TurnRecord>> {
        let record = self.find_any_record(turn, owner, reader, limit).await?;
        if record.customer.as_ref() == reader.customer() {
            return Ok(record);
        }
        self.count("foreign");
        Err(FindError::Foreign)
    }

    /// Returns the record of a turn, whoever it belongs to: from memory, from the owner of the program, from the store
    /// or from another gateway.
    async fn find_any_record(
        &self,
        turn: &TurnName,
        owner: Option<&str>,
        reader: &CallerIdentity,
        limit: ClockTime,
    ) -> Result<Rc<TurnRecord>> {
        if let Some(record) = self.cache.borrow_mut().get(turn) {
            self.count("found_in_memory");
            return Ok(record);
        }
        if let Some(record) = self.read_from_owner(turn, owner, reader).await {
            return Ok(record);
        }
        let mut delay = FIRST_RETRY_DELAY;
        loop {
            match self.look_up(turn, reader).await {
                Ok(Some(record)) => return Ok(record),
                Ok(None) => {
                    self.count("absent");
                    return Err(FindError::Absent);
                }
                Err(error) if self.clock.now() + delay >= limit => {
                    self.count("store_away");
                    if self.decisions.admits(LineKind::State) {
                        info!(self.decisions.logger, "a previous turn cannot be looked for";
                            "turn" => turn.as_str(), "error" => %error);
                    }
                    return Err(FindError::StoreUnavailable);
                }
                Err(_) => self.accounts.await_store(delay).await,
            }
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Looks up a record in the store, and at other gateways as well if the store takes longer than usual.
    async fn look_up(
        &self,
        turn: &TurnName,
        reader: &CallerIdentity,
    ) -> Result<Option<Rc<TurnRecord>>, PlatformError> {
        let peers = self.read_from_peers(turn, reader);
        hedged(self.read(turn), self.hedge_delay(), peers).await
    }

    /// Returns how long to wait for the store before other gateways are asked as well.
    fn hedge_delay(&self) -> Duration {
        match self.accounts.reaches_store() {
            true => HEDGE_DELAY,
            false => Duration::ZERO,
        }
    }

    async fn read(&self, turn: &TurnName) -> Result<Option<Rc<TurnRecord>>, PlatformError> {
        let Some(bytes) = self.rows.read(turn).await? else {
            return Ok(None);
        };
        let record = TurnRecord::from_bytes(&bytes);
        let record = record.map_err(|error| PlatformError::Malformed(error.to_string()))?;
        self.count("found_in_store");
        Ok(Some(self.cache(turn, record)))
    }

    /// Asks the owner of the program, which is cheaper than a read of the store and usually has the record in memory.
    async fn read_from_owner(
        &self,
        turn: &TurnName,
        owner: Option<&str>,
        reader: &CallerIdentity,
    ) -> Option<Rc<TurnRecord>> {
        let asking = self.links.find_turn_at(owner?, turn);
        match timeout(OWNER_TIMEOUT, asking).await {
            Ok(PeerTurn::Held(bytes)) => {
                let record = self.cache_answer(turn, &bytes, reader)?;
                self.count("found_at_owner");
                Some(record)
            }
            Ok(PeerTurn::Absent | PeerTurn::Unknown) | Err(_) => None,
        }
    }

    /// Asks the other gateways. Returns `None` if none of them knows whether the turn exists, and `Some(None)` if it
    /// does not exist.
    async fn read_from_peers(
        &self,
        turn: &TurnName,
        reader: &CallerIdentity,
    ) -> Option<Option<Rc<TurnRecord>>> {
        match self.links.find_turn(turn).await {
            PeerTurn::Held(bytes) => {
                let record = self.cache_answer(turn, &bytes, reader)?;
                self.count("found_at_peer");
                Some(Some(record))
            }
            PeerTurn::Absent => Some(None),
            PeerTurn::Unknown => None,
        }
    }

    /// Decodes the record in another gateway's answer, and adds it to the cache.
    ///
    /// While customers are configured, a record without a customer counts as not found: gateways of an earlier build
    /// decode records and leave out the customer when they answer with them. The store has the whole record.
    fn cache_answer(&self, turn: &TurnName, bytes: &[u8], reader: &CallerIdentity) -> Option<Rc<TurnRecord>> {
        let record = self.decode_from_peer(turn, bytes)?;
        if record.customer.is_none() && *reader != CallerIdentity::Unrestricted {
            return None;
        }
        Some(self.cache(turn, record))
    }

    fn decode_from_peer(&self, turn: &TurnName, bytes: &[u8]) -> Option<TurnRecord> {
        match TurnRecord::from_bytes(bytes) {
            Ok(record) => Some(record),
            Err(error) => {
                warn!(self.decisions.logger, "the record of another gateway cannot be read";
                    "turn" => turn.as_str(), "error" => %error);
                None
            }
        }
    }

    /// Caches a record that another gateway sent because this one owns the program.
    pub(crate) fn cache_shared(&self, turn: &TurnName, bytes: &[u8]) {
        if let Some(record) = self.decode_from_peer(turn, bytes) {
            self.cache(turn, record);
            self.count("shared");
        }
    }

    fn cache(&self, turn: &TurnName, record: TurnRecord) -> Rc<TurnRecord> {
        let record = Rc::new(record);
        self.cache.borrow_mut().insert(turn.clone(), Rc::clone(&record));
        record
    }

    /// Records a turn. Repeats the write until the store answers; the caller has to limit the time.
    ///
    /// # Errors
    ///
    /// Fails if another turn has the same name.
    pub(crate) async fn record(&self, turn: &TurnName, record: TurnRecord) -> Result<(), KeepError> {
        let bytes = Bytes::from(record.to_bytes());
        let mut delay = FIRST_RETRY_DELAY;
        loop {
            match self.write_or_relay(turn, &bytes).await {
                Ok(()) => break,
                Err(PlatformError::Conflict) => {
                    self.count("name_taken");
                    return Err(KeepError::NameTaken);
                }
                Err(error) => {
                    self.count("keep_retried");
                    if self.decisions.admits(LineKind::State) {
                        info!(self.decisions.logger, "a turn is not recorded yet";
                            "call" => turn.as_str(), "error" => %error);
                    }
                }
            }
            self.accounts.await_store(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
        self.count("kept");
        let owner = record.program.as_ref();
        if let Some(owner) = owner.and_then(|program| self.other_owner(program)) {
            self.links.share_turn(&owner, turn, &bytes);
        }
        self.cache(turn, record);
        Ok(())
    }

    /// Writes a record, and has another gateway write it as well if the store takes longer than usual. Both may
    /// succeed, because records never change.
    async fn write_or_relay(&self, turn: &TurnName, record: &Bytes) -> Result<(), PlatformError> {
        let relaying = async {
            let is_kept = self.links.record_turn(turn, record).await;
            if is_kept {
                self.note_relayed(turn);
            }
            is_kept.then_some(())
        };
        hedged(self.rows.write(turn, record), self.hedge_delay(), relaying).await
    }

    fn note_relayed(&self, turn: &TurnName) {
        self.count("relayed");
        if self.decisions.admits(LineKind::State) {
            info!(self.decisions.logger, "another gateway recorded a turn"; "call" => turn.as_str());
        }
    }

    /// Looks up a record for another gateway: in memory and, if `reads_store` is set, in the store.
    pub(crate) async fn find_for_peer(&self, turn: &TurnName, reads_store: bool) -> PeerTurn {
        if let Some(record) = self.cache.borrow_mut().get(turn) {
            return PeerTurn::Held(record.to_bytes().into());
        }
        if !reads_store || !self.accounts.serves_relays() {
            return PeerTurn::Unknown;
        }
        match timeout(RELAY_TIMEOUT, self.rows.read(turn)).await {
            Ok(Ok(Some(bytes))) => PeerTurn::Held(bytes),
            Ok(Ok(None)) => PeerTurn::Absent,
            Ok(Err(_)) | Err(_) => PeerTurn::Unknown,
        }
    }

    /// Records a turn for another gateway. Returns whether the store has the record.
    pub(crate) async fn record_for_peer(&self, turn: &TurnName, record: Bytes) -> bool {
        if !self.accounts.serves_relays() {
            return false;
        }
        let written = timeout(RELAY_TIMEOUT, self.rows.write(turn, &record)).await;
        let is_kept = matches!(written, Ok(Ok(())));
        if self.decisions.admits(LineKind::State) {
            info!(self.decisions.logger, "recorded a turn of another gateway";
                "call" => turn.as_str(), "is_kept" => is_kept);
        }
        is_kept
    }

    fn count(&self, outcome: &str) {
        self.metrics.turns.with_label_values(&[outcome]).inc();
    }
}

/// Waits for the store's result, and for the result of other gateways as well once the store has failed or has taken
/// longer than `delay`. The first result counts. If the others have none either, the store's error is returned.
async fn hedged<T>(
    own: impl Future<Output = Result<T, PlatformError>>,
    delay: Duration,
    others: impl Future<Output = Option<T>>,
) -> Result<T, PlatformError> {
    let mut own = Box::pin(own);
    if !delay.is_zero() {
        match timeout(delay, &mut own).await {
            Ok(Err(error)) if error != PlatformError::Conflict => return others.await.ok_or(error),
            Ok(settled) => return settled,
            Err(_) => {}
        }
    }
    match select(own, Box::pin(others)).await {
        Either::Left((Err(error), others)) if error != PlatformError::Conflict => others.await.ok_or(error),
        Either::Left((settled, _)) => settled,
        Either::Right((Some(found), _)) => Ok(found),
        Either::Right((None, own)) => own.await,
    }
}
