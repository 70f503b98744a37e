//! The entry process: caller API, program owner, links and administration.
