//! Metrics and log lines on customers.

use std::cell::RefCell;
use std::collections::HashSet;

use ebony_routing::RoutingTable;
use ebony_types::CustomerName;
use prometheus::IntCounterVec;
use slog::warn;

use crate::gateway::Gateway;

/// The maximum number of customers with calls of their own in the metrics. The deployments have 79 to 82.
const MAX_LABELS: usize = 100;

/// The label of the calls of all other customers.
const OTHER_CUSTOMERS: &str = "others";

/// The maximum number of faults of one version of the configuration in a log line. Metrics count all of them.
const MAX_LOGGED_FAULTS: usize = 20;

/// The outcomes of calls, which are removed together with the label of a customer.
const OUTCOMES: [&str; 4] = ["answered", "refused", "broken_off", "caller_left"];

/// Counts calls by customer, for a limited number of customers. Those that send calls first get a label of their own.
pub(crate) struct CustomerCalls {
    calls: IntCounterVec,
    labels: RefCell<HashSet<CustomerName>>,
}

impl CustomerCalls {
    pub(crate) fn open(calls: IntCounterVec) -> Self {
        Self {
            calls,
            labels: RefCell::default(),
        }
    }

    /// Counts a call that ended.
    pub(crate) fn count(&self, customer: &CustomerName, outcome: &str) {
        let label = self.label(customer);
        self.calls.with_label_values(&[label, outcome]).inc();
    }

    /// Returns the label of a customer in metrics.
    pub(crate) fn label<'n>(&self, customer: &'n CustomerName) -> &'n str {
        let mut labels = self.labels.borrow_mut();
        if !labels.contains(customer) {
            if labels.len() >= MAX_LABELS {
                return OTHER_CUSTOMERS;
            }
            labels.insert(customer.clone());
        }
        customer.as_str()
    }

    /// Frees the labels of customers that are no longer configured.
    pub(crate) fn retain(&self, is_configured: impl Fn(&CustomerName) -> bool) {
        self.labels.borrow_mut().retain(|customer| {
            let is_kept = is_configured(customer);
            if !is_kept {
                for outcome in OUTCOMES {
                    // Fails only if the customer has no call with this outcome.
                    self.calls.remove_label_values(&[customer.as_str(), outcome]).ok();
                }
            }
            is_kept
        });
    }
}

/// Logs and counts the parts of the list of customers that could not be used as they were written.
pub(crate) fn report_faults(gateway: &Gateway, routing: &RoutingTable) {
    let faults = routing.customer_faults();
    if faults.is_empty() {
        return;
    }
    for fault in faults {
        let labels = [fault.kind.as_str()];
        gateway.metrics.customer_faults.with_label_values(&labels).inc();
    }
    let shown = faults.iter().take(MAX_LOGGED_FAULTS);
    let shown = shown.map(|fault| format!("{} at {}", fault.kind.as_str(), fault.place));
    warn!(gateway.logger, "some customers are not configured as written";
        "version" => routing.version().0, "faults" => faults.len(),
        "places" => shown.collect::<Vec<_>>().join("; "));
}
