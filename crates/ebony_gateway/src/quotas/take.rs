//! Takes the tokens of calls.

use std::rc::Rc;
use std::time::Duration;

use ebony_limit::quota::{CallClass, QuotaRule, TakeOutcome, WaitTicket};
use ebony_types::CustomerName;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::driver;
use super::manager::{WaitingCall, rule_of};
use super::token::QuotaToken;
use crate::gateway::Gateway;
use crate::routed_call::RoutedCall;

/// How long a call waits for the decision after its wait should have ended. The driver ends the wait by itself.
const DECISION_GRACE: Duration = Duration::from_millis(250);

/// The `Retry-After` of a call whose wait the driver did not end.
const UNDECIDED_RETURN_DELAY: Duration = Duration::from_millis(500);

/// The fraction of its remaining time for which a call of a program under way waits for a token. Its program fails if it
/// is refused twice, and a caller comes back after a third of its time at most.
const UNDER_WAY_WAIT_SHARE: f64 = 0.4;

/// The fraction of the latency objective for which other calls wait: some round trips between gateways on busy hosts.
const OTHER_WAIT_SHARE: f64 = 0.5;

/// Why a call is over its customer's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QuotaRefusal {
    /// Whether the program could not begin, so that no token for the request itself was missing.
    pub(crate) is_first_turn: bool,
    /// The quota.
    pub(crate) rule: QuotaRule,
    /// When it can be served.
    pub(crate) retry_after: Duration,
}

/// The decision on a call.
pub(super) type Decision = Result<QuotaToken, Duration>;

/// Takes a token for a call, and waits for it if the call may wait. Returns `None` if the customer has no quota.
/// `is_repeated` states that a target may have run the call before.
pub(crate) async fn take(call: &RoutedCall, is_repeated: bool) -> Option<Result<QuotaToken, QuotaRefusal>> {
    let gateway = &call.gateway;
    let customer = call.customer()?;
    let (rule, _) = rule_of(gateway, customer)?;
    let class = class_of(call, is_repeated);
    let decision = decide(gateway, customer, class, patience(call, class)).await;
    Some(decision.map_err(|retry_after| {
        let label = gateway.metrics.customer_calls.label(customer);
        let tokens = &gateway.metrics.quota_tokens;
        tokens.with_label_values(&[label, "refused"]).inc();
        QuotaRefusal {
            is_first_turn: class == CallClass::FirstTurn,
            rule,
            retry_after,
        }
    }))
}

/// Returns how long a call waits for a token.
fn patience(call: &RoutedCall, class: CallClass) -> Duration {
    let time_left = call.gateway.time_left(call.deadline).unwrap_or_default();
    match class {
        CallClass::UnderWay => time_left.mul_f64(UNDER_WAY_WAIT_SHARE),
        CallClass::Single | CallClass::FirstTurn => {
            time_left.min(call.route.objective.mul_f64(OTHER_WAIT_SHARE))
        }
    }
}

fn class_of(call: &RoutedCall, is_repeated: bool) -> CallClass {
    let is_in_program = call.head.program.is_some();
    match is_in_program {
        false => CallClass::Single,
        true if call.begins_program() && !is_repeated => CallClass::FirstTurn,
        true => CallClass::UnderWay,
    }
}

async fn decide(
    gateway: &Rc<Gateway>,
    customer: &CustomerName,
    class: CallClass,
    patience: Duration,
) -> Decision {
    let now = gateway.clock.now();
    let quotas = &gateway.quotas;
    let outcome = quotas
        .wallet
        .borrow_mut()
        .take(customer.as_str(), class, now + patience, now);
    let ticket = match outcome {
        TakeOutcome::Taken(stamp) => {
            driver::step(gateway);
            return Ok(QuotaToken::open(gateway, customer, stamp));
        }
        TakeOutcome::Refused { retry_after } => return Err(retry_after),
        TakeOutcome::Waits(ticket) => ticket,
    };
    let (sender, receiver) = oneshot::channel();
    let call = WaitingCall {
        customer: customer.clone(),
        sender,
    };
    quotas.waiting.borrow_mut().insert(ticket, call);
    let _guard = WaitGuard {
        gateway,
        customer,
        ticket,
    };
    driver::step(gateway);
    match timeout(patience + DECISION_GRACE, receiver).await {
        Ok(Ok(decision)) => decision,
        Ok(Err(_)) | Err(_) => Err(UNDECIDED_RETURN_DELAY),
    }
}

/// Ends the wait of a call whose caller may have left.
struct WaitGuard<'g> {
    gateway: &'g Gateway,
    customer: &'g CustomerName,
    ticket: WaitTicket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let quotas = &self.gateway.quotas;
        let was_waiting = quotas.waiting.borrow_mut().remove(&self.ticket).is_some();
        if was_waiting {
            let mut wallet = quotas.wallet.borrow_mut();
            wallet.cancel(self.customer.as_str(), self.ticket);
        }
    }
}
