//! The order in which gateways issue the tokens of customers.

use std::collections::HashMap;

use ebony_types::rendezvous::rendezvous_weight;

/// The maximum number of customers whose ranks are remembered, and of gateways.
const MAX_CUSTOMERS: usize = 4_096;
const MAX_GATEWAYS: usize = 4_096;

/// Remembers the rendezvous weights of gateways for customers. A digest for each gateway and each request would use a
/// large part of the processor time of small hosts.
#[derive(Clone, Debug, Default)]
pub struct RankCache {
    numbers: HashMap<String, usize>,
    /// The weights of gateways by number. Zero stands for one that was not computed.
    weights: HashMap<String, Vec<u64>>,
}

impl RankCache {
    /// Returns the weight of a gateway for a customer.
    ///
    /// ```
    /// use ebony_limit::quota::RankCache;
    /// use ebony_types::rendezvous::rendezvous_weight;
    ///
    /// let mut ranks = RankCache::default();
    /// for _ in 0..2 {
    ///     assert_eq!(ranks.weight("c", "gateway-1"), rendezvous_weight("c", "gateway-1"));
    /// }
    /// ```
    pub fn weight(&mut self, customer: &str, gateway: &str) -> u64 {
        let number = match self.numbers.get(gateway) {
            Some(number) => *number,
            None => self.add_gateway(gateway),
        };
        if !self.weights.contains_key(customer) {
            if self.weights.len() >= MAX_CUSTOMERS {
                self.weights.clear();
            }
            self.weights.insert(customer.to_owned(), Vec::new());
        }
        let Some(weights) = self.weights.get_mut(customer) else {
            return rendezvous_weight(customer, gateway);
        };
        if weights.len() <= number {
            weights.resize(number + 1, 0);
        }
        if weights[number] == 0 {
            weights[number] = rendezvous_weight(customer, gateway);
        }
        weights[number]
    }

    fn add_gateway(&mut self, gateway: &str) -> usize {
        if self.numbers.len() >= MAX_GATEWAYS {
            self.numbers.clear();
            self.weights.clear();
        }
        let number = self.numbers.len();
        self.numbers.insert(gateway.to_owned(), number);
        number
    }
}
