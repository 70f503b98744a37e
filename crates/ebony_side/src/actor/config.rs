//! The active configuration.

use std::time::Duration;

use ebony_config::values::AdmissionValues;
use ebony_config::{
    ConfigAudience, ConfigDocument, ConfigHolder, ConfigUpdate, LearningState, OfferOutcome, ResolveScope,
    ServingState, VersionSource, WallTime,
};
use ebony_policy::QueueOptions;
use ebony_telemetry::unix_time;
use ebony_types::{CallKind, CallRequest, CallerName, ClockTime, ModelName, ServiceName, TargetName};
use ebony_wire::{ConfigPush, ConfigStatus, SideFrame, TargetKind, TargetReport};
use slog::{info, warn};

use super::SideActor;
use crate::links::LinkKey;

/// The result of offering an update.
type Result<T, E = ebony_config::ConfigReport> = std::result::Result<T, E>;

/// The configuration. Built-in defaults apply until one is received.
pub(super) enum ConfigState {
    Learning(ConfigHolder<LearningState>),
    Serving(ConfigHolder<ServingState>),
}

impl ConfigState {
    pub(super) fn open(now: ClockTime) -> Self {
        Self::Learning(ConfigHolder::open(ConfigAudience::Side, now))
    }

    fn version(&self) -> u64 {
        match self {
            Self::Learning(_) => 0,
            Self::Serving(holder) => holder.version(),
        }
    }

    fn admission(
        &self,
        caller: Option<&CallerName>,
        model: Option<&ModelName>,
        service: Option<&ServiceName>,
        target: &TargetName,
    ) -> AdmissionValues {
        let Self::Serving(holder) = self else {
            return AdmissionValues::default();
        };
        let scope = ResolveScope {
            caller,
            model,
            service,
            target: Some(target),
        };
        let document: std::sync::Arc<ConfigDocument> = holder.document();
        document
            .resolve(&scope, WallTime(unix_time().as_secs()))
            .admission
    }

    /// Returns the options of a target's queue.
    pub(super) fn queue_options(&self, report: &TargetReport) -> QueueOptions {
        let (model, service) = match &report.kind {
            // All models of an engine share a queue, which is limited by the values of the first model.
            TargetKind::Engine { models } => (models.first(), None),
            TargetKind::Service { service } => (None, Some(service)),
        };
        let values = self.admission(None, model, service, &report.target);
        QueueOptions {
            capacity: values.queue_calls as usize,
            ..QueueOptions::default()
        }
    }

    /// Returns the longest time that a call may wait in the queue of its target.
    pub(super) fn queue_time(&self, request: &CallRequest, target: &TargetName) -> Duration {
        let (model, service) = match &request.kind {
            CallKind::Model { model, .. } => (Some(model), None),
            CallKind::Service { service, .. } => (None, Some(service)),
        };
        let values = self.admission(Some(&request.caller), model, service, target);
        Duration::from_millis(u64::from(values.queue_ms))
    }

    fn offer(&mut self, update: ConfigUpdate, now: ClockTime) -> Result<OfferOutcome> {
        match self {
            Self::Serving(holder) => holder.offer(update, now),
            Self::Learning(holder) => {
                holder.observe_version(update.version(), VersionSource::Peer);
                holder.offer(update)
            }
        }
    }

    /// Activates a received document if no newer version is known to exist.
    fn try_serving(self, now: ClockTime) -> Self {
        match self {
            Self::Serving(_) => self,
            Self::Learning(holder) => match holder.into_serving(now) {
                Ok(holder) => Self::Serving(holder),
                Err(blocked) => Self::Learning(blocked.holder),
            },
        }
    }
}

impl SideActor {
    pub(super) fn config_status(&self) -> SideFrame {
        SideFrame::ConfigInForce(ConfigStatus {
            process: self.identity.process.clone(),
            version: self.config.version(),
        })
    }

    pub(super) fn accept_config(&mut self, link: LinkKey, push: &ConfigPush) {
        let now = self.now();
        let outcome = ConfigUpdate::decode(&push.document).and_then(|update| self.config.offer(update, now));
        match outcome {
            Ok(OfferOutcome::Accepted(_)) => self.apply_config(now),
            Ok(OfferOutcome::Gap { known, .. }) => {
                // If this frame is lost, the gap is detected again when the entry pushes its next version.
                let _ = self.links.send(link, &SideFrame::ConfigWanted { known });
            }
            Ok(OfferOutcome::Old { .. }) => {}
            Err(report) => {
                warn!(self.logger, "configuration refused"; "version" => push.version, "error" => %report);
                let known = self.config.version();
                if known < push.version {
                    // The full document may be valid even though this update is not.
                    let _ = self.links.send(link, &SideFrame::ConfigWanted { known });
                }
            }
        }
    }

    fn apply_config(&mut self, now: ClockTime) {
        let config = std::mem::replace(&mut self.config, ConfigState::open(now));
        self.config = config.try_serving(now);
        let version = self.config.version();
        info!(self.logger, "configuration in force"; "version" => version);
        self.metrics
            .config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        for target in self.targets.values_mut() {
            let options = self.config.queue_options(&target.open.report);
            target.queue.set_capacity(options.capacity);
        }
        self.links.broadcast(&self.config_status());
    }
}
