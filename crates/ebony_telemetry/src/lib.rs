//! Logs, metrics and health of a process.
