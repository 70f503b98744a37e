//! Recorded traces of programs, their generator, and the summary of a replay.
