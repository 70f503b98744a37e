//! Budgets of programs and their ancestors.
//!
//! Before a call starts, it reserves its prompt and its longest answer in its program and in every ancestor; when it
//! ends, it settles with what it used. Reservations must survive the owner without a write for each call. A program
//! therefore reserves a block ahead: its *ceiling* is a durable upper bound of what its calls may spend, and a
//! successor counts the whole ceiling as spent. Ceilings count against the limits of the ancestors, and are lowered
//! again when another program of the tree needs the amount.

use ebony_types::{BudgetUse, ProblemCode, ProblemReport, ProgramBudget};

use crate::program::table::{ProgramEntry, ProgramKey, ProgramTable};

/// The result of reserving budget.
pub type Result<T, E = ProblemReport> = std::result::Result<T, E>;

/// Divides the limits of a program into blocks that it reserves ahead.
const BLOCK_DIVISOR: u32 = 16;

/// Volatile amounts of one program, and sums over the program and its descendants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetAccount {
    /// Reserved by calls that have not ended.
    pub reserved: BudgetUse,
    /// The ceiling that is known to be durable. A lower ceiling applies as soon as its record is queued, because a
    /// successor may find either value.
    pub durable_ceiling: BudgetUse,
    /// How often the ceiling was lowered. A raise whose record precedes the last decrease is void.
    pub ceiling_decreases: u32,
    /// Spent by the program and its descendants.
    pub subtree_spent: BudgetUse,
    /// Spent or reserved by the program and its descendants. The sum never exceeds the limits, unless a call used
    /// more than it reserved.
    pub subtree_committed: BudgetUse,
}

/// The reservation of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The ceiling to make durable before the call starts, if the present one is too low.
    pub raised_ceiling: Option<BudgetUse>,
}

/// Returns the minimum of tokens and the minimum of calls.
pub(crate) fn componentwise_min(left: BudgetUse, right: BudgetUse) -> BudgetUse {
    BudgetUse {
        tokens: left.tokens.min(right.tokens),
        calls: left.calls.min(right.calls),
    }
}

/// Returns the maximum of tokens and the maximum of calls.
pub(crate) fn componentwise_max(left: BudgetUse, right: BudgetUse) -> BudgetUse {
    BudgetUse {
        tokens: left.tokens.max(right.tokens),
        calls: left.calls.max(right.calls),
    }
}

/// Returns `true` if both tokens and calls of `amount` are within `limit`.
pub(crate) fn is_within(amount: BudgetUse, limit: BudgetUse) -> bool {
    amount.tokens <= limit.tokens && amount.calls <= limit.calls
}

fn limit_of(budget: ProgramBudget) -> BudgetUse {
    BudgetUse {
        tokens: budget.tokens,
        calls: budget.calls,
    }
}

/// Returns the block that a program reserves ahead: a sixteenth of its limits, and at least one call.
pub(crate) fn block_of(budget: ProgramBudget) -> BudgetUse {
    BudgetUse {
        tokens: budget.tokens / u64::from(BLOCK_DIVISOR),
        calls: (budget.calls / BLOCK_DIVISOR).max(1),
    }
}

impl ProgramEntry {
    fn own_spent(&self) -> BudgetUse {
        self.image.spent.plus(self.image.absorbed)
    }

    fn own_committed(&self) -> BudgetUse {
        componentwise_max(self.image.ceiling, self.spent_and_reserved()).plus(self.image.absorbed)
    }

    /// Returns what the program's own calls have spent and reserved.
    pub(crate) fn spent_and_reserved(&self) -> BudgetUse {
        self.image.spent.plus(self.account.reserved)
    }

    /// Updates the account after the ceiling changed from `former` in a record that is not durable yet.
    pub(crate) fn update_durable_ceiling(&mut self, former: BudgetUse) {
        let ceiling = self.image.ceiling;
        self.account.durable_ceiling = componentwise_min(self.account.durable_ceiling, ceiling);
        self.account.ceiling_decreases += u32::from(!is_within(former, ceiling));
    }

    /// Handles a ceiling whose row became durable, unless the ceiling was lowered after that record.
    pub(crate) fn confirm_ceiling(&mut self, ceiling: BudgetUse, ceiling_decreases: u32) {
        if ceiling_decreases == self.account.ceiling_decreases {
            self.account.durable_ceiling = ceiling;
        }
    }

    /// Returns `true` if the durable ceiling covers everything that the program's calls have spent and reserved.
    pub(crate) fn is_covered(&self) -> bool {
        is_within(self.spent_and_reserved(), self.account.durable_ceiling)
    }

    /// Initializes the sums of a program without children.
    pub(crate) fn open_account(&mut self) {
        self.account.subtree_spent = self.own_spent();
        self.account.subtree_committed = self.own_committed();
    }

    /// Returns `true` if the spent amounts leave no room for another call.
    fn is_exhausted(&self) -> bool {
        let (spent, budget) = (self.account.subtree_spent, self.image.budget);
        spent.tokens >= budget.tokens || spent.calls >= budget.calls
    }
}

impl ProgramTable {
    /// Changes a program and propagates the change of its amounts to its ancestors.
    pub(crate) fn update_account(&mut self, key: ProgramKey, change: impl FnOnce(&mut ProgramEntry)) {
        let Some(entry) = self.get_mut(key) else {
            return;
        };
        let (old_spent, old_committed) = (entry.own_spent(), entry.own_committed());
        change(entry);
        let (new_spent, new_committed) = (entry.own_spent(), entry.own_committed());
        if (old_spent, old_committed) == (new_spent, new_committed) {
            return;
        }
        self.update_ancestry(key, |account| {
            account.subtree_spent = account.subtree_spent.minus(old_spent).plus(new_spent);
            account.subtree_committed = account.subtree_committed.minus(old_committed).plus(new_committed);
        });
    }

