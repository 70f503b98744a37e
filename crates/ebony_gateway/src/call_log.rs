//! Collects the decisions on one call and their reasons, and logs them in one line at its end.

use std::fmt::Write as _;
use std::rc::Rc;
use std::time::Duration;

use ebony_dialect::StreamResumption;
use ebony_routing::RoutingVersion;
use ebony_types::{ClockTime, CustomerName, ProblemCode, RunVerdict, SoftwareVersion};

use crate::conversations::FindError;
use crate::crashes::RequestFingerprint;
use crate::decision_log::LineKind;
use crate::gateway::Gateway;
use crate::quotas::QuotaRefusal;

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptOutcome {
    /// The target answered.
    Answered,
    /// The target refused the call without running it.
    NotRun,
    /// Nothing was sent.
    NotSent,
    /// The connection or the answer broke off.
    Broken,
    /// The answer belongs to another call, or a successful answer lacks the target's stamp.
    Foreign,
    /// No answer within the latency objective, after which another target may get the call.
    Silent,
    /// No answer before the deadline of the call.
    TimedOut,
}

impl AttemptOutcome {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::NotSent => "not_sent",
            Self::Broken => "broken",
            Self::Foreign => "foreign",
            Self::Silent => "silent",
            Self::TimedOut => "timed_out",
        }
    }
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// The target's complete answer was forwarded.
    Answered {
        /// The target's status.
        status: u16,
    },
    /// The gateway refused the call.
    Refused {
        /// The code of the answer.
        code: ProblemCode,
        /// Whether the call may have run.
        run: RunVerdict,
        /// The reason, as text.
        cause: String,
    },
    /// The answer broke off after its first bytes were forwarded.
    BrokenOff {
        /// The reason.
        cause: &'static str,
    },
    /// The caller closed the connection first.
    CallerLeft,
}

/// The data on a call that are logged at its end. If it is dropped earlier, the caller has closed the connection, and
/// the call is logged as [`CallOutcome::CallerLeft`].
pub(crate) struct CallLog {
    gateway: Rc<Gateway>,
    call: String,
    program: String,
    route: String,
    routing_version: u64,
    /// The customer that the call is made for.
    customer: Option<CustomerName>,
    /// Why the call has no customer, if it was refused for that.
    credential: Option<&'static str>,
    /// The program's budget and the turn's maximum tokens, if there is a budget.
    budget: Option<(u64, u64)>,
    /// The turn that this one continues.
    previous: Option<String>,
    /// Why the conversation cannot be continued from that turn.
    find_error: Option<FindError>,
    /// The numbers of records and bytes of the conversation so far.
    chain: Option<(usize, usize)>,
    /// The load of the service for which a new program was refused, in calls per slot.
    load: Option<f64>,
    /// Why a new program was refused.
    admission: Option<&'static str>,
    fingerprint: Option<Rc<RequestFingerprint>>,
    arrived: ClockTime,
    first_sent: Option<ClockTime>,
    first_bytes: Option<ClockTime>,
    /// The stream that the call resumes: the attempt that brought its first event, or nothing if the caller does not say
    /// it. `None` if the call begins a stream.
    resumed: Option<String>,
    /// The software version that began the resumed stream, if it is known.
    origin: Option<SoftwareVersion>,
    /// How that is known, or why the stream cannot be resumed.
    origin_source: Option<&'static str>,
    /// The software version of the target of the last attempt.
    target_version: Option<SoftwareVersion>,
    /// Target and outcome of each attempt.
    attempts: String,
    /// The targets whose permit was denied, with the milliseconds until the next one was due.
    denied_permits: String,
    /// The time for which the call waited for permits.
    permit_wait: Duration,
    /// The time for which the call waited for tokens of its customer's quota.
    quota_wait: Duration,
    /// Why the call is over its customer's quota.
    quota_refusal: Option<QuotaRefusal>,
    events: u32,
    has_ended: bool,
}

