//! Liveness, incarnation and draining of targets and entries.
