//! Reports load, prefix caches and models to entries. Nothing is polled or sent without a link, and unchanged load
//! is not sent again.

use std::rc::Rc;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use ebony_platform::{CacheNotice, EngineLoad, PlatformError, ProbeOutcome, probe};
use ebony_types::TargetName;
use ebony_wire::{CacheEvent, LoadReport, SideFrame, TargetKind};
use slog::info;

use super::SideActor;

/// The smallest change in a target's number of calls that is reported immediately.
const MIN_LOAD_CHANGE: u32 = 4;

/// With many calls, a change is reported immediately if it reaches the last reported number divided by this.
const LOAD_CHANGE_DIVISOR: u32 = 4;

impl SideActor {
    /// Sends the load of targets whose load has changed since the last report.
    pub(super) fn report_load(&mut self, _: &mut Context<Self>) {
        let mut changed = Vec::new();
        for target in self.targets.values_mut() {
            let report = target.load_report();
            let labels = &[report.target.as_str()];
            self.metrics
                .queued
                .with_label_values(labels)
                .set(report.queued.into());
            self.metrics
                .running
                .with_label_values(labels)
                .set(report.running.into());
            self.metrics
                .kv_bytes
                .with_label_values(labels)
                .set(i64::try_from(report.kv_bytes_held).unwrap_or(i64::MAX));
            if target.last_sent_load.as_ref() != Some(&report) {
                target.last_sent_load = Some(report.clone());
                changed.push(report);
            }
        }
        if !changed.is_empty() {
            self.links.broadcast(&SideFrame::Load(changed));
        }
    }

    /// Sends the load of a target immediately if it has changed significantly.
    pub(super) fn report_load_change(&mut self, name: &TargetName) {
        if self.links.is_empty() {
            return;
        }
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let report = target.load_report();
        let is_significant = target
            .last_sent_load
            .as_ref()
            .is_none_or(|sent| has_changed_significantly(sent, &report));
        if is_significant {
            target.last_sent_load = Some(report.clone());
            self.links.broadcast(&SideFrame::Load(vec![report]));
        }
    }

    /// Polls engines for their load and cache notices.
    pub(super) fn poll_engines(&mut self, context: &mut Context<Self>) {
        if self.links.is_empty() {
            return;
        }
        for name in self.engine_names() {
            self.poll_engine(&name, context);
        }
    }

    fn poll_engine(&mut self, name: &TargetName, context: &mut Context<Self>) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let address = target.open.address;
        let Some(engine) = &mut target.engine else { return };
        if target.is_down || std::mem::replace(&mut engine.is_polling, true) {
            return;
        }
        let (after, crash_count) = (engine.last_notice, engine.crash_count);
        let engine = Rc::clone(&engine.engine);
        let polling = async move {
            let load = engine.load().await?;
            let notices = engine.cache_notices(after).await?;
            Ok((load, notices))
        };
        let polling = async move {
            let result: Result<_, PlatformError> = polling.await;
            match result {
                Ok(reply) => Ok(reply),
                Err(_) => Err(probe(address).await),
            }
        };
        let name = name.clone();
        let polling = polling.into_actor(self).map(move |result, actor, context| {
            let Some(engine) = actor.engine_mut(&name) else {
                return;
            };
            engine.is_polling = false;
            if engine.crash_count != crash_count {
                return;
            }
            match result {
                Ok((load, notices)) => {
                    actor.accept_load(&name, load);
                    actor.accept_notices(&name, &notices);
                }
                Err(ProbeOutcome::Refused) => actor.handle_target_down(&name, context),
                Err(_) => {}
            }
        });
        context.spawn(polling);
    }

    fn accept_load(&mut self, name: &TargetName, load: EngineLoad) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let kind = TargetKind::Engine {
            models: load.models.clone(),
        };
        if let Some(engine) = &mut target.engine {
            engine.load = Some(load);
        }
        if target.open.report.kind != kind {
            info!(self.logger, "the engine's models have changed"; "target" => %name);
            target.open.report.kind = kind;
            self.links.broadcast(&self.welcome_frame());
        }
    }

    fn accept_notices(&mut self, name: &TargetName, notices: &[CacheNotice]) {
        let Some(engine) = self.engine_mut(name) else {
            return;
        };
        let Some(last) = notices.iter().map(|notice| notice.sequence).max() else {
            return;
        };
        engine.last_notice = engine.last_notice.max(last);
        let events = notices.iter().map(|notice| CacheEvent {
            target: name.clone(),
            sequence: notice.sequence,
            program: notice.program,
            held_tokens: notice.held_tokens,
        });
        self.links.broadcast(&SideFrame::Cache(events.collect()));
    }
}

fn has_changed_significantly(sent: &LoadReport, report: &LoadReport) -> bool {
    let before = sent.running + sent.queued;
    let after = report.running + report.queued;
    before.abs_diff(after) >= MIN_LOAD_CHANGE.max(before / LOAD_CHANGE_DIVISOR)
}
