//! Quotas of customers.
//!
//! Every request that runs at a target needs a token of its customer's quota. One gateway issues the tokens of a
//! customer to all others; see [`ebony_limit::quota`]. [`take`] takes a token for a call, [`driver`] asks the issuers for
//! more before they run out, and [`issuing`] answers the requests of other gateways.
//!
//! A gateway whose configuration has no quotas sends no message for them, and no call waits.

mod driver;
mod issuing;
mod manager;
mod take;
mod token;

pub(crate) use driver::run;
pub(crate) use issuing::answer;
pub(crate) use manager::QuotaManager;
pub(crate) use take::{QuotaRefusal, take};
pub(crate) use token::QuotaToken;
