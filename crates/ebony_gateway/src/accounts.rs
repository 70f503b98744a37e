//! The account book with its requests to the store.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebony_account::{
    AccountBook, AccountKey, AccountOptions, AccountRecord, CoverAsker, CoverOutcome, CoverWant, TurnOpening,
    TurnRequest,
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

/// Parts of the table. A part takes 200 transactions a second, and all parts together 800.
const PARTS: u64 = 64;

/// The pause before the store is asked again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// How long the owner of a program waits for the store before it asks another entry as well. Leaves that entry half of
/// [`crate::open_turn::GRANT_PATIENCE`].
const HEDGE_PATIENCE: Duration = Duration::from_millis(40);

/// The longest pause before a store that was lost is asked again for one program. The feeds notice earlier when it is back.
const LOST_PAUSE: Duration = Duration::from_millis(500);

/// The store is taken to be away once all requests have failed for this long. A slow one still answers some, and records
/// grants that this entry does not hear of.
const AWAY_AFTER: Duration = Duration::from_secs(1);

/// How long a request of another entry waits for the store.
const RELAY_PATIENCE: Duration = Duration::from_millis(80);

/// How long an entry whose store was too slow declines requests of others: two pings, so that all of them hear of it.
const SLOW_PAUSE: Duration = Duration::from_secs(2);

/// Conditional writes of one grant that may lose to other entries before the request counts as failed.
const MOST_CONFLICTS: u32 = 8;

/// The time after which a program that the store and the allowance do not cover may come back.
pub(crate) const COME_BACK: Duration = Duration::from_millis(500);

/// The result of a step of a turn.
pub type Result<T, E = CallRefusal> = std::result::Result<T, E>;

/// A row as this entry read or wrote it last.
#[derive(Clone, Copy, Debug)]
struct KnownRow {
    record: AccountRecord,
    version: RowVersion,
}

/// The accounts of this entry.
pub(crate) struct AccountDesk {
    pub(crate) book: RefCell<AccountBook>,
    rows: RefCell<SecondaryMap<AccountKey, KnownRow>>,
    pub(crate) news: RefCell<SecondaryMap<AccountKey, Rc<Notify>>>,
    store: Rc<dyn TableService>,
    pub(crate) fleet: Rc<FleetView>,
    pub(crate) links: Rc<PeerLinks>,
    /// Since when requests to the store have failed; `None` if the last one was answered.
    lost_since: Cell<Option<ClockTime>>,
    /// Notified when the store answers again.
    store_back: Notify,
    /// Until when requests of other entries are not recorded, because the store is slow.
    slow_until: Cell<ClockTime>,
    pub(crate) clock: GatewayClock,
    random: RefCell<StdRng>,
    decisions: Rc<DecisionLog>,
    metrics: Rc<GatewayMetrics>,
}

