//! The token accounts of programs, and the requests for tokens to the store and to other gateways.
//!
//! Tokens that a program may spend without a further request are its cover; see [`ebony_account`].

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebony_account::{
    AccountBook, AccountKey, AccountOptions, AccountRecord, CoverOutcome, CoverRequest, CoverRequester,
    TurnOpening, TurnRequest,
};
use ebony_platform::table::{create_resolved, replace_resolved};
use ebony_platform::{PlatformError, RowKey, RowVersion, TableService, WriteNonce};
use ebony_types::rendezvous::rendezvous_weight;
use ebony_types::{ClockTime, ProblemCode, ProgramName};
use futures_util::future::{Either, FutureExt, select};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use slog::{Logger, info, warn};
use slotmap::SecondaryMap;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::decision_log::{DecisionLog, LineKind};
use crate::fleet::{CoverHolder, FleetView};
use crate::gateway::GatewayClock;
use crate::links::{Lending, PeerLinks};
use crate::metrics::GatewayMetrics;
use crate::open_turn::{CoverError, OpenTurn};
use crate::refusal::CallRefusal;

/// The table of accounts in the store.
const TABLE: &str = "accounts";

/// Partitions of the table. The store allows 200 transactions a second in one partition, and 800 in all of them
/// together.
const PARTS: u64 = 64;

/// The delay before the next request to the store after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long the owner of a program waits for the store before it also asks another gateway, which leaves that gateway
/// half of [`crate::open_turn::GRANT_TIMEOUT`].
const HEDGE_DELAY: Duration = Duration::from_millis(40);

/// The longest delay between two requests of one program to a store that cannot be reached. The feeds usually notice
/// earlier that it answers again.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The store counts as unavailable once all requests have failed for this long. A slow store still answers some
/// requests, and may record grants whose answers never arrive.
const UNAVAILABLE_AFTER: Duration = Duration::from_secs(1);

/// The timeout of a request to the store on behalf of another gateway.
const RELAY_TIMEOUT: Duration = Duration::from_millis(80);

/// How long this gateway declines requests of others after the store was too slow for one: two ping intervals, so that
/// the pongs tell every gateway.
const RELAY_SUSPENSION: Duration = Duration::from_secs(2);

/// The number of conditional writes of one grant that may conflict with other gateways before the request fails.
const MAX_CONFLICTS: u32 = 8;

/// The `Retry-After` of a turn that neither the store nor the allowance covers.
pub(crate) const UNCOVERED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The result of a step of a turn.
pub type Result<T, E = CallRefusal> = std::result::Result<T, E>;

/// A row as this gateway last read or wrote it.
#[derive(Clone, Copy, Debug)]
struct KnownRow {
    record: AccountRecord,
    version: RowVersion,
}

/// The program accounts of this gateway.
pub(crate) struct AccountManager {
    pub(crate) book: RefCell<AccountBook>,
    /// The rows of the accounts that this gateway recorded itself.
    rows: RefCell<SecondaryMap<AccountKey, KnownRow>>,
    /// Notified when the cover of an account changed.
    pub(crate) changes: RefCell<SecondaryMap<AccountKey, Rc<Notify>>>,
    store: Rc<dyn TableService>,
    pub(crate) fleet: Rc<FleetView>,
    pub(crate) links: Rc<PeerLinks>,
    /// Since when all requests to the store have failed; `None` if the last one was answered.
    failing_since: Cell<Option<ClockTime>>,
    /// Notified when the store answers again.
    store_back: Notify,
    /// Until when an owner that is gone may have forwarded tokens without a record; see
    /// [`Self::note_possible_outage`].
    outage_possible_until: Cell<ClockTime>,
    /// How long accounts are kept.
    retention: Duration,
    /// Until when requests of other gateways are declined because the store is slow.
    relays_suspended_until: Cell<ClockTime>,
    pub(crate) clock: GatewayClock,
    random: RefCell<StdRng>,
    decisions: Rc<DecisionLog>,
    metrics: Rc<GatewayMetrics>,
}

