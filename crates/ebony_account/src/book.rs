//! The accounts of all programs at one entry.

use std::collections::HashMap;

use ebony_types::{ClockTime, ProgramName};
use slotmap::SlotMap;

use crate::allowance::{ProgramAllowance, unseen_tokens};
use crate::options::AccountOptions;
use crate::program_account::{CoverOutcome, ProgramAccount, ProgramOrigin, SecureOutcome, SpendOutcome};
use crate::turn::{AccountKey, CoverAsker, CoverWant, LentCover, TurnCover, TurnOpening, TurnRequest};

/// The accounts of all programs at one entry.
///
/// ```
/// use ebony_account::{
///     AccountBook, AccountOptions, CoverAsker, CoverOutcome, SecureOutcome, SpendOutcome, TurnOpening, TurnRequest,
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
/// // Nothing is handed on before the store recorded a grant.
/// assert_eq!(book.secure(&mut cover), SecureOutcome::Waiting);
/// let want = book.cover_wanted(cover.account(), CoverAsker::Owner).expect("the turn has no cover");
/// assert_eq!(want.tokens, 250);
/// book.settle_cover(cover.account(), CoverOutcome::Granted { tokens: 250, recorded: 250 });
/// assert_eq!(book.secure(&mut cover), SecureOutcome::Secured);
/// assert_eq!(book.spend(&mut cover, 7), SpendOutcome::Spent);
/// # Ok::<(), ebony_types::name::NameError>(())
/// ```
#[derive(Debug)]
pub struct AccountBook {
    options: AccountOptions,
    accounts: SlotMap<AccountKey, ProgramAccount>,
    programs: HashMap<ProgramName, AccountKey>,
    /// Until when a first turn may be the repeat of an attempt at an entry before this one.
    blind_until: Option<ClockTime>,
}

impl AccountBook {
    /// Creates an empty book of a system that starts for the first time.
    pub fn open(options: AccountOptions) -> Self {
        Self {
            options,
            accounts: SlotMap::with_key(),
            programs: HashMap::new(),
            blind_until: None,
        }
    }

