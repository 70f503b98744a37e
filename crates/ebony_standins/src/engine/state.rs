//! The state of a running engine.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use actix_web::web;
use ebony_platform::protocol::OrderRequest;
use ebony_platform::{EngineLoad, EngineOrder};
use ebony_types::{ModelName, ProcessIncarnation, ProgramId};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::EngineKind;
use super::cache::PrefixCache;
use super::models::ModelTable;
use super::notices::NoticeLog;
use super::record::CallTable;
use super::seen::{EngineLog, EngineStats, SeenOrder};
use super::settings::{EngineOptions, EngineSettings};
use super::slots::SlotQueue;
use crate::lagged::LaggedValue;
use crate::server::control::StandinState;
use crate::server::faults::FaultGate;
use crate::settings_cell::SettingsCell;

/// Why an order did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderFailure {
    /// The fencing token is lower than the highest one seen.
    Fenced {
        /// The highest token.
        highest: u64,
    },
    /// The maximum number of models is reached.
    NoRoom,
    /// The program holds no tokens in the prefix cache.
    NothingHeld,
}

/// The result of an order.
pub(crate) type Result<T, E = OrderFailure> = std::result::Result<T, E>;

/// The state of a running engine.
pub(crate) struct EngineState {
    pub(crate) settings: SettingsCell<EngineSettings>,
    pub(crate) slots: SlotQueue,
    pub(crate) cache: RefCell<PrefixCache>,
    pub(crate) calls: RefCell<CallTable>,
    pub(crate) notices: RefCell<NoticeLog>,
    pub(crate) models: RefCell<ModelTable>,
    pub(crate) log: RefCell<EngineLog>,
    initial_models: Vec<ModelName>,
    load: RefCell<LaggedValue<EngineLoad>>,
    incarnation: Cell<ProcessIncarnation>,
    highest_token: Cell<u64>,
    pub(crate) faults: web::Data<FaultGate>,
}

impl EngineState {
    pub(crate) fn open(options: EngineOptions, faults: web::Data<FaultGate>) -> Self {
        let load = EngineLoad {
            running: 0,
            waiting: 0,
            kv_bytes_held: 0,
            kv_bytes_total: 0,
            models: Vec::new(),
        };
        let state = Self {
            settings: SettingsCell::open(options.settings),
            slots: SlotQueue::default(),
            cache: RefCell::default(),
            calls: RefCell::default(),
            notices: RefCell::default(),
            models: RefCell::default(),
            log: RefCell::default(),
            initial_models: options.models,
            load: RefCell::new(LaggedValue::open(load)),
            incarnation: Cell::new(random_incarnation()),
            highest_token: Cell::new(0),
            faults,
        };
        state.load_initial_models();
        state
    }

    pub(crate) fn incarnation(&self) -> ProcessIncarnation {
        self.incarnation.get()
    }

    /// Returns the load report, as old as the setting `load_lag_ms` says.
    pub(crate) fn load_report(&self) -> EngineLoad {
        let lag = self.settings.read(|settings| settings.load_lag_ms);
        if lag == 0 {
            return self.current_load();
        }
        self.load.borrow().get(Duration::from_millis(lag))
    }

    /// Publishes cache notices and the load after a change of calls, cache or models.
    pub(crate) fn publish(&self) {
        let gap_every = self.settings.read(|settings| settings.notice_gap_every);
        let changes = self.cache.borrow_mut().take_changes();
        let mut notices = self.notices.borrow_mut();
        for change in changes {
            notices.push(change, gap_every);
        }
        self.load.borrow_mut().set(self.current_load());
    }

    /// Runs an order if its fencing token is accepted.
    pub(crate) fn run_order(&self, request: OrderRequest) -> Result<()> {
        let result = self
            .admit_order(&request)
            .and_then(|()| self.apply_order(&request.order));
        self.log.borrow_mut().note_order(SeenOrder {
            order: request.order,
            token: request.token,
            has_run: result.is_ok(),
        });
        self.publish();
        result
    }

