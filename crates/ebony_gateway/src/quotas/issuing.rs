//! Answers other gateways' requests for tokens.

use ebony_limit::quota::{QuotaAsk, QuotaGrant, QuotaReply};
use ebony_types::CustomerName;

use super::manager::{RoleOf, role_of, rule_of};
use crate::gateway::Gateway;

/// Answers a gateway's requests for tokens of customers.
pub(crate) fn answer(gateway: &Gateway, holder: &str, asks: Vec<QuotaAsk>) -> Vec<QuotaReply> {
    asks.into_iter()
        .map(|ask| match role_of(gateway, &ask.customer) {
            RoleOf::Issuer(view) => {
                let now = gateway.clock.now();
                let ask = with_newest_rule(gateway, ask);
                let grant = gateway.quotas.issuer.borrow_mut().answer(holder, &ask, view, now);
                count_granted(gateway, &ask, &grant);
                QuotaReply::Granted(grant)
            }
            RoleOf::Asker(..) | RoleOf::Alone(..) => {
                count(gateway, "elsewhere");
                QuotaReply::Elsewhere
            }
        })
        .collect()
}

/// Puts the quota that this gateway knows into a request, unless the other gateway knows a newer one.
pub(super) fn with_newest_rule(gateway: &Gateway, mut ask: QuotaAsk) -> QuotaAsk {
    let known = CustomerName::parse(&ask.customer)
        .ok()
        .and_then(|customer| rule_of(gateway, &customer));
    if let Some((rule, version)) = known
        && version > ask.version
    {
        (ask.rule, ask.version) = (rule, version);
    }
    ask
}

pub(super) fn count_granted(gateway: &Gateway, ask: &QuotaAsk, grant: &QuotaGrant) {
    count(gateway, "answered");
    let counted = [
        ("granted", grant.tokens),
        ("programs_granted", grant.programs),
        ("expired", ask.unused),
    ];
    for (event, tokens) in counted {
        if tokens > 0
            && let Ok(customer) = CustomerName::parse(&ask.customer)
        {
            let metrics = &gateway.metrics;
            let label = metrics.customer_calls.label(&customer);
            let labels = [label, event];
            metrics
                .quota_tokens
                .with_label_values(&labels)
                .inc_by(u64::from(tokens));
        }
    }
}

fn count(gateway: &Gateway, outcome: &str) {
    gateway.metrics.quota_asks.with_label_values(&[outcome]).inc();
}
