//! Ownership of programs: sessions, shards, journal, recovery, order, budgets and intents.