impl AccountManager {
    pub(crate) fn open(
        store: Rc<dyn TableService>,
        fleet: Rc<FleetView>,
        links: Rc<PeerLinks>,
        clock: GatewayClock,
        decisions: Rc<DecisionLog>,
        metrics: Rc<GatewayMetrics>,
        is_first_start: bool,
    ) -> Rc<Self> {
        let options = AccountOptions::default();
        let book = match is_first_start {
            true => AccountBook::open(options),
            false => AccountBook::open_after_restart(options, clock.now()),
        };
        Rc::new(Self {
            book: RefCell::new(book),
            rows: RefCell::default(),
            changes: RefCell::default(),
            store,
            fleet,
            links,
            failing_since: Cell::default(),
            store_back: Notify::new(),
            outage_possible_until: Cell::default(),
            retention: options.retention,
            relays_suspended_until: Cell::default(),
            clock,
            random: RefCell::new(StdRng::from_os_rng()),
            decisions,
            metrics,
        })
    }

    /// Opens a turn.
    ///
    /// # Errors
    ///
    /// Refuses the turn if too many programs are open.
    pub(crate) fn open_turn(self: &Rc<Self>, turn: &TurnRequest) -> Result<OpenTurn> {
        let opening = self.book.borrow_mut().open_turn(turn, self.clock.now());
        match opening {
            TurnOpening::Open(cover) => Ok(OpenTurn::open(Rc::clone(self), turn.clone(), cover)),
            TurnOpening::Full => {
                let refusal = CallRefusal::not_run(ProblemCode::Overloaded, "too many programs are open");
                Err(refusal.retry_after(UNCOVERED_RETRY_AFTER))
            }
        }
    }

    /// Covers a turn of another gateway, as the owner of its program or in place of the owner.
    pub(crate) async fn lend(self: &Rc<Self>, turn: &TurnRequest) -> Lending {
        // A gateway without room for another account can lend no more than one without a store.
        let open = self.open_turn(turn).map_err(|_| CoverError::StoreAway)?;
        open.reserve_for_peer().await?;
        let cover = open.lend_cover();
        if self.count_and_admit("lent") {
            info!(self.decisions.logger, "tokens lent";
                "program" => turn.program.as_str(), "tokens" => cover.tokens, "left" => cover.left);
        }
        Ok(cover)
    }

    /// Evicts accounts that have been idle for long.
    pub(crate) fn evict_idle(&self) {
        let mut book = self.book.borrow_mut();
        book.evict_idle(self.clock.now());
        self.rows.borrow_mut().retain(|account, _| book.contains(account));
        self.changes
            .borrow_mut()
            .retain(|account, _| book.contains(account));
    }

    /// Returns the number of accounts.
    pub(crate) fn len(&self) -> usize {
        self.book.borrow().len()
    }

    /// Takes back cover that another gateway borrowed and did not need.
    pub(crate) fn reclaim(&self, program: &ProgramName, budget: u64, tokens: u64) {
        let now = self.clock.now();
        let is_taken = self.book.borrow_mut().take_back(program, budget, tokens, now);
        if self.count_and_admit(if is_taken { "taken_back" } else { "not_taken_back" }) {
            info!(self.decisions.logger, "lent tokens returned";
                "program" => program.as_str(), "tokens" => tokens, "is_taken" => is_taken);
        }
    }

    /// Returns whether this gateway reaches the store, judged by its latest requests.
    pub(crate) fn reaches_store(&self) -> bool {
        self.failing_since.get().is_none()
    }

    /// Returns whether a grant can probably be recorded: this gateway or a linked one reaches the store.
    pub(crate) fn can_record(&self) -> bool {
        self.reaches_store() || self.links.reaches_store()
    }

    /// Returns whether the store is unavailable rather than slow; see [`UNAVAILABLE_AFTER`].
    pub(crate) fn is_store_unavailable(&self) -> bool {
        let failing_since = self.failing_since.get();
        failing_since.is_some_and(|since| self.clock.now().since(since) >= UNAVAILABLE_AFTER)
    }

    /// Records that the store answered a request of this gateway.
    pub(crate) fn mark_store_reachable(&self) {
        if self.failing_since.take().is_some() {
            self.store_back.notify_waiters();
            info!(self.decisions.logger, "accounts are recorded again");
        }
    }