    /// Creates an empty book of an entry that was started again or joins others. For a while it does not know whether a
    /// first turn was tried before, and hands nothing on that is not recorded.
    pub fn open_again(options: AccountOptions, now: ClockTime) -> Self {
        Self {
            blind_until: Some(now + options.retention),
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

    /// Returns whether the account is still kept.
    pub fn contains(&self, key: AccountKey) -> bool {
        self.accounts.contains_key(key)
    }

    /// Returns whether a turn is better covered before it is sent: little is left of the program's budget, or nothing is
    /// known of a program that had earlier turns or may have had some.
    ///
    /// Answers loads of programs that loop until they are stopped. Each turn that begins before its budget is found spent
    /// costs a target the reading of a long prompt.
    pub fn is_scarce(&self, key: AccountKey) -> bool {
        let Some(account) = self.accounts.get(key) else {
            return false;
        };
        let scarce = account.turn_tokens * self.options.scarce_turns;
        match account.left().or(account.lent_left) {
            Some(left) => left < scarce,
            None => !account.is_witnessed,
        }
    }

    /// Opens the account of a turn.
    pub fn open_turn(&mut self, turn: &TurnRequest, now: ClockTime) -> TurnOpening {
        let Some(key) = self.account_of(turn, now) else {
            return TurnOpening::Full;
        };
        let recheck = self.options.recheck;
        let account = &mut self.accounts[key];
        // Another entry may have given something back since the store had nothing left.
        let is_idle = account.open_turns == 0 && now.since(account.last_used) >= recheck;
        if !account.is_witnessed && is_idle && account.left() == Some(0) {
            account.recorded = None;
            account.is_told_spent = false;
        }
        account.last_used = now;
        account.open_turns += 1;
        account.turn_tokens = turn.most_tokens;
        account.has_moved_on |= turn.has_history;
        TurnOpening::Open(TurnCover {
            account: key,
            most_tokens: turn.most_tokens,
            event_tokens: turn.event_tokens,
            reserved: 0,
            is_waiting: false,
        })
    }

    /// Sets tokens aside for the whole turn, if they are covered.
    pub fn secure(&mut self, turn: &mut TurnCover) -> SecureOutcome {
        let Some(account) = self.accounts.get_mut(turn.account) else {
            return SecureOutcome::Exhausted;
        };
        let missing = turn.most_tokens.saturating_sub(turn.reserved);
        if account.free() >= missing {
            account.reserved += missing;
            turn.reserved += missing;
            stop_waiting(account, turn);
            return SecureOutcome::Secured;
        }
        if account.is_exhausted() {
            stop_waiting(account, turn);
            return SecureOutcome::Exhausted;
        }
        if !turn.is_waiting {
            turn.is_waiting = true;
            account.wanted += turn.most_tokens;
        }
        SecureOutcome::Waiting
    }

    /// Sets tokens aside for a turn while the store does not answer, from an allowance that needs no record.
    ///
    /// Only the owner of a program calls this, so that one entry alone hands on what is not recorded. Returns `false` if
    /// the allowance does not hold a turn of ordinary length.
    pub fn secure_by_allowance(&mut self, turn: &mut TurnCover, allowance: ProgramAllowance) -> bool {
        let Some(account) = self.accounts.get_mut(turn.account) else {
            return false;
        };
        let allowed = allowance.tokens(account, turn.most_tokens);
        let missing = turn.most_tokens.saturating_sub(turn.reserved + account.free());
        let drawn = missing.min(allowed.saturating_sub(account.debt));
        let tokens = (account.free() + drawn).min(turn.most_tokens - turn.reserved);
        let least = (self.options.allowance_events * turn.event_tokens).min(turn.most_tokens);
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

    /// Sets aside what is covered for a turn, up to all of it.
    pub fn secure_partly(&mut self, turn: &mut TurnCover) {
        let Some(account) = self.accounts.get_mut(turn.account) else {
            return;
        };
        let tokens = account.free().min(turn.most_tokens.saturating_sub(turn.reserved));
        account.reserved += tokens;
        turn.reserved += tokens;
        stop_waiting(account, turn);
    }

    /// Gives the cover of a turn to another entry, which will hand on the tokens.
    pub fn hand_over(&mut self, turn: &mut TurnCover) -> LentCover {
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

    /// Notes that another entry, the owner of the program, found the budget spent.
    pub fn record_exhausted(&mut self, key: AccountKey) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.recorded = Some(account.budget);
            account.is_told_spent = true;
            account.is_witnessed = false;
        }
    }

    /// Returns whether the owner of the program lately said that the budget is spent. The store alone does not tell: the
    /// owner may hold granted tokens that no turn uses.
    pub fn is_told_spent(&self, key: AccountKey) -> bool {
        self.accounts
            .get(key)
            .is_some_and(|account| account.is_told_spent)
    }

    /// Returns the programs with cover that no turn needs.
    pub fn idle_programs(&self) -> Vec<(AccountKey, ProgramName)> {
        let accounts = self.accounts.iter();
        let idle = accounts.filter(|(_, account)| account.open_turns == 0 && account.free() > 0);
        idle.map(|(key, account)| (key, account.program.clone()))
            .collect()
    }

    /// Takes the cover that no turn needs, if no turn is under way, so that it can be given back.
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

    /// Returns the budget of a program; 0 if the account is gone.
    pub fn budget(&self, key: AccountKey) -> u64 {
        self.accounts.get(key).map_or(0, |account| account.budget)
    }

    /// Takes back cover that another entry did not need. The store has recorded it, so that it counts also for a program of
    /// which this entry knows nothing else. Returns whether there was room for an account.
    pub fn take_back(&mut self, program: &ProgramName, budget: u64, tokens: u64, now: ClockTime) -> bool {
        let Some(key) = self.account_for(program, budget, ProgramOrigin::Later, now) else {
            return false;
        };
        self.accounts[key].covered += tokens;
        true
    }

    /// Adds cover that the owner of the program gave.
    pub fn add_cover(&mut self, key: AccountKey, cover: LentCover) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.covered += cover.tokens;
            // The owner knows more than what this entry was granted earlier.
            account.recorded = None;
            account.lent_left = cover.left;
            account.is_told_spent = false;
            account.is_witnessed = false;
        }
    }

