//! Gateways, each with its own board of engines and its own admission.

use std::time::Duration;

use ebony_dispatch::load::LoadNotice;
use ebony_dispatch::{
    DispatchOptions, ProgramAdmission, ProgramGate, ProgramRequest, RunKey, SharedSlots, TargetBoard,
    TargetChange, TargetKey, TargetPhase, TargetRecord, WorkAdmission, WorkDecision, service_load,
};
use ebony_types::{ClockTime, DomainName, ProgramName, ServiceName, SoftwareVersion, TargetName};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::engines::{ENGINES, SLOTS};
use crate::events::Micros;
use crate::programs::{Program, ROUTES};

/// The mean `Retry-After` of [`ProgramGate`] in `ebony_gateway`.
const GATE_RETRY_AFTER: f64 = 600_000.0;

/// How programs are admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionRule {
    ByLoad,
    ByWork,
}

enum Admission {
    ByLoad(ProgramGate),
    ByWork(Box<WorkAdmission>),
}

pub(crate) struct Gateway {
    board: TargetBoard,
    engines: Vec<TargetKey>,
    admission: Admission,
    options: DispatchOptions,
    service: ServiceName,
    gateways: usize,
}

pub(crate) fn clock(now: Micros) -> ClockTime {
    ClockTime::from_micros(now)
}

impl Gateway {
    pub(crate) fn open(rule: AdmissionRule, gateways: usize) -> Self {
        let service = ServiceName::parse("models").expect("a valid name");
        let domain = DomainName::parse("a").expect("a valid name");
        let mut board = TargetBoard::default();
        let engines = (0..ENGINES).map(|number| {
            let record = TargetRecord {
                name: TargetName::parse(&format!("engine-{number}")).expect("a valid name"),
                service: service.clone(),
                address: ([10, 0, 0, number as u8], 80).into(),
                domain: domain.clone(),
                version: SoftwareVersion::parse("v1").expect("a version"),
                slots: SLOTS,
                phase: TargetPhase::Ready,
                born: 1,
            };
            match board.apply(record) {
                TargetChange::Added(key) => key,
                change => panic!("{change:?}"),
            }
        });
        Self {
            engines: engines.collect(),
            board,
            admission: match rule {
                AdmissionRule::ByLoad => Admission::ByLoad(ProgramGate::open(clock(0))),
                AdmissionRule::ByWork => Admission::ByWork(Box::new(WorkAdmission::open(clock(0)))),
            },
            options: DispatchOptions::default(),
            service,
            gateways,
        }
    }

    /// Decides on the first turn of a program. Returns the time to come back if it is refused.
    pub(crate) fn admit(
        &mut self,
        number: usize,
        program: &Program,
        urgency: u8,
        now: Micros,
        rng: &mut ChaCha8Rng,
    ) -> Result<(), Micros> {
        let route = &ROUTES[program.route];
        match &mut self.admission {
            Admission::ByLoad(gate) => {
                let load = service_load(&self.board, &self.service, &self.options, clock(now));
                match gate.admit(load, urgency, &self.options, clock(now)) {
                    ProgramAdmission::Admitted => Ok(()),
                    ProgramAdmission::Refused { .. } => {
                        Err((GATE_RETRY_AFTER * rng.random_range(0.5..1.5)) as Micros)
                    }
                }
            }
            Admission::ByWork(admission) => {
                let deadline = program.arrived + 2 * program.objective;
                let name = ProgramName::parse(&format!("p{number}")).expect("a valid name");
                let request = ProgramRequest {
                    program: &name,
                    route: route.name,
                    customer: &format!("customer-{}", program.customer),
                    urgency,
                    time_left: Duration::from_micros(deadline.saturating_sub(now)),
                };
                let slots = SharedSlots {
                    slots: ENGINES as u32 * SLOTS,
                    gateways: self.gateways,
                };
                match admission.admit(&request, slots, rng.random(), clock(now)) {
                    WorkDecision::Admitted => Ok(()),
                    WorkDecision::Refused { retry_after, .. } => {
                        Err((retry_after.as_micros() as f64 * rng.random_range(0.5..1.5)) as Micros)
                    }
                }
            }
        }
    }

    /// Chooses an engine with the least estimated queue, as [`ebony_dispatch::place`] does for calls without a prompt.
    /// That function hashes the names of all engines, which takes most of the time of a test that is not optimised.
    pub(crate) fn place(&self, tried: &[usize], now: Micros) -> Option<usize> {
        let now = clock(now);
        let cost = |engine: &usize| {
            let target = self
                .board
                .target(self.engines[*engine])
                .expect("the engine is listed");
            let calls = target.load.calls(&self.options, now);
            let queued = (calls + 1.0 - f64::from(SLOTS)).max(0.0);
            let delay = queued * self.options.slot_time_ms + calls * self.options.domain_delay_ms * 2.0;
            (target.fault.is_full(now), delay)
        };
        let untried = (0..ENGINES).filter(|engine| !tried.contains(engine));
        let costs = untried.map(|engine| (cost(&engine), engine));
        let least = costs.min_by(|((left_full, left), _), ((right_full, right), _)| {
            left_full.cmp(right_full).then(left.total_cmp(right))
        });
        least.map(|(_, engine)| engine)
    }

    pub(crate) fn begin(&mut self, engine: usize) -> RunKey {
        self.board.begin(self.engines[engine], &[], None)
    }

    pub(crate) fn record_full(&mut self, engine: usize, run: RunKey, notice: LoadNotice, now: Micros) {
        let key = self.engines[engine];
        self.board.end(run);
        self.board.record_full(key, &self.options, clock(now));
        self.record_notice(engine, notice, now);
    }

    pub(crate) fn record_notice(&mut self, engine: usize, notice: LoadNotice, now: Micros) {
        self.board.record_notice(self.engines[engine], notice, clock(now));
        if let Admission::ByWork(admission) = &mut self.admission {
            admission.record_engine_load(notice, clock(now));
        }
    }

    /// Records a call of a program that has begun.
    pub(crate) fn record_call(&mut self, number: usize, now: Micros) {
        if let Admission::ByWork(admission) = &mut self.admission {
            let name = ProgramName::parse(&format!("p{number}")).expect("a valid name");
            admission.record_call(&name, clock(now));
        }
    }

    pub(crate) fn record_answer(
        &mut self,
        route: usize,
        run: RunKey,
        run_time: Micros,
        notice: LoadNotice,
        now: Micros,
    ) {
        self.board.end(run);
        if let Admission::ByWork(admission) = &mut self.admission {
            admission.record_turn(
                ROUTES[route].name,
                Duration::from_micros(run_time),
                Some(notice),
                clock(now),
            );
        }
    }
}
