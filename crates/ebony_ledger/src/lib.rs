//! The side process's ledger: at-most-once execution, fencing and crash tracking.