impl AccountDesk {
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
            false => AccountBook::open_again(options, clock.now()),
        };
        Rc::new(Self {
            book: RefCell::new(book),
            rows: RefCell::default(),
            news: RefCell::default(),
            store,
            fleet,
            links,
            lost_since: Cell::default(),
            store_back: Notify::new(),
            slow_until: Cell::default(),
            clock,
            random: RefCell::new(StdRng::from_os_rng()),
            decisions,
            metrics,
        })
    }

    /// Opens a turn.
    pub(crate) fn open_turn(self: &Rc<Self>, turn: &TurnRequest) -> Result<OpenTurn> {
        let opening = self.book.borrow_mut().open_turn(turn, self.clock.now());
        match opening {
            TurnOpening::Open(cover) => Ok(OpenTurn::open(Rc::clone(self), turn.clone(), cover)),
            TurnOpening::Full => {
                let refusal = CallRefusal::not_run(ProblemCode::Overloaded, "too many programs are open");
                Err(refusal.come_back(COME_BACK))
            }
        }
    }

    /// Covers a turn of another entry, as the owner of its program or in the owner's place.
    pub(crate) async fn lend(self: &Rc<Self>, turn: &TurnRequest) -> Lending {
        // An entry without room for another account lends as little as one without the store.
        let open = self.open_turn(turn).map_err(|_| CoverError::StoreAway)?;
        open.secure_for_peer().await?;
        let cover = open.hand_over();
        if self.admits_line("lent") {
            info!(self.decisions.logger, "tokens lent";
                "program" => turn.program.as_str(), "tokens" => cover.tokens, "left" => cover.left);
        }
        Ok(cover)
    }

    /// Drops accounts that were not used for long.
    pub(crate) fn evict_idle(&self) {
        let mut book = self.book.borrow_mut();
        book.evict_idle(self.clock.now());
        self.rows.borrow_mut().retain(|account, _| book.contains(account));
        self.news.borrow_mut().retain(|account, _| book.contains(account));
    }

    /// Returns the number of accounts.
    pub(crate) fn len(&self) -> usize {
        self.book.borrow().len()
    }

    /// Takes back cover that another entry did not need.
    pub(crate) fn take_back(&self, program: &ProgramName, budget: u64, tokens: u64) {
        let now = self.clock.now();
        let is_taken = self.book.borrow_mut().take_back(program, budget, tokens, now);
        if self.admits_line(if is_taken { "taken_back" } else { "not_taken_back" }) {
            info!(self.decisions.logger, "tokens came back";
                "program" => program.as_str(), "tokens" => tokens, "is_taken" => is_taken);
        }
    }

    /// Returns whether this entry reaches the store, as far as it knows.
    pub(crate) fn reaches_store(&self) -> bool {
        self.lost_since.get().is_none()
    }

    /// Returns whether a grant can be recorded, as far as is known: this entry reaches the store, or a linked one does.
    pub(crate) fn can_record(&self) -> bool {
        self.reaches_store() || self.links.reaches_store()
    }

    /// Returns whether the store is away, and not slow.
    pub(crate) fn is_store_away(&self) -> bool {
        let lost_since = self.lost_since.get();
        lost_since.is_some_and(|since| self.clock.now().since(since) >= AWAY_AFTER)
    }

    /// Notes that the store answered another request of this entry.
    pub(crate) fn note_store_back(&self) {
        if self.lost_since.take().is_some() {
            self.store_back.notify_waiters();
            info!(self.decisions.logger, "accounts are recorded again");
        }
    }

    /// Waits before the store is asked again: for `pause`, or until it is back if that comes earlier.
    pub(crate) async fn await_store(&self, pause: Duration) {
        timeout(pause, self.store_back.notified()).await.ok();
    }

    /// Notes that the store did not answer.
    pub(crate) fn note_store_lost(&self, cause: &str) {
        if self.lost_since.get().is_none() {
            self.lost_since.set(Some(self.clock.now()));
            warn!(self.decisions.logger, "accounts are not recorded"; "cause" => cause);
        }
    }

    pub(crate) fn ask_if_due(self: &Rc<Self>, account: AccountKey, program: &ProgramName) {
        let asker = match self.holder(program) {
            CoverHolder::Own if !self.can_record() => CoverAsker::OwnerWithoutStore,
            CoverHolder::Own | CoverHolder::Deputy => CoverAsker::Owner,
            CoverHolder::Peer(_) | CoverHolder::Unknown => CoverAsker::Borrower,
        };
        let want = self.book.borrow_mut().cover_wanted(account, asker);
        if let Some(want) = want {
            let desk = Rc::clone(self);
            tokio::task::spawn_local(async move { desk.ask(account, want).await });
        }
    }

    async fn ask(self: Rc<Self>, account: AccountKey, want: CoverWant) {
        let outcome = self.record_or_relay(account, &want).await;
        match outcome {
            CoverOutcome::Granted { tokens, recorded } => {
                let is_spent = tokens == 0 && want.tokens > 0;
                if self.admits_line(if is_spent { "spent" } else { "granted" }) {
                    info!(self.decisions.logger, "tokens granted"; "program" => want.program.as_str(),
                        "asked" => want.tokens, "tokens" => tokens, "debt" => want.debt, "recorded" => recorded);
                }
                self.book.borrow_mut().settle_debt(account, want.debt);
            }
            CoverOutcome::Unavailable => {
                if self.admits_line("unavailable") {
                    info!(self.decisions.logger, "no answer to a request for tokens";
                        "program" => want.program.as_str(), "asked" => want.tokens);
                }
                self.rows.borrow_mut().remove(account);
                self.notify(account);
                let pause = match self.reaches_store() {
                    true => RETRY_PAUSE,
                    false => LOST_PAUSE,
                };
                self.await_store(pause).await;
            }
        }
        self.book.borrow_mut().settle_cover(account, outcome);
        self.notify(account);
        // The turn that asked may have been refused meanwhile.
        self.give_back(account, &want.program);
        self.ask_if_due(account, &want.program);
    }

    /// Records a request in the store, or has another entry record it that reaches the store.
    async fn record_or_relay(self: &Rc<Self>, account: AccountKey, want: &CoverWant) -> CoverOutcome {
        if self.reaches_store() {
            match self.record_or_hedge(account, want).await {
                Ok(outcome) => return outcome,
                Err(error) => self.note_store_lost(&error.to_string()),
            }
        }
        self.rows.borrow_mut().remove(account);
        match self.links.record(want).await {
            Some(outcome) => outcome,
            None => match self.record(Some(account), want).await {
                Ok(outcome) => {
                    self.note_store_back();
                    outcome
                }
                Err(_) => CoverOutcome::Unavailable,
            },
        }
    }

    /// Records a request in the store, and has another entry record what turns wait for if the store takes long to answer
    /// this one. The first answer counts, and a grant that comes later is added to the cover.
    async fn record_or_hedge(
        self: &Rc<Self>,
        account: AccountKey,
        want: &CoverWant,
    ) -> Result<CoverOutcome, PlatformError> {
        let (desk, own_want) = (Rc::clone(self), want.clone());
        let mut recording = Box::pin(async move { desk.record(Some(account), &own_want).await });
        if let Ok(result) = timeout(HEDGE_PATIENCE, &mut recording).await {
            return result;
        }
        let (desk, needed) = (Rc::clone(self), want.needed_alone());
        let relaying = Box::pin(async move { desk.links.record(&needed).await });
        match select(relaying, recording).await {
            Either::Left((Some(outcome), recording)) => {
                self.note_store_lost("another gateway had an answer first");
                self.credit_later(account, recording.map(Result::ok));
                Ok(outcome)
            }
            Either::Left((None, recording)) => recording.await,
            Either::Right((result, relaying)) => {
                self.credit_later(account, relaying);
                result
            }
        }
    }

    /// Adds the grant of the request that was not the first to be answered, if it comes.
    fn credit_later(
        self: &Rc<Self>,
        account: AccountKey,
        late: impl Future<Output = Option<CoverOutcome>> + 'static,
    ) {
        let desk = Rc::clone(self);
        tokio::task::spawn_local(async move {
            if let Some(CoverOutcome::Granted { tokens, recorded }) = late.await {
                desk.book.borrow_mut().credit(account, tokens, recorded);
                desk.notify(account);
            }
        });
    }

    /// Counts what became of a request for cover, and returns whether a line on it is written.
    pub(crate) fn admits_line(&self, outcome: &str) -> bool {
        self.metrics.covers.with_label_values(&[outcome]).inc();
        self.decisions.admits(LineKind::Belief)
    }

    pub(crate) fn logger(&self) -> &Logger {
        &self.decisions.logger
    }

    /// Returns the gateway that covers the turns of a program.
    pub(crate) fn holder(&self, program: &ProgramName) -> CoverHolder {
        self.fleet.holder(program, |peer| self.links.is_gone(peer))
    }

    /// Gives back cover that no turn needs to the owners of the programs, as far as they are linked.
    pub(crate) fn return_idle(&self) {
        let idle = self.book.borrow().idle_programs();
        for (account, program) in idle {
            self.give_back(account, &program);
        }
    }

    /// Gives back cover of a program that no turn needs, if its owner is linked. Otherwise later turns use it.
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

    /// Records a request of another entry. `None` if the store does not answer this entry either.
    pub(crate) async fn record_for(&self, want: &CoverWant) -> Option<CoverOutcome> {
        if !self.serves_relays() {
            return None;
        }
        match timeout(RELAY_PATIENCE, self.record(None, want)).await {
            Ok(Ok(outcome)) => Some(outcome),
            Ok(Err(error)) => {
                self.note_store_lost(&error.to_string());
                None
            }
            Err(_) => {
                self.slow_until.set(self.clock.now() + SLOW_PAUSE);
                if self.admits_line("relay_slow") {
                    info!(self.decisions.logger, "the store is too slow to record for other gateways";
                        "program" => want.program.as_str());
                }
                None
            }
        }
    }

    /// Returns whether this entry records requests of others. One whose store is slow would only keep them waiting.
    pub(crate) fn serves_relays(&self) -> bool {
        self.reaches_store() && self.clock.now() >= self.slow_until.get()
    }

    fn notify(&self, account: AccountKey) {
        if let Some(news) = self.news.borrow().get(account) {
            news.notify_waiters();
        }
    }

    /// Records a request in the store.
    async fn record(
        &self,
        account: Option<AccountKey>,
        want: &CoverWant,
    ) -> Result<CoverOutcome, PlatformError> {
        let key = row_key(&want.program);
        let mut known = account.and_then(|account| self.rows.borrow().get(account).copied());
        let last_known = known.map(|row| row.record);
        for attempt in 0..MOST_CONFLICTS {
            if attempt > 0 {
                known = self.read(&key).await?;
            }
            let mut record = match known {
                Some(row) => row.record,
                // A row that was known and is gone was removed for its age. Its program is not new.
                None => last_known.unwrap_or(AccountRecord::open_behind(want.budget, want.unseen)),
            };
            record.record_debt(want.debt);
            let tokens = record.grant(want);
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

fn part_prefix(part: u64) -> String {
    format!("{TABLE}/{part:02}/")
}

/// Returns what the keys of each part start with.
pub(crate) fn part_prefixes() -> impl Iterator<Item = String> {
    (0..PARTS).map(part_prefix)
}
