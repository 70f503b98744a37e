//! The side process: link server, queue, ledger and target adapters.