impl CallLog {
    pub(crate) fn open(gateway: &Rc<Gateway>, call: &str, program: &str, arrived: ClockTime) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            call: call.to_owned(),
            program: program.to_owned(),
            route: String::new(),
            routing_version: 0,
            customer: None,
            credential: None,
            budget: None,
            previous: None,
            find_error: None,
            chain: None,
            load: None,
            admission: None,
            fingerprint: None,
            arrived,
            first_sent: None,
            first_bytes: None,
            resumed: None,
            origin: None,
            origin_source: None,
            target_version: None,
            attempts: String::new(),
            denied_permits: String::new(),
            permit_wait: Duration::ZERO,
            quota_wait: Duration::ZERO,
            quota_refusal: None,
            events: 0,
            has_ended: false,
        }
    }

    /// Sets the version of the configuration by which the call is decided.
    pub(crate) fn set_version(&mut self, version: RoutingVersion) {
        self.routing_version = version.0;
    }

    pub(crate) fn set_route(&mut self, route: &str) {
        route.clone_into(&mut self.route);
    }

    pub(crate) fn set_customer(&mut self, customer: Option<&CustomerName>) {
        self.customer = customer.cloned();
    }

    /// Sets why the call has no customer.
    pub(crate) fn set_credential(&mut self, credential: &'static str) {
        self.credential = Some(credential);
    }

    pub(crate) fn set_budget(&mut self, budget: u64, most_tokens: u64) {
        self.budget = Some((budget, most_tokens));
    }

    /// Sets the turn that this one continues, as the caller named it.
    pub(crate) fn set_previous(&mut self, previous: &str) {
        self.previous = Some(previous.to_owned());
    }

    /// Sets why the conversation cannot be continued from the previous turn. The caller does not learn whether a turn is
    /// absent or belongs to another customer.
    pub(crate) fn set_find_error(&mut self, error: FindError) {
        self.find_error = Some(error);
    }

    /// Sets the size of the conversation so far.
    pub(crate) fn set_chain(&mut self, records: usize, bytes: usize) {
        self.chain = Some((records, bytes));
    }

    /// Sets which stream the call resumes, if it does.
    pub(crate) fn set_resumption(&mut self, resumption: &StreamResumption) {
        let attempt = resumption.attempt().unwrap_or_default();
        self.resumed = resumption.is_resumed().then(|| attempt.to_owned());
    }

    /// Sets the software version that began the resumed stream.
    pub(crate) fn set_origin(&mut self, version: &SoftwareVersion) {
        self.origin = Some(version.clone());
    }

    /// Sets how the version that began the resumed stream is known, or why the stream cannot be resumed.
    pub(crate) fn set_origin_source(&mut self, source: &'static str) {
        self.origin_source = Some(source);
    }

    /// Sets the software version of the target that the call is sent to.
    pub(crate) fn set_target_version(&mut self, version: &SoftwareVersion) {
        self.target_version = Some(version.clone());
    }

    pub(crate) fn set_load(&mut self, load: f64) {
        self.load = Some(load);
    }

    /// Sets why a new program was refused.
    pub(crate) fn set_admission(&mut self, reason: &'static str) {
        self.admission = Some(reason);
    }

    /// Sets the fingerprint of the request. Its digest is logged if it was computed.
    pub(crate) fn set_fingerprint(&mut self, fingerprint: &Rc<RequestFingerprint>) {
        self.fingerprint = Some(Rc::clone(fingerprint));
    }

    pub(crate) fn record_send(&mut self) {
        if self.first_sent.is_none() {
            let now = self.gateway.clock.now();
            let queued = now.since(self.arrived);
            self.gateway.metrics.queue_time.observe(queued.as_secs_f64());
            self.first_sent = Some(now);
        }
    }

    /// Returns whether the call was sent to a target.
    pub(crate) fn was_sent(&self) -> bool {
        self.first_sent.is_some()
    }

    pub(crate) fn record_attempt(&mut self, target: &str, outcome: AttemptOutcome) {
        let outcome = outcome.as_str();
        self.gateway.metrics.attempts.with_label_values(&[outcome]).inc();
        if !self.attempts.is_empty() {
            self.attempts.push(' ');
        }
        // Writing to a string does not fail.
        let _ = write!(self.attempts, "{target}:{outcome}");
    }

    /// Records a target that was passed over, because its next permit is due only after `wait`.
    pub(crate) fn record_denied_permit(&mut self, target: &str, wait: Duration) {
        if !self.denied_permits.is_empty() {
            self.denied_permits.push(' ');
        }
        // Writing to a string does not fail.
        let _ = write!(self.denied_permits, "{target}:{}", wait.as_millis());
    }

    pub(crate) fn record_permit_wait(&mut self, wait: Duration) {
        self.permit_wait += wait;
    }

    pub(crate) fn record_quota_wait(&mut self, wait: Duration) {
        self.quota_wait += wait;
    }

    /// Records that the call is over its customer's quota.
    pub(crate) fn record_quota_refusal(&mut self, refusal: QuotaRefusal) {
        self.quota_refusal = Some(refusal);
    }

    pub(crate) fn record_first_bytes(&mut self) {
        if self.first_bytes.is_none() {
            let now = self.gateway.clock.now();
            let waited = now.since(self.arrived);
            self.gateway.metrics.first_bytes.observe(waited.as_secs_f64());
            self.first_bytes = Some(now);
        }
    }

    pub(crate) fn record_event(&mut self) {
        self.events += 1;
    }

    pub(crate) fn end(&mut self, outcome: CallOutcome) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        let (name, detail, run, kind) = match outcome {
            CallOutcome::Answered { status } => {
                ("answered", status.to_string(), RunVerdict::Ran, LineKind::Success)
            }
            CallOutcome::Refused { code, run, cause } => {
                self.gateway
                    .metrics
                    .refusals
                    .with_label_values(&[code.as_str()])
                    .inc();
                (
                    "refused",
                    format!("{}: {cause}", code.as_str()),
                    run,
                    LineKind::Failure,
                )
            }
            CallOutcome::BrokenOff { cause } => {
                ("broken_off", cause.to_owned(), RunVerdict::Ran, LineKind::Failure)
            }
            CallOutcome::CallerLeft => {
                let run = if self.first_sent.is_some() {
                    RunVerdict::MayHaveRun
                } else {
                    RunVerdict::NotRun
                };
                ("caller_left", String::new(), run, LineKind::Failure)
            }
        };
        if let Some(customer) = &self.customer {
            self.gateway.metrics.customer_calls.count(customer, name);
        }
        let labels = [name, run.as_str()];
        self.gateway.metrics.calls.with_label_values(&labels).inc();
        if self.gateway.decisions.admits(kind) {
            self.write_line(name, &detail, run);
        }
    }

    /// Returns the digest of the request, if it was computed.
    fn request(&self) -> Option<String> {
        let digest = self.fingerprint.as_ref()?.known_digest()?;
        Some(digest.short())
    }

    fn write_line(&self, outcome: &str, detail: &str, run: RunVerdict) {
        let millis = |time: Option<ClockTime>| match time {
            Some(time) => time.since(self.arrived).as_millis() as i64,
            None => -1,
        };
        slog::info!(self.gateway.decisions.logger, "call ended";
            "call" => &self.call,
            "program" => &self.program,
            "route" => &self.route,
            "routing_version" => self.routing_version,
            "customer" => self.customer.as_ref().map(CustomerName::as_str),
            "credential" => self.credential,
            "budget" => self.budget.map(|(budget, _)| budget),
            "most_tokens" => self.budget.map(|(_, most)| most),
            "previous" => &self.previous,
            "previous_error" => self.find_error.map(|error| error.to_string()),
            "chain_records" => self.chain.map(|(records, _)| records),
            "chain_bytes" => self.chain.map(|(_, bytes)| bytes),
            "load" => self.load,
            "admission" => self.admission,
            "request" => self.request(),
            "resumed" => &self.resumed,
            "origin" => self.origin.as_ref().map(SoftwareVersion::as_str),
            "origin_source" => self.origin_source,
            "target_version" => self.target_version.as_ref().map(SoftwareVersion::as_str),
            "attempts" => &self.attempts,
            "denied_permits" => Some(&self.denied_permits).filter(|denied| !denied.is_empty()),
            "permit_wait_ms" => Some(self.permit_wait).filter(|wait| !wait.is_zero()).map(|wait| wait.as_millis() as u64),
            "quota_wait_ms" => Some(self.quota_wait).filter(|wait| wait.as_millis() > 0).map(|wait| wait.as_millis() as u64),
            "quota_rate" => self.quota_refusal.map(|refusal| refusal.rule.rate.as_per_second()),
            "quota_burst" => self.quota_refusal.map(|refusal| refusal.rule.burst()),
            "quota_return_ms" => self.quota_refusal.map(|refusal| refusal.retry_after.as_millis() as u64),
            "events" => self.events,
            "outcome" => outcome,
            "detail" => detail,
            "run" => run.as_str(),
            "sent_ms" => millis(self.first_sent),
            "first_bytes_ms" => millis(self.first_bytes),
            "total_ms" => millis(Some(self.gateway.clock.now())),
        );
    }
}

impl Drop for CallLog {
    fn drop(&mut self) {
        self.end(CallOutcome::CallerLeft);
    }
}
