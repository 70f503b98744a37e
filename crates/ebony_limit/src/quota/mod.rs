//! Quotas of customers, and their division among gateways.
//!
//! One gateway issues the tokens of a customer to all others, which [`quota_role`] determines. [`QuotaIssuer`] holds the
//! customer's token buckets and grants blocks of tokens; [`QuotaWallet`] holds the blocks of one gateway, decides what to
//! ask for, and lets calls wait for tokens. Each gateway has an even share of every quota. An issuer spends the shares of
//! the gateways that it hears from; a gateway spends its own share once the issuer must have stopped doing so.

pub mod block;
pub mod bucket;
pub mod demand;
pub mod issuer;
pub mod message;
pub mod need;
pub mod own_share;
pub mod purse;
pub mod rank;
pub mod reach;
pub mod role;
pub mod rule;
pub mod wallet;

/// Re-exports the types that gateways use.
pub mod prelude {
    pub use super::issuer::{IssuerView, QuotaIssuer};
    pub use super::message::{QuotaAsk, QuotaGrant, QuotaReply};
    pub use super::purse::{CallClass, QuotaStamp};
    pub use super::rank::RankCache;
    pub use super::reach::ReachLog;
    pub use super::role::{QuotaPeer, QuotaRole, quota_role};
    pub use super::rule::{QuotaRule, RuleError};
    pub use super::wallet::{QuotaWallet, TakeOutcome, WaitTicket};
}

pub use prelude::*;
