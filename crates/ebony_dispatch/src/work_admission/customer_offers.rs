//! The work that customers offer, by which it is divided under pressure.

use std::collections::HashMap;
use std::time::Duration;

use ebony_types::ClockTime;

use super::decay_factor;

/// The time over which the offer of a customer is counted: long enough to tell a large customer from a small one that
/// sends a program now and then, and shorter than the 5 to 9 s for which customers send a multiple of their usual.
const OFFER_TIME: Duration = Duration::from_secs(3);

/// The most customers that are remembered.
const MAX_CUSTOMERS: usize = 1_024;

#[derive(Clone, Copy, Debug, Default)]
struct CustomerOffer {
    work: f64,
    updated_at: ClockTime,
}

/// The work a second that each customer offers to this gateway.
#[derive(Clone, Debug, Default)]
pub(crate) struct CustomerOffers {
    offers: HashMap<String, CustomerOffer>,
}

impl CustomerOffers {
    /// Records a program that asks to start. Returns the slot seconds a second that its customer offers.
    pub(crate) fn record(&mut self, customer: &str, work: f64, now: ClockTime) -> f64 {
        if !self.offers.contains_key(customer) && self.offers.len() >= MAX_CUSTOMERS {
            let oldest = self.offers.iter().min_by_key(|(_, offer)| offer.updated_at);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.offers.remove(&name);
            }
        }
        let offer = self.offers.entry(customer.to_owned()).or_default();
        offer.work = offer.work * decay_factor(now.since(offer.updated_at), OFFER_TIME) + work;
        offer.updated_at = now;
        offer.work / OFFER_TIME.as_secs_f64()
    }

    /// Returns the number of customers that offered work lately.
    pub(crate) fn active(&self, now: ClockTime) -> usize {
        let is_active = |offer: &&CustomerOffer| now.since(offer.updated_at) < OFFER_TIME;
        self.offers.values().filter(is_active).count()
    }
}
