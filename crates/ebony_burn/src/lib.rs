//! Service-level objectives, burn rates and the report on them.
