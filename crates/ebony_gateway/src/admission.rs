//! Admission of programs by the work that they bring; see [`ebony_dispatch::work_admission`].

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use ebony_dispatch::load::LoadNotice;
use ebony_dispatch::{
    AdmissionRule, ProgramRequest, SharedSlots, TargetPhase, WorkAdmission, WorkDecision, WorkRefusal,
};
use ebony_routing::CallerIdentity;
use ebony_types::{ClockTime, CustomerName, ProblemCode, ServiceName};

use crate::call_log::CallLog;
use crate::gateway::Gateway;
use crate::refusal::{CallRefusal, Result};
use crate::routed_call::RoutedCall;

/// The admission of programs, for each service of engines.
#[derive(Debug, Default)]
pub(crate) struct ServiceAdmissions {
    services: RefCell<HashMap<ServiceName, WorkAdmission>>,
}

impl ServiceAdmissions {
    fn with<T>(&self, service: &ServiceName, now: ClockTime, act: impl FnOnce(&mut WorkAdmission) -> T) -> T {
        let mut services = self.services.borrow_mut();
        let admission = services
            .entry(service.clone())
            .or_insert_with(|| WorkAdmission::open(now));
        act(admission)
    }

    fn for_each(&self, act: impl FnMut(&mut WorkAdmission)) {
        self.services.borrow_mut().values_mut().for_each(act);
    }
}

/// Returns whether the program of a call is admitted by work.
pub(crate) fn is_by_work(call: &RoutedCall) -> bool {
    match call.gateway.options.get().admission {
        AdmissionRule::ByWork => true,
        AdmissionRule::ByLoad => false,
        AdmissionRule::Automatic => *call.identity() != CallerIdentity::Unrestricted,
    }
}

/// Decides whether a program may start.
///
/// # Errors
///
/// Returns the refusal of its first turn.
pub(crate) fn admit(call: &RoutedCall, log: &mut CallLog) -> Result<()> {
    let Some(head) = &call.head.program else {
        return Ok(());
    };
    let gateway = &call.gateway;
    let call_time = gateway.time_left(call.deadline).unwrap_or_default();
    let request = ProgramRequest {
        program: &head.program,
        route: &call.route.name,
        customer: call.customer().map_or("", CustomerName::as_str),
        urgency: call.urgency(),
        time_left: head.time_left.unwrap_or(call_time),
    };
    let slots = shared_slots(gateway, &call.service);
    let (now, draw) = (gateway.clock.now(), gateway.random_share());
    let decide = |admission: &mut WorkAdmission| admission.admit(&request, slots, draw, now);
    match gateway.admissions.with(&call.service, now, decide) {
        WorkDecision::Admitted => {
            record_decision(gateway, "admitted");
            Ok(())
        }
        WorkDecision::Refused {
            reason,
            retry_after,
            load,
        } => {
            record_decision(gateway, reason.as_str());
            log.set_load(load);
            log.set_admission(reason.as_str());
            Err(refuse(reason).retry_after(gateway.jittered(retry_after)))
        }
    }
}

fn refuse(reason: WorkRefusal) -> CallRefusal {
    let detail = match reason {
        WorkRefusal::NoTime => "the caller leaves before the first turn of the program can be answered",
        WorkRefusal::NoRoom => "the engines are busy with other programs",
        WorkRefusal::OverShare => "the engines are busy, and the customer sends more than its share",
    };
    CallRefusal::not_run(ProblemCode::Overloaded, detail)
}

/// Counts a decision on the first turn of a program.
pub(crate) fn record_decision(gateway: &Gateway, decision: &str) {
    let admissions = &gateway.metrics.admissions;
    admissions.with_label_values(&[decision]).inc();
}

/// Returns the slots of the ready targets of a service, and the number of gateways.
fn shared_slots(gateway: &Gateway, service: &ServiceName) -> SharedSlots {
    let board = gateway.board.borrow();
    let records = board.targets().map(|(_, target)| &target.record);
    let ready = records.filter(|record| record.service == *service && record.phase == TargetPhase::Ready);
    SharedSlots {
        slots: ready.map(|record| record.slots).fold(0, u32::saturating_add),
        gateways: gateway.fleet.len(),
    }
}

/// Gives back the work of a program whose first turn was admitted and has not run for another reason, such as its
/// customer's quota.
pub(crate) fn withdraw(call: &RoutedCall) {
    if let Some(head) = call.head.program.as_ref().filter(|_| call.begins_program()) {
        let now = call.gateway.clock.now();
        record(call, |admission| admission.withdraw(&head.program, now));
    }
}

/// Records a call of a program that has begun.
pub(crate) fn record_call(call: &RoutedCall) {
    let Some(head) = &call.head.program else {
        return;
    };
    let now = call.gateway.clock.now();
    record(call, |admission| admission.record_call(&head.program, now));
}

/// Records the load that the target of a call of a program reported.
pub(crate) fn record_load(call: &RoutedCall, notice: LoadNotice) {
    if call.head.program.is_none() {
        return;
    }
    let now = call.gateway.clock.now();
    record(call, |admission| match call.engine {
        Some(_) => admission.record_engine_load(notice, now),
        None => admission.record_tool_load(notice, now),
    });
}

/// Tells the admission to the call's engines, or to all engines if it is a tool call, whose program may use any of them.
fn record(call: &RoutedCall, mut act: impl FnMut(&mut WorkAdmission)) {
    if !is_by_work(call) {
        return;
    }
    let gateway = &call.gateway;
    match call.engine {
        Some(_) => gateway.admissions.with(&call.service, gateway.clock.now(), act),
        None => gateway.admissions.for_each(&mut act),
    }
}

/// Records the complete answer to a turn that was `run_time` at an engine.
pub(crate) fn record_turn(
    gateway: &Gateway,
    service: &ServiceName,
    route: &str,
    run_time: Duration,
    notice: Option<LoadNotice>,
) {
    let now = gateway.clock.now();
    let record = |admission: &mut WorkAdmission| admission.record_turn(route, run_time, notice, now);
    gateway.admissions.with(service, now, record);
}
