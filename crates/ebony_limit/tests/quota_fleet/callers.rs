//! The callers and targets of the model.

use std::time::Duration;

use ebony_limit::quota::{CallClass, TakeOutcome};
use ebony_types::ClockTime;
use rand::Rng;

use super::{Event, Fleet, ModelCall, START_TIME, name_of};

/// The time that a program has, and the share of what is left of it for which its caller waits to come back.
const PROGRAM_TIME: Duration = Duration::from_secs(20);
const RETURN_SHARE: f64 = 1.0 / 3.0;

/// How long calls wait for tokens: their latency objective, or a part of it.
const UNDER_WAY_PATIENCE: Duration = Duration::from_millis(800);
const SINGLE_PATIENCE: Duration = Duration::from_millis(200);
const FIRST_TURN_PATIENCE: Duration = Duration::from_millis(100);

impl Fleet {
    pub(crate) fn schedule_callers(&mut self) {
        for customer in 0..self.options.rates.len() {
            let steps = f64::from(self.options.program_steps.unwrap_or(1));
            let mean = steps / (self.options.demand * self.options.rates[customer]);
            let mut at = START_TIME;
            loop {
                at += Duration::from_secs_f64(-mean * self.rng.random_range(f64::EPSILON..1.0).ln());
                if at >= self.options.run_time {
                    break;
                }
                let ends_at = ClockTime::default() + at + PROGRAM_TIME;
                let step = self.options.program_steps.map(|_| (0, ends_at));
                let gateway = self.choose_gateway();
                let call = ModelCall { customer, step };
                self.schedule(at, Event::Call { gateway, call });
            }
        }
    }

    pub(crate) fn call(&mut self, gateway: usize, call: ModelCall) {
        if !self.is_up(gateway) {
            return;
        }
        let (class, patience) = match call.step {
            Some((0, _)) => (CallClass::FirstTurn, FIRST_TURN_PATIENCE),
            Some(_) => (CallClass::UnderWay, UNDER_WAY_PATIENCE),
            None => (CallClass::Single, SINGLE_PATIENCE),
        };
        let now = self.now;
        let wallet = &mut self.gateways[gateway].wallet;
        let outcome = wallet.take(&name_of(call.customer), class, now + patience, now);
        match outcome {
            TakeOutcome::Waits(ticket) => {
                self.waiting.insert((gateway, ticket), call);
            }
            outcome => self.decide(gateway, call, outcome),
        }
        self.step(gateway);
    }

    pub(crate) fn decide(&mut self, gateway: usize, call: ModelCall, outcome: TakeOutcome) {
        match outcome {
            TakeOutcome::Taken(stamp) => {
                let delay = self.millis(1, 4);
                let (now, sender) = (self.now, &mut self.gateways[gateway]);
                if self.options.has_faults && self.rng.random_bool(0.03) {
                    // The target refused the call without running it.
                    sender.wallet.put_back(&name_of(call.customer), stamp, now);
                    return;
                }
                sender
                    .wallet
                    .record_sent(&name_of(call.customer), stamp.has_program);
                let (life, sent_at) = (sender.life, now);
                let arrival = Event::Arrival {
                    gateway,
                    life,
                    sent_at,
                    call,
                };
                self.schedule(delay, arrival);
            }
            TakeOutcome::Refused { retry_after } => self.refuse(call, retry_after),
            TakeOutcome::Waits(_) => {}
        }
    }

    fn refuse(&mut self, call: ModelCall, retry_after: Duration) {
        self.refused += 1;
        let Some((step, ends_at)) = call.step else { return };
        if step == 0 {
            self.programs.refused_starts += 1;
        }
        let left = ends_at.since(self.now);
        if retry_after <= left.mul_f64(RETURN_SHARE) {
            let gateway = self.choose_gateway();
            self.schedule(retry_after, Event::Call { gateway, call });
        } else if step > 0 {
            self.programs.broken += 1;
        }
    }

    pub(crate) fn arrive(&mut self, gateway: usize, life: u32, sent_at: ClockTime, call: ModelCall) {
        let sender = &self.gateways[gateway];
        if sender.life != life || sender.frozen_until > sent_at {
            return;
        }
        self.arrivals[call.customer].push(self.now);
        let Some((step, ends_at)) = call.step else { return };
        let run_time = self.millis(100, 1_000);
        let next = ModelCall {
            step: Some((step + 1, ends_at)),
            ..call
        };
        self.schedule(run_time, Event::Next { call: next });
    }

    /// Sends the next request of a program.
    pub(crate) fn begin_step(&mut self, call: ModelCall) {
        let Some((step, ends_at)) = call.step else { return };
        if Some(step) == self.options.program_steps {
            if ends_at > self.now {
                self.programs.ended += 1;
            } else {
                self.programs.late += 1;
            }
            return;
        }
        let gateway = self.choose_gateway();
        self.call(gateway, call);
    }
}
