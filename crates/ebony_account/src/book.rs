//! The accounts of all programs at one entry.

use std::collections::HashMap;

use ebony_types::{ClockTime, ProgramName};
use slotmap::SlotMap;

use crate::allowance::{ProgramAllowance, repeated_tokens, unseen_tokens};
use crate::options::AccountOptions;
use crate::program_account::{CoverOutcome, ProgramAccount, ProgramOrigin, ReserveOutcome, SpendOutcome};
use crate::turn::{AccountKey, CoverRequest, CoverRequester, LentCover, TurnCover, TurnOpening, TurnRequest};

/// The accounts of all programs at one entry.
///
/// ```
/// use ebony_account::{
///     AccountBook, AccountOptions, CoverOutcome, CoverRequester, ReserveOutcome, SpendOutcome, TurnOpening,
///     TurnRequest,
/// };
/// use ebony_types::{ClockTime, ProgramName};
///
/// let now = ClockTime::default();
/// let mut book = AccountBook::open(AccountOptions::default());
/// let turn = TurnRequest {
///     program: ProgramName::parse("3fa81c")?,
///     budget: 1_000,
///     most_tokens: 100,
///     event_tokens: 7,
///     has_history: false,
/// };
/// let TurnOpening::Open(mut cover) = book.open_turn(&turn, now) else { unreachable!() };
/// // Nothing is forwarded before the store has recorded a grant.
/// assert_eq!(book.reserve(&mut cover), ReserveOutcome::Waiting);
/// let request = book.next_request(cover.account(), CoverRequester::Owner).expect("the turn has no cover");
/// assert_eq!(request.tokens, 250);
/// book.settle_cover(cover.account(), CoverOutcome::Granted { tokens: 250, recorded: 250 });
/// assert_eq!(book.reserve(&mut cover), ReserveOutcome::Reserved);
/// assert_eq!(book.spend(&mut cover, 7), SpendOutcome::Spent);
/// # Ok::<(), ebony_types::name::NameError>(())
/// ```
#[derive(Debug)]
pub struct AccountBook {
    options: AccountOptions,
    accounts: SlotMap<AccountKey, ProgramAccount>,
    programs: HashMap<ProgramName, AccountKey>,
    /// Until when a first turn may repeat an attempt from before this entry was started.
    repeats_possible_until: Option<ClockTime>,
}

impl AccountBook {
    /// Creates the empty book of an entry in a system that starts for the first time.
    pub fn open(options: AccountOptions) -> Self {
        Self {
            options,
            accounts: SlotMap::with_key(),
            programs: HashMap::new(),
            repeats_possible_until: None,
        }
    }

    /// Creates the empty book of an entry that was restarted or joins others. For [`AccountOptions::retention`] it does
    /// not know whether a first turn was tried before, and allows no tokens without a grant.
    pub fn open_after_restart(options: AccountOptions, now: ClockTime) -> Self {
        Self {
            repeats_possible_until: Some(now + options.retention),
            ..Self::open(options)
        }
    }

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether there is no account.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns whether the account still exists.
    pub fn contains(&self, key: AccountKey) -> bool {
        self.accounts.contains_key(key)
    }

    /// Returns whether a turn should be covered before it is sent. This is so if little of the program's budget is
    /// left, or if the program had or may have had earlier turns and its remaining budget is unknown.
    ///
    /// This limits the cost of programs that loop until they are stopped: for each turn that is sent before its budget
    /// turns out to be spent, a target prefills a long prompt for nothing.
    pub fn needs_cover_first(&self, key: AccountKey) -> bool {
        let Some(account) = self.accounts.get(key) else {
            return false;
        };
        let threshold = account.turn_tokens * self.options.scarce_turns;
        match account.left().or(account.owner_left) {
            Some(left) => left < threshold,
            None => !account.knows_all_turns,
        }
    }