    /// Waits before a request to the store is repeated: for `delay`, or until the store answers another request.
    pub(crate) async fn await_store(&self, delay: Duration) {
        timeout(delay, self.store_back.notified()).await.ok();
    }

    /// Records that the store did not answer.
    pub(crate) fn mark_store_unreachable(&self, cause: &str) {
        if self.failing_since.get().is_none() {
            self.failing_since.set(Some(self.clock.now()));
            self.note_possible_outage();
            warn!(self.decisions.logger, "accounts are not recorded"; "cause" => cause);
        }
    }

    /// Notes that the store may be away for all gateways, unless this gateway and enough others reach it. Owners forward
    /// tokens without a record in such an outage, and may be gone after it.
    ///
    /// An owner relies on no gateway reaching the store that it is linked to, and on links to half of the others. This
    /// cannot be so while more than half of the gateways besides any owner reach the store.
    pub(crate) fn note_possible_outage(&self) {
        let others = self.fleet.peers().len();
        let reaching = self.links.count_reaching_store() + 1;
        if !self.reaches_store() || reaching * 2 <= others {
            self.outage_possible_until.set(self.clock.now() + self.retention);
        }
    }

    /// Requests cover for an account in the background, if it needs some and no request is pending.
    pub(crate) fn request_cover_if_due(self: &Rc<Self>, account: AccountKey, program: &ProgramName) {
        let holder = self.holder(program);
        if holder != CoverHolder::Own && self.clock.now() < self.outage_possible_until.get() {
            self.book.borrow_mut().record_lost_owner(account);
        }
        let requester = match holder {
            CoverHolder::Own if !self.can_record() => CoverRequester::OwnerWithoutStore,
            CoverHolder::Own | CoverHolder::ActingOwner => CoverRequester::Owner,
            CoverHolder::Peer(_) | CoverHolder::Unknown => CoverRequester::Borrower,
        };
        let request = self.book.borrow_mut().next_request(account, requester);
        if let Some(request) = request {
            let manager = Rc::clone(self);
            tokio::task::spawn_local(async move { manager.request_cover(account, request).await });
        }
    }

    async fn request_cover(self: Rc<Self>, account: AccountKey, request: CoverRequest) {
        let (outcome, recorded_debt) = self.record_or_relay(account, &request).await;
        match outcome {
            CoverOutcome::Granted { tokens, recorded } => {
                let is_spent = tokens == 0 && request.tokens > 0;
                if self.count_and_admit(if is_spent { "spent" } else { "granted" }) {
                    info!(self.decisions.logger, "tokens granted"; "program" => request.program.as_str(),
                        "asked" => request.tokens, "tokens" => tokens, "debt" => recorded_debt, "recorded" => recorded);
                }
                self.book.borrow_mut().settle_debt(account, recorded_debt);
            }
            CoverOutcome::Unavailable => {
                if self.count_and_admit("unavailable") {
                    info!(self.decisions.logger, "a request for tokens was not answered";
                        "program" => request.program.as_str(), "asked" => request.tokens);
                }
                self.rows.borrow_mut().remove(account);
                self.book.borrow_mut().release_debt(account, request.debt);
                self.notify(account);
                let delay = match self.reaches_store() {
                    true => RETRY_DELAY,
                    false => UNREACHABLE_RETRY_DELAY,
                };
                self.await_store(delay).await;
            }
        }
        self.book.borrow_mut().settle_cover(account, outcome);
        self.notify(account);
        // The turn may have been refused meanwhile, so that its cover is free.
        self.give_back(account, &request.program);
        self.request_cover_if_due(account, &request.program);
    }

    /// Records a request in the store, or through another gateway if this one does not reach the store. Returns the
    /// outcome and the debt that was recorded with it.
    async fn record_or_relay(
        self: &Rc<Self>,
        account: AccountKey,
        request: &CoverRequest,
    ) -> (CoverOutcome, u64) {
        if self.reaches_store() {
            match self.record_or_hedge(account, request).await {
                Ok(recorded) => return recorded,
                Err(error) => self.mark_store_unreachable(&error.to_string()),
            }
        }
        self.rows.borrow_mut().remove(account);
        let outcome = match self.links.record(request).await {
            Some(outcome) => outcome,
            None => match self.record(Some(account), request).await {
                Ok(outcome) => {
                    self.mark_store_reachable();
                    outcome
                }
                Err(_) => CoverOutcome::Unavailable,
            },
        };
        (outcome, request.debt)
    }

