//! The configuration document: fleet defaults, exceptions with reasons, and versions that only rise.