    /// Opens a turn, and an account if the program has none.
    pub fn open_turn(&mut self, turn: &TurnRequest, now: ClockTime) -> TurnOpening {
        let Some(key) = self.find_or_open_for_turn(turn, now) else {
            return TurnOpening::Full;
        };
        let recheck_interval = self.options.recheck_interval;
        let account = &mut self.accounts[key];
        // Another entry may have given cover back since the budget was found spent.
        let is_idle = account.open_turns == 0 && now.since(account.last_used) >= recheck_interval;
        if !account.knows_all_turns && is_idle && account.left() == Some(0) {
            account.recorded = None;
            account.is_reported_spent = false;
        }
        account.last_used = now;
        account.open_turns += 1;
        account.turn_tokens = turn.most_tokens;
        if turn.has_history && !account.has_later_turn {
            account.has_later_turn = true;
            // The first turn was answered, so that more may have been forwarded without a record since.
            account.unseen = account.unseen.max(unseen_tokens(account.budget));
        }
        TurnOpening::Open(TurnCover {
            account: key,
            most_tokens: turn.most_tokens,
            event_tokens: turn.event_tokens,
            reserved: 0,
            is_waiting: false,
        })
    }

    /// Reserves the most tokens of the turn, if they are covered. Otherwise the turn waits for a grant.
    pub fn reserve(&mut self, turn: &mut TurnCover) -> ReserveOutcome {
        let Some(account) = self.accounts.get_mut(turn.account) else {
            return ReserveOutcome::Exhausted;
        };
        let missing = turn.most_tokens.saturating_sub(turn.reserved);
        if account.free() >= missing {
            account.reserved += missing;
            turn.reserved += missing;
            stop_waiting(account, turn);
            return ReserveOutcome::Reserved;
        }
        if account.is_exhausted() {
            stop_waiting(account, turn);
            return ReserveOutcome::Exhausted;
        }
        if !turn.is_waiting {
            turn.is_waiting = true;
            account.awaited += turn.most_tokens;
        }
        ReserveOutcome::Waiting
    }

    /// Reserves tokens for a turn from an allowance without a grant, while the store does not answer.
    ///
    /// Only the owner of a program may call this, so that only one entry forwards tokens without a record. Returns
    /// `false` if allowance and free cover together are below [`AccountOptions::min_allowance_events`].
    pub fn reserve_by_allowance(&mut self, turn: &mut TurnCover, allowance: ProgramAllowance) -> bool {
        let Some(account) = self.accounts.get_mut(turn.account) else {
            return false;
        };
        let allowed = allowance.tokens(account, turn.most_tokens);
        let missing = turn.most_tokens.saturating_sub(turn.reserved + account.free());
        let drawn = missing.min(allowed.saturating_sub(account.debt));
        let tokens = (account.free() + drawn).min(turn.most_tokens - turn.reserved);
        let least = (self.options.min_allowance_events * turn.event_tokens).min(turn.most_tokens);
        if turn.reserved + tokens < least {
            return false;
        }
        account.covered += drawn;
        account.debt += drawn;
        account.reserved += tokens;
        turn.reserved += tokens;
        stop_waiting(account, turn);
        true
    }

    /// Reserves the covered tokens for a turn, up to its most tokens.
    pub fn reserve_partly(&mut self, turn: &mut TurnCover) {
        let Some(account) = self.accounts.get_mut(turn.account) else {
            return;
        };
        let tokens = account.free().min(turn.most_tokens.saturating_sub(turn.reserved));
        account.reserved += tokens;
        turn.reserved += tokens;
        stop_waiting(account, turn);
    }

    /// Lends the cover of a turn to another entry, which will forward the tokens.
    pub fn lend_cover(&mut self, turn: &mut TurnCover) -> LentCover {
        let tokens = std::mem::take(&mut turn.reserved);
        let Some(account) = self.accounts.get_mut(turn.account) else {
            return LentCover { tokens, left: None };
        };
        account.reserved -= tokens;
        account.spent += tokens;
        LentCover {
            tokens,
            left: account.left().map(|left| left + account.free()),
        }
    }

