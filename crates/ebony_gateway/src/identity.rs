//! Decides on whose behalf a call is made.

use ebony_dialect::CallerCredential;
use ebony_routing::{CallerIdentity, KeyError, RouteRule, RoutingTable};
use ebony_types::ProblemCode;
use http::HeaderMap;

use crate::call_log::CallLog;
use crate::gateway::Gateway;
use crate::intake::{self, RequestHead};
use crate::refusal::{CallRefusal, Result};

/// Decides on whose behalf a call on a route is made.
///
/// # Errors
///
/// Fails if the route requires a known key and the call has none. The refusal does not say whether several customers
/// have the key, because that would show that it exists.
pub(crate) fn identify(
    gateway: &Gateway,
    headers: &HeaderMap,
    route: &RouteRule,
    routing: &RoutingTable,
    log: &mut CallLog,
) -> Result<CallerIdentity> {
    log.set_route(&route.name);
    if !routing.has_customers() {
        return Ok(CallerIdentity::Unrestricted);
    }
    let credential = gateway.dialect.decode_credential(headers);
    match routing.identify(route, credential.key()) {
        Ok(identity) => {
            log.set_customer(identity.customer());
            Ok(identity)
        }
        Err(error) => {
            log.set_customer(None);
            let credential = credential_text(&credential, error);
            log.set_credential(credential);
            gateway
                .metrics
                .unauthorized
                .with_label_values(&[credential])
                .inc();
            let detail = "the route requires a known API key";
            Err(CallRefusal::not_run(ProblemCode::Unauthorized, detail))
        }
    }
}

/// Checks by the head of a request whether its route exists and whether it has the key that the route requires.
///
/// # Errors
///
/// Fails if there is no route, or if the route requires a known key and the request has none.
pub(crate) fn check_head(
    gateway: &Gateway,
    head: &RequestHead,
    routing: &RoutingTable,
    log: &mut CallLog,
) -> Result<()> {
    let route = intake::find_route(head, routing)?;
    identify(gateway, &head.headers, route, routing, log).map(drop)
}

/// Returns why a call has no customer, as text for logs.
fn credential_text(credential: &CallerCredential, error: KeyError) -> &'static str {
    match error {
        KeyError::Missing => credential.as_str(),
        KeyError::Unknown => "unknown_key",
        KeyError::Shared => "shared_key",
    }
}