    fn update_ancestry(&mut self, key: ProgramKey, change: impl Fn(&mut BudgetAccount)) {
        let mut next = Some(key);
        while let Some(entry) = next.and_then(|key| self.get_mut(key)) {
            change(&mut entry.account);
            next = entry.parent;
        }
    }

    /// Adds the amounts of a new child to its parent and the parent's ancestors.
    pub(crate) fn add_child_amounts(&mut self, parent: ProgramKey, child: BudgetAccount) {
        self.update_ancestry(parent, |account| {
            account.subtree_spent = account.subtree_spent.plus(child.subtree_spent);
            account.subtree_committed = account.subtree_committed.plus(child.subtree_committed);
        });
    }

    /// Subtracts the amounts of an evicted child from its parent and the parent's ancestors.
    pub(crate) fn subtract_child_amounts(&mut self, parent: ProgramKey, child: BudgetAccount) {
        self.update_ancestry(parent, |account| {
            account.subtree_spent = account.subtree_spent.minus(child.subtree_spent);
            account.subtree_committed = account.subtree_committed.minus(child.subtree_committed);
        });
    }

    /// Returns the highest value that a program's own amounts may reach within its limits and those of its ancestors.
    fn own_cap(&self, key: ProgramKey) -> BudgetUse {
        let Some(committed) = self.get(key).map(ProgramEntry::own_committed) else {
            return BudgetUse::default();
        };
        let absorbed = self
            .get(key)
            .map(|entry| entry.image.absorbed)
            .unwrap_or_default();
        let unlimited = BudgetUse {
            tokens: u64::MAX,
            calls: u32::MAX,
        };
        self.ancestry(key).fold(unlimited, |cap, (_, entry)| {
            let others = entry.account.subtree_committed.minus(committed).plus(absorbed);
            componentwise_min(cap, limit_of(entry.image.budget).minus(others))
        })
    }

    /// Reserves `need` for a call. Returns the ceiling to record if the present one does not cover the call.
    ///
    /// # Errors
    ///
    /// Returns [`ProblemCode::BudgetExhausted`] with the verdict not run if the program or an ancestor has too little
    /// left.
    pub(crate) fn reserve(&mut self, key: ProgramKey, need: BudgetUse) -> Result<Reservation> {
        let Some(entry) = self.get(key) else {
            return Err(exhausted());
        };
        let (wanted, ceiling) = (entry.spent_and_reserved().plus(need), entry.image.ceiling);
        let block = block_of(entry.image.budget);
        let cap = self.own_cap(key);
        if !is_within(wanted, cap) {
            return Err(exhausted());
        }
        self.update_account(key, |entry| {
            entry.account.reserved = entry.account.reserved.plus(need);
        });
        let is_raised = !is_within(wanted, ceiling);
        Ok(Reservation {
            raised_ceiling: is_raised
                .then(|| componentwise_max(ceiling, componentwise_min(wanted.plus(block), cap))),
        })
    }

    /// Releases the reservation of a call. The spent amount is recorded separately.
    pub(crate) fn release_reservation(&mut self, key: ProgramKey, need: BudgetUse) {
        self.update_account(key, |entry| {
            entry.account.reserved = entry.account.reserved.minus(need);
        });
    }

    /// Returns the ceiling to record with a settled call, so that a next call of `next_need` can start without a
    /// write: the present ceiling if it is enough, and otherwise a higher one within the limits of the program and
    /// its ancestors.
    pub(crate) fn ceiling_for_next(
        &self,
        key: ProgramKey,
        spent: BudgetUse,
        next_need: BudgetUse,
    ) -> BudgetUse {
        let Some(entry) = self.get(key) else {
            return spent;
        };
        let used = spent.plus(entry.account.reserved);
        let present = componentwise_max(entry.image.ceiling, used);
        if is_within(used.plus(next_need), present) {
            return present;
        }
        let wanted = used.plus(next_need).plus(block_of(entry.image.budget));
        componentwise_max(
            used,
            componentwise_min(componentwise_max(wanted, present), self.own_cap(key)),
        )
    }

    /// Returns the part of a new child's first block that fits the remaining budgets of its parent and the parent's
    /// ancestors.
    pub(crate) fn first_child_block(&self, parent: ProgramKey, block: BudgetUse) -> BudgetUse {
        self.ancestry(parent).fold(block, |block, (_, entry)| {
            componentwise_min(
                block,
                limit_of(entry.image.budget).minus(entry.account.subtree_committed),
            )
        })
    }

    /// Returns the other programs of the tree that reserve more than they use, so that their unused blocks can be
    /// returned.
    pub(crate) fn programs_with_slack(&self, key: ProgramKey) -> Vec<ProgramKey> {
        let Some((root, _)) = self.ancestry(key).last() else {
            return Vec::new();
        };
        let mut holders = self.descendants(root);
        holders.retain(|&holder| holder != key && self.has_slack(holder));
        holders
    }

    fn has_slack(&self, key: ProgramKey) -> bool {
        self.get(key)
            .is_some_and(|entry| !is_within(entry.image.ceiling, entry.spent_and_reserved()))
    }

    /// Returns `true` if the program or an ancestor has no room for another call.
    pub(crate) fn is_exhausted(&self, key: ProgramKey) -> bool {
        self.ancestry(key).any(|(_, entry)| entry.is_exhausted())
    }
}

/// The problem of a call that does not fit the budget.
pub(crate) fn exhausted() -> ProblemReport {
    ProblemReport::not_run(ProblemCode::BudgetExhausted, "the program's budget is spent")
}
