//! The tokens of calls.

use std::rc::Rc;

use ebony_limit::quota::QuotaStamp;
use ebony_types::CustomerName;

use crate::gateway::Gateway;

/// The token of one call. If it is dropped before the call may have run, it goes back.
pub(crate) struct QuotaToken {
    gateway: Rc<Gateway>,
    customer: CustomerName,
    stamp: QuotaStamp,
    /// Whether a target may have run the call.
    is_used: bool,
}

impl QuotaToken {
    pub(super) fn open(gateway: &Rc<Gateway>, customer: &CustomerName, stamp: QuotaStamp) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            customer: customer.clone(),
            stamp,
            is_used: false,
        }
    }

    /// Records that the call is sent now, or that the target did not run it after all.
    pub(crate) fn set_used(&mut self, is_used: bool) {
        self.is_used = is_used;
    }

    /// Returns whether the token may no longer be used, because the issuer may have granted it again.
    pub(crate) fn has_expired(&self) -> bool {
        self.stamp.expires_at <= self.gateway.clock.now()
    }
}

impl Drop for QuotaToken {
    fn drop(&mut self) {
        let gateway = &self.gateway;
        let event = {
            let mut wallet = gateway.quotas.wallet.borrow_mut();
            if self.is_used {
                wallet.record_sent(self.customer.as_str(), self.stamp.has_program);
                "used"
            } else {
                let now = gateway.clock.now();
                wallet.put_back(self.customer.as_str(), self.stamp, now);
                "returned"
            }
        };
        let label = gateway.metrics.customer_calls.label(&self.customer);
        gateway
            .metrics
            .quota_tokens
            .with_label_values(&[label, event])
            .inc();
    }
}
