//! One attempt of a call at one target, and its effect on the recorded state of the target.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ebony_dispatch::load::LoadNotice;
use ebony_dispatch::{RunKey, TargetKey, TargetRecord};
use ebony_routing::RouteRule;
use ebony_types::{ClockTime, TargetName};
use http::StatusCode;
use slog::info;

use crate::admission;
use crate::crashes::{RequestFingerprint, TargetProbes};
use crate::decision_log::LineKind;
use crate::gateway::Gateway;
use crate::routed_call::RoutedCall;

/// A call that runs at one target. Dropping it ends the run on the board. If the call got no complete answer, its
/// request is kept as a suspect in case the target crashed.
pub(crate) struct TargetRun {
    gateway: Rc<Gateway>,
    pub(crate) target: TargetKey,
    /// The target's entry in the list when it got the call.
    record: TargetRecord,
    run: RunKey,
    fingerprint: Rc<RequestFingerprint>,
    /// The route, if the call is a turn of a program that is admitted by work.
    turn_route: Option<Rc<RouteRule>>,
    began_at: ClockTime,
    /// The load that the target reported with its answer.
    notice: Cell<Option<LoadNotice>>,
    /// Whether the outcome of the run is known.
    is_settled: Cell<bool>,
}

impl TargetRun {
    /// Records a call on the board that is about to be sent to a target.
    pub(crate) fn begin(call: &RoutedCall, target: TargetKey, record: TargetRecord) -> Self {
        let gateway = Rc::clone(&call.gateway);
        let memory = call.engine.map(|engine| engine.memory_tokens);
        let mut board = gateway.board.borrow_mut();
        let run = board.begin(target, &call.head.prompt, memory);
        board.hold_tokens(run, &call.head.prompt, call.max_output());
        let options = gateway.options.get();
        board.start_timing(run, &gateway.domain, &options, gateway.clock.now());
        drop(board);
        let is_turn = call.engine.is_some() && call.head.program.is_some() && admission::is_by_work(call);
        Self {
            turn_route: is_turn.then(|| Rc::clone(&call.route)),
            began_at: gateway.clock.now(),
            notice: Cell::default(),
            gateway,
            target,
            record,
            run,
            fingerprint: Rc::clone(&call.fingerprint),
            is_settled: Cell::default(),
        }
    }

    /// Returns the name of the target.
    pub(crate) fn name(&self) -> &TargetName {
        &self.record.name
    }

    /// Returns the target's entry in the list when it got the call.
    pub(crate) fn record(&self) -> &TargetRecord {
        &self.record
    }

    /// Returns the time on the gateway's clock.
    pub(crate) fn now(&self) -> ClockTime {
        self.gateway.clock.now()
    }

    pub(crate) fn end_prefill(&self) {
        self.gateway.board.borrow_mut().end_prefill(self.run);
    }

    /// Records that the first event of a stream arrived.
    pub(crate) fn record_first_event(&self) {
        let now = self.gateway.clock.now();
        self.gateway.board.borrow_mut().record_first_event(self.run, now);
    }

    /// Records the time of consecutive events of a stream.
    pub(crate) fn record_events(&self, events: u32, elapsed: Duration) {
        let now = self.gateway.clock.now();
        let options = self.gateway.options.get();
        let mut board = self.gateway.board.borrow_mut();
        board.record_events(self.run, events, elapsed, &options, now);
    }

    /// Records the load that the target reported with its answer.
    pub(crate) fn record_notice(&self, notice: LoadNotice) {
        self.notice.set(Some(notice));
    }

    /// Records a complete answer.
    pub(crate) fn record_success(&self, status: StatusCode) {
        self.is_settled.set(true);
        // A target may answer with a failure without having run the call, which does not clear the request.
        if status.is_success() {
            self.gateway.probes.record_completion(&self.fingerprint);
            self.gateway.crashes.record_completion(&self.fingerprint);
            let now = self.gateway.clock.now();
            self.gateway.board.borrow_mut().record_finish(self.run, now);
            self.record_turn();
        }
        let failures = self.gateway.board.borrow_mut().record_success(self.target);
        if failures > 0 {
            self.record_health("recovered");
            if self.gateway.decisions.admits(LineKind::State) {
                info!(self.gateway.logger, "target answers again";
                    "target" => self.record.name.as_str(), "failures_before" => failures);
            }
        }
    }

    fn record_turn(&self) {
        let Some(route) = &self.turn_route else {
            return;
        };
        let run_time = self.gateway.clock.now().since(self.began_at);
        let service = &self.record.service;
        admission::record_turn(&self.gateway, service, &route.name, run_time, self.notice.get());
    }

    pub(crate) fn record_failure(&self) {
        self.is_settled.set(true);
        let now = self.gateway.clock.now();
        let options = self.gateway.options.get();
        let failures = self
            .gateway
            .board
            .borrow_mut()
            .record_failure(self.target, &options, now);
        self.record_health("failed");
        if self.gateway.decisions.admits(LineKind::State) {
            info!(self.gateway.logger, "target is avoided";
                "target" => self.record.name.as_str(), "failures" => failures);
        }
    }

    /// Records that the target broke off the call, and probes whether the target crashed.
    pub(crate) fn record_break(&self) {
        self.record_failure();
        let suspect = self.fingerprint.digest();
        TargetProbes::probe_after_break(&self.gateway, self.target, &self.record, suspect);
    }

    /// Records that the target did not answer in time.
    pub(crate) fn record_silence(&self) {
        self.record_failure();
        self.is_settled.set(false);
    }

    /// Records that the target has no room for the call.
    pub(crate) fn record_full(&self) {
        self.is_settled.set(true);
        let now = self.gateway.clock.now();
        let options = self.gateway.options.get();
        self.gateway
            .board
            .borrow_mut()
            .record_full(self.target, &options, now);
        self.record_health("full");
    }

    fn record_health(&self, change: &str) {
        self.gateway
            .metrics
            .target_health
            .with_label_values(&[change])
            .inc();
    }
}

impl Drop for TargetRun {
    fn drop(&mut self) {
        self.gateway.board.borrow_mut().end(self.run);
        if !self.is_settled.get() {
            let suspect = self.fingerprint.digest();
            TargetProbes::record_silence(&self.gateway, &self.record, suspect);
        }
    }
}
