//! The accounts of all programs at one entry.

use std::collections::HashMap;

use ebony_types::{ClockTime, ProgramName};
use slotmap::{SlotMap, new_key_type};

use crate::options::AccountOptions;
use crate::program_account::{CoverOutcome, ProgramAccount, SpendOutcome};

new_key_type! {
    /// The account of a program.
    pub struct AccountKey;
}

/// A turn that asks to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnRequest {
    /// The program.
    pub program: ProgramName,
    /// Tokens that all turns of the program may generate.
    pub budget: u64,
    /// The most tokens that this turn generates.
    pub most_tokens: u64,
    /// Tokens that one event stands for.
    pub event_tokens: u64,
}

/// Whether a turn may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnOpening {
    /// The turn may be sent to a target. [`AccountBook::close_turn`] ends it.
    Open(AccountKey),
    /// The budget does not hold the turn.
    Exhausted,
    /// All accounts are in use.
    Full,
}

/// A request for cover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoverWant {
    /// The program.
    pub program: ProgramName,
    /// The budget, for a program that the store does not know.
    pub budget: u64,
    /// The tokens to ask for.
    pub tokens: u64,
}

/// The accounts of all programs at one entry.
///
/// ```
/// use ebony_account::{AccountBook, AccountOptions, CoverOutcome, SpendOutcome, TurnOpening, TurnRequest};
/// use ebony_types::{ClockTime, ProgramName};
///
/// let now = ClockTime::default();
/// let mut book = AccountBook::open(AccountOptions::default());
/// let turn = TurnRequest {
///     program: ProgramName::parse("3fa81c")?,
///     budget: 1_000,
///     most_tokens: 100,
///     event_tokens: 7,
/// };
/// let TurnOpening::Open(account) = book.open_turn(&turn, now) else { unreachable!() };
/// // Nothing is handed on before the store recorded a grant.
/// assert_eq!(book.spend(account, 7), SpendOutcome::Uncovered);
/// let want = book.cover_wanted(account).expect("the account has no cover");
/// assert_eq!(want.tokens, 112);
/// book.settle_cover(account, CoverOutcome::Granted { tokens: 112, left: 888 });
/// assert_eq!(book.spend(account, 7), SpendOutcome::Spent);
/// # Ok::<(), ebony_types::name::NameError>(())
/// ```
#[derive(Debug)]
pub struct AccountBook {
    options: AccountOptions,
    accounts: SlotMap<AccountKey, ProgramAccount>,
    programs: HashMap<ProgramName, AccountKey>,
}

impl AccountBook {
    /// Creates an empty book.
    pub fn open(options: AccountOptions) -> Self {
        Self {
            options,
            accounts: SlotMap::with_key(),
            programs: HashMap::new(),
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

    /// Starts a turn, or says why it may not start.
    pub fn open_turn(&mut self, turn: &TurnRequest, now: ClockTime) -> TurnOpening {
        let Some(key) = self.account_of(turn, now) else {
            return TurnOpening::Full;
        };
        let account = &mut self.accounts[key];
        if account.refuses(turn.most_tokens, turn.event_tokens) {
            return TurnOpening::Exhausted;
        }
        account.last_used = now;
        account.open_turns += 1;
        TurnOpening::Open(key)
    }

    /// Ends a turn.
    pub fn close_turn(&mut self, key: AccountKey, now: ClockTime) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.last_used = now;
            account.open_turns = account.open_turns.saturating_sub(1);
        }
    }

    /// Returns the request for cover that is due, if any, and notes that it is under way.
    pub fn cover_wanted(&mut self, key: AccountKey) -> Option<CoverWant> {
        let account = self.accounts.get_mut(key)?;
        let turn_events = u64::from(account.open_turns) * account.event_tokens;
        let is_low = account.free() < turn_events * self.options.low_water_events;
        if account.is_asking || account.is_exhausted() || !is_low {
            return None;
        }
        account.is_asking = true;
        let share = account.budget / self.options.grant_divisor.max(1);
        let tokens = share.max(turn_events * self.options.grant_events);
        Some(CoverWant {
            program: account.program.clone(),
            budget: account.budget,
            tokens,
        })
    }

    /// Notes what became of the request for cover.
    pub fn settle_cover(&mut self, key: AccountKey, outcome: CoverOutcome) {
        let Some(account) = self.accounts.get_mut(key) else {
            return;
        };
        account.is_asking = false;
        if let CoverOutcome::Granted { tokens, left } = outcome {
            account.covered += tokens;
            account.left = Some(left);
        }
    }

    /// Spends tokens that are about to be handed on.
    pub fn spend(&mut self, key: AccountKey, tokens: u64) -> SpendOutcome {
        let Some(account) = self.accounts.get_mut(key) else {
            return SpendOutcome::Exhausted;
        };
        if account.free() >= tokens {
            account.spent += tokens;
            SpendOutcome::Spent
        } else if account.is_exhausted() {
            SpendOutcome::Exhausted
        } else {
            SpendOutcome::Uncovered
        }
    }

    /// Drops accounts that had no turn for the retention time.
    pub fn evict_idle(&mut self, now: ClockTime) {
        let retention = self.options.retention;
        self.accounts
            .retain(|_, account| account.open_turns > 0 || now.since(account.last_used) < retention);
        let accounts = &self.accounts;
        self.programs.retain(|_, key| accounts.contains_key(*key));
    }

    fn account_of(&mut self, turn: &TurnRequest, now: ClockTime) -> Option<AccountKey> {
        if let Some(key) = self.programs.get(&turn.program) {
            return Some(*key);
        }
        if self.accounts.len() >= self.options.max_accounts {
            self.evict_idle(now);
        }
        if self.accounts.len() >= self.options.max_accounts {
            return None;
        }
        let key = self.accounts.insert(ProgramAccount::open(
            turn.program.clone(),
            turn.budget,
            turn.event_tokens,
            now,
        ));
        self.programs.insert(turn.program.clone(), key);
        Some(key)
    }
}