    /// Spends tokens of a turn that are about to be handed on.
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
            account.wanted += turn.most_tokens;
        }
        SpendOutcome::Uncovered
    }

    /// Ends a turn.
    pub fn close_turn(&mut self, turn: &mut TurnCover, now: ClockTime) {
        if let Some(account) = self.accounts.get_mut(turn.account) {
            account.last_used = now;
            account.open_turns = account.open_turns.saturating_sub(1);
            account.reserved -= std::mem::take(&mut turn.reserved);
            stop_waiting(account, turn);
        }
    }

    /// Returns the request to the store that is due, if any, and notes that it is under way.
    pub fn cover_wanted(&mut self, key: AccountKey, asker: CoverAsker) -> Option<CoverWant> {
        let account = self.accounts.get_mut(key)?;
        if account.is_asking {
            return None;
        }
        let needed = account.wanted.saturating_sub(account.free());
        let mut tokens = needed;
        // A debt without a row is recorded with a grant, so that what is handed on meanwhile is safe.
        let is_new_debt = account.debt > 0 && account.recorded.is_none();
        if account.left() == Some(0) {
            tokens = 0;
        } else if tokens > 0 || is_new_debt {
            tokens = tokens.max(match asker {
                CoverAsker::Borrower => 0,
                CoverAsker::Owner => {
                    let block = account.budget / self.options.block_divisor;
                    block.min(account.left().unwrap_or(account.budget) / asker.spare_divisor())
                }
                CoverAsker::OwnerWithoutStore => unseen_tokens(account.left().unwrap_or(account.budget)),
            });
        }
        if tokens == 0 && account.debt == 0 {
            return None;
        }
        let asked = tokens + account.debt;
        account.least_asked = Some(account.least_asked.map_or(asked, |least| least.min(asked)));
        account.is_asking = true;
        Some(CoverWant {
            program: account.program.clone(),
            budget: account.budget,
            tokens,
            needed,
            spare_divisor: asker.spare_divisor(),
            debt: account.debt,
            unseen: match account.is_witnessed {
                true => 0,
                false => account.unseen,
            },
        })
    }

    /// Notes what became of the request to the store.
    pub fn settle_cover(&mut self, key: AccountKey, outcome: CoverOutcome) {
        let Some(account) = self.accounts.get_mut(key) else {
            return;
        };
        account.is_asking = false;
        if let CoverOutcome::Granted { tokens, recorded } = outcome {
            account.covered += tokens;
            account.recorded = Some(recorded);
        }
    }

    /// Notes a grant that came besides the request under way.
    pub fn credit(&mut self, key: AccountKey, tokens: u64, recorded: u64) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.covered += tokens;
            account.recorded = Some(account.recorded.unwrap_or_default().max(recorded));
        }
    }

    /// Notes that the debt of a request was recorded.
    pub fn settle_debt(&mut self, key: AccountKey, debt: u64) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.debt = account.debt.saturating_sub(debt);
        }
    }

    /// Drops accounts that had no turn for the retention time.
    pub fn evict_idle(&mut self, now: ClockTime) {
        let retention = self.options.retention;
        self.accounts
            .retain(|_, account| account.is_in_use() || now.since(account.last_used) < retention);
        let accounts = &self.accounts;
        self.programs.retain(|_, key| accounts.contains_key(*key));
    }

    fn account_of(&mut self, turn: &TurnRequest, now: ClockTime) -> Option<AccountKey> {
        let origin = match turn.has_history {
            true => ProgramOrigin::Later,
            false if self.blind_until.is_some_and(|until| now < until) => ProgramOrigin::MaybeRepeated,
            false => ProgramOrigin::First,
        };
        self.account_for(&turn.program, turn.budget, origin, now)
    }

    /// Returns the account of a program, and opens one if there is room and none yet.
    fn account_for(
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
        account.wanted = account.wanted.saturating_sub(turn.most_tokens);
    }
}