    /// Records a request in the store. If the store does not answer within [`HEDGE_DELAY`], another gateway also
    /// records the part that turns wait for. The first answer counts; a later grant is added to the cover.
    ///
    /// Returns the outcome and the debt that was recorded with it. The other gateway records no debt: it is settled by
    /// the answer to the own write, which may arrive later or never.
    async fn record_or_hedge(
        self: &Rc<Self>,
        account: AccountKey,
        request: &CoverRequest,
    ) -> Result<(CoverOutcome, u64), PlatformError> {
        let debt = request.debt;
        let (manager, own_request) = (Rc::clone(self), request.clone());
        let mut recording = Box::pin(async move { manager.record(Some(account), &own_request).await });
        if let Ok(result) = timeout(HEDGE_DELAY, &mut recording).await {
            return result.map(|outcome| (outcome, debt));
        }
        if !self.book.borrow().may_hedge(account, request) {
            return recording.await.map(|outcome| (outcome, debt));
        }
        let (manager, needed) = (Rc::clone(self), request.needed_alone());
        let relaying = Box::pin(async move { manager.links.record(&needed).await });
        match select(relaying, recording).await {
            Either::Left((Some(outcome), recording)) => {
                self.mark_store_unreachable("another gateway answered first");
                self.credit_late_grant(account, request, recording.map(Result::ok), debt);
                Ok((outcome, 0))
            }
            Either::Left((None, recording)) => recording.await.map(|outcome| (outcome, debt)),
            Either::Right((result, relaying)) => {
                self.credit_late_grant(account, request, relaying, 0);
                result.map(|outcome| (outcome, debt))
            }
        }
    }

    /// Adds the grant of the hedged request that was answered last, if it is answered, and settles the debt that it
    /// contained. Without an answer the debt is requested again.
    fn credit_late_grant(
        self: &Rc<Self>,
        account: AccountKey,
        request: &CoverRequest,
        late: impl Future<Output = Option<CoverOutcome>> + 'static,
        debt: u64,
    ) {
        let (manager, program) = (Rc::clone(self), request.program.clone());
        tokio::task::spawn_local(async move {
            match late.await {
                Some(CoverOutcome::Granted { tokens, recorded }) => {
                    let mut book = manager.book.borrow_mut();
                    book.credit(account, tokens, recorded);
                    book.settle_debt(account, debt);
                }
                Some(CoverOutcome::Unavailable) | None => {
                    manager.book.borrow_mut().release_debt(account, debt);
                    if debt > 0 {
                        manager.request_cover_if_due(account, &program);
                    }
                }
            }
            manager.notify(account);
        });
    }

    /// Counts the outcome of a request for cover, and returns whether it may be logged.
    pub(crate) fn count_and_admit(&self, outcome: &str) -> bool {
        self.metrics.covers.with_label_values(&[outcome]).inc();
        self.decisions.admits(LineKind::State)
    }

    pub(crate) fn logger(&self) -> &Logger {
        &self.decisions.logger
    }

    /// Returns the gateway that covers the turns of a program.
    pub(crate) fn holder(&self, program: &ProgramName) -> CoverHolder {
        self.fleet
            .holder(program, |peer| self.links.is_presumed_gone(peer))
    }

    /// Returns unused cover to those owners of the programs that are linked.
    pub(crate) fn return_idle_cover(&self) {
        let idle = self.book.borrow().idle_programs();
        for (account, program) in idle {
            self.give_back(account, &program);
        }
    }

    /// Returns unused cover of a program to its owner, if the owner is linked. Otherwise it is kept for later turns.
    pub(crate) fn give_back(&self, account: AccountKey, program: &ProgramName) {
        let CoverHolder::Peer(holder) = self.holder(program) else {
            return;
        };
        if !self.links.is_linked(&holder) {
            return;
        }
        let tokens = self.book.borrow_mut().take_free(account);
        if tokens > 0 {
            let budget = self.book.borrow().budget(account);
            self.links.give_back(&holder, program, budget, tokens);
        }
    }