    /// Records that the program's owner, another entry, reported the budget as spent.
    pub fn record_exhausted(&mut self, key: AccountKey) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.recorded = Some(account.budget);
            account.is_reported_spent = true;
            account.knows_all_turns = false;
        }
    }

    /// Records that this entry covers the program without its owner, which may have forwarded tokens without a record
    /// before it was gone.
    ///
    /// The entry cannot tell the first turn of a program from the repeat of one that the owner answered. If the program
    /// has no row, the most that the owner may have forwarded is recorded, less the one turn by which a budget may be
    /// exceeded.
    pub fn record_lost_owner(&mut self, key: AccountKey) {
        if let Some(account) = self.accounts.get_mut(key)
            && account.knows_all_turns
        {
            account.knows_all_turns = false;
            account.unseen = match account.has_later_turn {
                true => unseen_tokens(account.budget),
                false => repeated_tokens(account.budget),
            };
        }
    }

    /// Returns whether the owner of the program lately reported that the budget is spent. The store's record alone does
    /// not show that, because the owner may have granted tokens that no turn uses.
    pub fn is_reported_spent(&self, key: AccountKey) -> bool {
        self.accounts
            .get(key)
            .is_some_and(|account| account.is_reported_spent)
    }

    /// Returns the programs with free cover and no open turn.
    pub fn idle_programs(&self) -> Vec<(AccountKey, ProgramName)> {
        let accounts = self.accounts.iter();
        let idle = accounts.filter(|(_, account)| account.open_turns == 0 && account.free() > 0);
        idle.map(|(key, account)| (key, account.program.clone()))
            .collect()
    }

    /// Removes and returns the free cover of a program, to be given back. Returns 0 while it has an open turn or a
    /// debt.
    pub fn take_free(&mut self, key: AccountKey) -> u64 {
        let Some(account) = self.accounts.get_mut(key) else {
            return 0;
        };
        if account.open_turns > 0 || account.debt > 0 {
            return 0;
        }
        let free = account.free();
        account.covered -= free;
        free
    }

    /// Returns the budget of a program; 0 if the account no longer exists.
    pub fn budget(&self, key: AccountKey) -> u64 {
        self.accounts.get(key).map_or(0, |account| account.budget)
    }

    /// Takes back cover that another entry did not use. The store has recorded its grant, so that it is valid even if
    /// this entry knows nothing else about the program. Returns `false` if there is no room for an account.
    pub fn take_back(&mut self, program: &ProgramName, budget: u64, tokens: u64, now: ClockTime) -> bool {
        let Some(key) = self.find_or_open(program, budget, ProgramOrigin::Later, now) else {
            return false;
        };
        self.accounts[key].covered += tokens;
        true
    }

    /// Adds cover that the owner of the program lent.
    pub fn add_cover(&mut self, key: AccountKey, cover: LentCover) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.covered += cover.tokens;
            // The owner's figure is more recent than that of this entry's earlier grants.
            account.recorded = None;
            account.owner_left = cover.left;
            account.is_reported_spent = false;
            account.knows_all_turns = false;
        }
    }

    /// Spends tokens of a turn that are about to be forwarded.
    pub fn spend(&mut self, turn: &mut TurnCover, tokens: u64) -> SpendOutcome {
        let Some(account) = self.accounts.get_mut(turn.account) else {
            return SpendOutcome::Exhausted;
        };
        let from_turn = tokens.min(turn.reserved);
        if tokens - from_turn <= account.free() {
            turn.reserved -= from_turn;
            account.reserved -= from_turn;
            account.spent += tokens;
            return SpendOutcome::Spent;
        }
        if account.is_exhausted() {
            return SpendOutcome::Exhausted;
        }
        if !turn.is_waiting {
            turn.is_waiting = true;
            account.awaited += turn.most_tokens;
        }
        SpendOutcome::Uncovered
    }

    /// Closes a turn and frees its unused cover.
    pub fn close_turn(&mut self, turn: &mut TurnCover, now: ClockTime) {
        if let Some(account) = self.accounts.get_mut(turn.account) {
            account.last_used = now;
            account.open_turns = account.open_turns.saturating_sub(1);
            account.reserved -= std::mem::take(&mut turn.reserved);
            stop_waiting(account, turn);
        }
    }

    /// Returns the request that is due to the store, if any, and marks it as pending.
    pub fn next_request(&mut self, key: AccountKey, requester: CoverRequester) -> Option<CoverRequest> {
        let account = self.accounts.get_mut(key)?;
        if account.has_pending_request {
            return None;
        }
        let needed = account.awaited.saturating_sub(account.free());
        let mut tokens = needed;
        // The first debt of a program without a row is recorded with a grant, which covers what is forwarded meanwhile.
        let debt = account.debt.saturating_sub(account.requested_debt);
        let is_new_debt = debt > 0 && account.recorded.is_none();
        if account.left() == Some(0) {
            tokens = 0;
        } else if tokens > 0 || is_new_debt {
            tokens = tokens.max(match requester {
                CoverRequester::Borrower => 0,
                CoverRequester::Owner => {
                    let block = account.budget / self.options.block_divisor;
                    block.min(account.left().unwrap_or(account.budget) / requester.spare_divisor())
                }
                CoverRequester::OwnerWithoutStore => unseen_tokens(account.left().unwrap_or(account.budget)),
            });
        }
        if tokens == 0 && debt == 0 {
            return None;
        }
        let requested = tokens + debt;
        account.least_requested = Some(
            account
                .least_requested
                .map_or(requested, |least| least.min(requested)),
        );
        account.has_pending_request = true;
        account.requested_debt += debt;
        Some(CoverRequest {
            program: account.program.clone(),
            budget: account.budget,
            tokens,
            needed,
            spare_divisor: requester.spare_divisor(),
            debt,
            unseen: match account.knows_all_turns {
                true => 0,
                false => account.unseen,
            },
        })
    }

    /// Records the result of the pending request to the store.
    pub fn settle_cover(&mut self, key: AccountKey, outcome: CoverOutcome) {
        let Some(account) = self.accounts.get_mut(key) else {
            return;
        };
        account.has_pending_request = false;
        if let CoverOutcome::Granted { tokens, recorded } = outcome {
            account.covered += tokens;
            account.recorded = Some(recorded);
        }
    }

    /// Adds a grant that does not belong to the pending request, such as the late answer to a duplicate request.
    pub fn credit(&mut self, key: AccountKey, tokens: u64, recorded: u64) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.covered += tokens;
            account.recorded = Some(account.recorded.unwrap_or_default().max(recorded));
        }
    }

    /// Records that the store has recorded the debt of a request. Only the answer to a write that contained the debt
    /// shows this: a duplicate of the request, such as [`CoverRequest::needed_alone`], does not contain it, and the
    /// write that does may never be performed.
    pub fn settle_debt(&mut self, key: AccountKey, debt: u64) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.debt = account.debt.saturating_sub(debt);
            account.requested_debt = account.requested_debt.saturating_sub(debt);
        }
    }

    /// Returns whether another entry may record a request in place of this one without its debt, which is recorded
    /// later. A debt of more than one turn has to be recorded first: the store would grant the rest of the budget beside
    /// it.
    pub fn may_hedge(&self, key: AccountKey, request: &CoverRequest) -> bool {
        let account = self.accounts.get(key);
        account.is_some_and(|account| request.debt <= account.turn_tokens)
    }

    /// Records that the write that contained the debt of a request ended without an answer. The debt is part of the next
    /// request.
    pub fn release_debt(&mut self, key: AccountKey, debt: u64) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.requested_debt = account.requested_debt.saturating_sub(debt);
        }
    }

    /// Drops unused accounts that had no turn for [`AccountOptions::retention`].
    pub fn evict_idle(&mut self, now: ClockTime) {
        let retention = self.options.retention;
        self.accounts
            .retain(|_, account| account.is_in_use() || now.since(account.last_used) < retention);
        let accounts = &self.accounts;
        self.programs.retain(|_, key| accounts.contains_key(*key));
    }

    fn find_or_open_for_turn(&mut self, turn: &TurnRequest, now: ClockTime) -> Option<AccountKey> {
        let origin = match turn.has_history {
            true => ProgramOrigin::Later,
            false if self.repeats_possible_until.is_some_and(|until| now < until) => {
                ProgramOrigin::MaybeRepeated
            }
            false => ProgramOrigin::First,
        };
        self.find_or_open(&turn.program, turn.budget, origin, now)
    }

    /// Returns the account of a program. Opens one if there is none yet; `None` if there is no room.
    fn find_or_open(
        &mut self,
        program: &ProgramName,
        budget: u64,
        origin: ProgramOrigin,
        now: ClockTime,
    ) -> Option<AccountKey> {
        if let Some(key) = self.programs.get(program) {
            return Some(*key);
        }
        if self.accounts.len() >= self.options.max_accounts {
            self.evict_idle(now);
        }
        if self.accounts.len() >= self.options.max_accounts {
            return None;
        }
        let account = ProgramAccount::open(program.clone(), budget, origin, now);
        let key = self.accounts.insert(account);
        self.programs.insert(program.clone(), key);
        Some(key)
    }
}

fn stop_waiting(account: &mut ProgramAccount, turn: &mut TurnCover) {
    if std::mem::take(&mut turn.is_waiting) {
        account.awaited = account.awaited.saturating_sub(turn.most_tokens);
    }
}