    fn admit_order(&self, request: &OrderRequest) -> Result<()> {
        let highest = self.highest_token.get();
        let is_stale = request.token.0 < highest;
        let mut log = self.log.borrow_mut();
        if is_stale && self.settings.read(|settings| settings.checks_fencing) {
            log.counts.fenced_orders += 1;
            return Err(OrderFailure::Fenced { highest });
        }
        self.highest_token.set(highest.max(request.token.0));
        log.counts.orders += 1;
        log.counts.stale_orders += u64::from(is_stale);
        Ok(())
    }

    fn apply_order(&self, order: &EngineOrder) -> Result<()> {
        match order {
            EngineOrder::Load(model) => self.load_model(model),
            EngineOrder::Unload(model) => {
                self.models.borrow_mut().unload(model);
                Ok(())
            }
            EngineOrder::Release(program) => {
                self.cache.borrow_mut().release(*program);
                Ok(())
            }
            EngineOrder::Pin(program) => self.pin(*program),
            EngineOrder::Unpin(program) => {
                self.cache.borrow_mut().set_pinned(*program, false);
                Ok(())
            }
        }
    }

    fn load_model(&self, model: &ModelName) -> Result<()> {
        let (millis, max_models) = self
            .settings
            .read(|settings| (settings.model_load_ms, settings.max_models));
        let time = Duration::from_millis(millis);
        if self.models.borrow_mut().load(model, time, max_models) {
            Ok(())
        } else {
            Err(OrderFailure::NoRoom)
        }
    }

    fn pin(&self, program: ProgramId) -> Result<()> {
        if self.cache.borrow_mut().set_pinned(program, true) {
            Ok(())
        } else {
            Err(OrderFailure::NothingHeld)
        }
    }

    fn load_initial_models(&self) {
        for model in &self.initial_models {
            // Models above the limit are skipped, as by a real engine.
            self.load_model(model).ok();
        }
    }

    fn current_load(&self) -> EngineLoad {
        let (bytes, capacity) = self
            .settings
            .read(|settings| (settings.kv_bytes_per_token, settings.cache_tokens));
        EngineLoad {
            running: self.slots.running(),
            waiting: self.slots.waiting(),
            kv_bytes_held: self.cache.borrow().held_tokens() * bytes,
            kv_bytes_total: capacity * bytes,
            models: self.models.borrow().ready(),
        }
    }
}

fn random_incarnation() -> ProcessIncarnation {
    ProcessIncarnation::random(&mut StdRng::from_os_rng())
}

impl StandinState for EngineState {
    type Kind = EngineKind;

    fn settings(&self) -> &SettingsCell<EngineSettings> {
        &self.settings
    }

    async fn on_settings(&self) {
        self.slots
            .set_slots(self.settings.read(|settings| settings.slots));
    }

    /// Discards calls, cache, notices, models and the highest fencing token.
    fn on_crash(&self) {
        self.log.borrow_mut().counts.crashes += 1;
        self.calls.borrow_mut().crash();
        self.cache.borrow_mut().crash();
        self.notices.replace(NoticeLog::default());
        self.models.replace(ModelTable::default());
        self.highest_token.set(0);
    }

    fn on_restart(&self) {
        self.incarnation.set(random_incarnation());
        self.load_initial_models();
        self.publish();
    }

    fn stats(&self) -> EngineStats {
        let cache = self.cache.borrow();
        EngineStats {
            incarnation: self.incarnation.get(),
            counts: self.log.borrow().counts,
            running: self.slots.running(),
            waiting: self.slots.waiting(),
            peak_running: self.slots.peak_running(),
            held_tokens: cache.held_tokens(),
            pinned: cache.pinned(),
            highest_token: self.highest_token.get(),
            cache: cache.counters(),
        }
    }
}