    /// Records a request of another gateway. Returns `None` if this gateway declines it or the store does not answer.
    pub(crate) async fn record_for(&self, request: &CoverRequest) -> Option<CoverOutcome> {
        if !self.serves_relays() {
            return None;
        }
        match timeout(RELAY_TIMEOUT, self.record(None, request)).await {
            Ok(Ok(outcome)) => Some(outcome),
            Ok(Err(error)) => {
                self.mark_store_unreachable(&error.to_string());
                None
            }
            Err(_) => {
                self.relays_suspended_until
                    .set(self.clock.now() + RELAY_SUSPENSION);
                if self.count_and_admit("relay_slow") {
                    info!(self.decisions.logger, "the store is too slow to record for other gateways";
                        "program" => request.program.as_str());
                }
                None
            }
        }
    }

    /// Returns whether this gateway records requests of others. With a slow store it would only delay them.
    pub(crate) fn serves_relays(&self) -> bool {
        self.reaches_store() && self.clock.now() >= self.relays_suspended_until.get()
    }

    fn notify(&self, account: AccountKey) {
        if let Some(changes) = self.changes.borrow().get(account) {
            changes.notify_waiters();
        }
    }

    /// Records a request in the store by a conditional write, repeated after conflicts.
    async fn record(
        &self,
        account: Option<AccountKey>,
        request: &CoverRequest,
    ) -> Result<CoverOutcome, PlatformError> {
        let key = row_key(&request.program);
        let mut known = account.and_then(|account| self.rows.borrow().get(account).copied());
        let last_known = known.map(|row| row.record);
        for attempt in 0..MAX_CONFLICTS {
            if attempt > 0 {
                known = self.read(&key).await?;
            }
            let mut record = match known {
                Some(row) => row.record,
                // A known row that is missing was removed by a sweep for its age; the program is not new.
                None => last_known.unwrap_or(AccountRecord::open_with_unrecorded(
                    request.budget,
                    request.unseen,
                )),
            };
            record.record_debt(request.debt);
            let tokens = record.grant(request);
            let outcome = CoverOutcome::Granted {
                tokens,
                recorded: record.granted,
            };
            if known.is_some_and(|row| row.record == record) {
                return Ok(outcome);
            }
            match self.write(&key, known.map(|row| row.version), record).await {
                Ok(version) => {
                    if let Some(account) = account {
                        let row = KnownRow { record, version };
                        self.rows.borrow_mut().insert(account, row);
                    }
                    return Ok(outcome);
                }
                Err(PlatformError::Conflict) => {}
                Err(error) => return Err(error),
            }
        }
        Err(PlatformError::Conflict)
    }

    async fn read(&self, key: &RowKey) -> Result<Option<KnownRow>, PlatformError> {
        let Some(row) = self.store.read(key).await? else {
            return Ok(None);
        };
        let record = AccountRecord::from_bytes(&row.value)
            .map_err(|error| PlatformError::Malformed(error.to_string()))?;
        Ok(Some(KnownRow {
            record,
            version: row.version,
        }))
    }

    async fn write(
        &self,
        key: &RowKey,
        version: Option<RowVersion>,
        record: AccountRecord,
    ) -> Result<RowVersion, PlatformError> {
        let value = Bytes::from(record.to_bytes());
        let nonce = WriteNonce(self.random.borrow_mut().random());
        match version {
            None => create_resolved(&*self.store, key, value, nonce).await,
            Some(version) => replace_resolved(&*self.store, key, version, value, nonce).await,
        }
    }
}

fn row_key(program: &ProgramName) -> RowKey {
    let part = rendezvous_weight(program.as_str(), TABLE) % PARTS;
    RowKey(format!("{}{program}", part_prefix(part)))
}

/// Returns the key prefix of a partition.
fn part_prefix(part: u64) -> String {
    format!("{TABLE}/{part:02}/")
}

/// Returns the key prefixes of all partitions.
pub(crate) fn part_prefixes() -> impl Iterator<Item = String> {
    (0..PARTS).map(part_prefix)
}
