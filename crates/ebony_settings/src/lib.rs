//! Settings in JSON with comments, checked as a whole before a process starts.
