//! Plans model loads and sends the load orders.

use std::rc::Rc;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use ebony_policy::LoadDecision;
use ebony_types::{ClockTime, ModelName};
use ebony_wire::{EntryFrame, LoadOrder, TargetKind};
use rand::Rng;
use slog::info;

use super::actor::DispatchActor;
use super::loading::{LOAD_TIMEOUT, ListedEngine, LoaderRole, ModelLoader, claim};

impl DispatchActor {
    /// Plans and orders loads, if model loading is enabled and this entry is the leader of its failure domain.
    pub(super) fn plan_loads(&mut self, context: &mut Context<Self>) {
        let now = self.now();
        let engines = self.listed_engines();
        let Some(loader) = &mut self.loader else { return };
        loader.set_engines(engines);
        match loader.role {
            LoaderRole::Standby => {}
            LoaderRole::Claiming => self.claim_loading(context),
            LoaderRole::Leader(_) => {
                for decision in loader.plan(now) {
                    self.begin_load(decision, context);
                }
            }
        }
    }

    fn listed_engines(&self) -> Vec<ListedEngine> {
        let engines = self.registry.targets().filter_map(|(_, record)| {
            let TargetKind::Engine { models } = &record.report.kind else {
                return None;
            };
            Some(ListedEngine {
                key: self.picker.key_of(record.name())?,
                domain: record.domain.clone(),
                models: models.clone(),
            })
        });
        engines.collect()
    }

    fn claim_loading(&mut self, context: &mut Context<Self>) {
        let table = Rc::clone(&self.options.table);
        let (domain, host) = (self.options.domain.clone(), self.options.host.clone());
        let claim = claim(table, domain, host, self.rng.random());
        let claim = claim.into_actor(self).map(|token, actor, _| {
            let Some(loader) = &mut actor.loader else { return };
            // A failed claim is retried at the next planning interval.
            if let (LoaderRole::Claiming, Ok(token)) = (loader.role, token) {
                info!(actor.options.logger, "this entry now orders model loads in its failure domain";
                    "token" => token.0);
                loader.role = LoaderRole::Leader(token);
            }
        });
        context.spawn(claim);
    }

    /// Requests a transfer from the weight store, and orders the load once it is granted.
    fn begin_load(&self, decision: LoadDecision, context: &mut Context<Self>) {
        let Some(loader) = &self.loader else { return };
        let weights = Rc::clone(&loader.weights);
        let model = decision.load.clone();
        let transfer = async move { weights.begin_transfer(&model).await };
        let transfer = transfer.into_actor(self).map(move |granted, actor, _| {
            let now = actor.now();
            let is_ordered = granted.is_ok() && actor.order_load(&decision, now);
            if let Some(loader) = &mut actor.loader
                && !is_ordered
            {
                loader.planner.load_failed(decision.target, now);
            }
        });
        context.spawn(transfer);
    }

    /// Sends the orders of a load. Returns `false` if the engine can't be reached or this entry is no longer the
    /// leader.
    fn order_load(&mut self, decision: &LoadDecision, now: ClockTime) -> bool {
        let target = self.picker.name_of(decision.target).cloned();
        let token = self.loader.as_ref().and_then(ModelLoader::token);
        let (Some(target), Some(token)) = (target, token) else {
            return false;
        };
        let record = self
            .registry
            .find(&target)
            .and_then(|key| self.registry.target(key));
        let Some(side) = record.and_then(|record| self.sides.find(&record.host)) else {
            return false;
        };
        info!(self.options.logger, "model load ordered"; "target" => %target, "model" => %decision.load);
        let order = |model: &ModelName, is_load: bool| {
            EntryFrame::Load(LoadOrder {
                target: target.clone(),
                model: model.clone(),
                is_load,
                token,
            })
        };
        let unload = decision.unload.as_ref();
        let is_unloaded = unload.is_none_or(|model| self.sides.send(side, &order(model, false)));
        let is_sent = is_unloaded && self.sides.send(side, &order(&decision.load, true));
        if let Some(loader) = self.loader.as_mut().filter(|_| is_sent) {
            let load = (decision.load.clone(), now + LOAD_TIMEOUT);
            loader.pending.insert(decision.target, load);
        }
        is_sent
    }
}
