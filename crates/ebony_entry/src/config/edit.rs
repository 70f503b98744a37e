//! Executes configuration changes of operators.

use std::time::Instant;

use actix::{ActorFutureExt, Context, Handler, ResponseActFuture, WrapFuture, fut};
use ebony_config::{
    ConfigDocument, ConfigEdit, ConfigUpdate, EditAction, EditNonce, EditNote, EditOutcome, EditRequest,
    VersionSource,
};
use ebony_types::{ProblemCode, ProblemReport};
use rand::RngCore;
use slog::{info, warn};

use super::actor::{ConfigActor, NewerVersions, read_newer};
use super::handlers::to_problem;
use super::messages::{ConfigChange, EditConfig, EditResult};
use super::store::{ConfigStore, Result};
use super::view::wall_now;

/// History is pruned once per this number of accepted versions.
const PRUNE_INTERVAL: u64 = 16;

/// An edit that passed validation.
struct StartedEdit {
    edit: ConfigEdit,
    first: EditAction,
    base: ConfigDocument,
}

/// The reason why an edit was not started.
enum EditRejection {
    /// Another change was accepted first.
    Conflict(EditOutcome),
    /// The change is invalid, or its input could not be read.
    Problem(ProblemReport),
}

impl From<ProblemReport> for EditRejection {
    fn from(problem: ProblemReport) -> Self {
        Self::Problem(problem)
    }
}

/// Data read from the platform to validate an edit.
#[derive(Default)]
struct EditInput {
    newer: Option<Result<Option<NewerVersions>>>,
    older: Option<Result<ConfigDocument>>,
}

async fn read_edit_input(store: ConfigStore, known: u64, message: EditConfig) -> (EditConfig, EditInput) {
    let mut input = EditInput::default();
    // If the operator read a newer version elsewhere, this process must load it first. If the operator read an older
    // one, the newest record is needed to report the conflicting change.
    if message.expected != known {
        input.newer = Some(read_newer(&store, known).await);
    }
    if let ConfigChange::Revert { to, .. } = message.change {
        input.older = Some(store.document(to).await);
    }
    (message, input)
}

/// A finished edit.
struct FinishedEdit {
    outcome: EditOutcome,
    update: ConfigUpdate,
    base: ConfigDocument,
}

async fn run_edit(
    store: ConfigStore,
    started: Result<StartedEdit, EditRejection>,
    deadline: Instant,
) -> Result<FinishedEdit, EditRejection> {
    let StartedEdit {
        mut edit,
        first,
        base,
    } = started?;
    let outcome = store.run(&mut edit, first, deadline).await;
    let update = edit.to_update();
    Ok(FinishedEdit {
        outcome,
        update,
        base,
    })
}

impl Handler<EditConfig> for ConfigActor {
    type Result = ResponseActFuture<Self, EditResult>;

    fn handle(&mut self, message: EditConfig, _: &mut Context<Self>) -> Self::Result {
        let deadline = Instant::now() + message.limit;
        let input = read_edit_input(self.store.clone(), self.known(), message);
        let input = tokio::time::timeout_at(deadline.into(), input);
        Box::pin(input.into_actor(self).then(move |input, actor, _| {
            let late =
                |_| ProblemReport::not_run(ProblemCode::PlatformUnavailable, "the platform is too slow");
            let started = match input {
                Ok((message, input)) => actor.begin_edit(message, input),
                Err(elapsed) => Err(EditRejection::Problem(late(elapsed))),
            };
            let run = run_edit(actor.store.clone(), started, deadline);
            run.into_actor(actor).then(|ended, actor, _| {
                let result = match ended {
                    Ok(ended) => Ok(actor.finish_edit(ended)),
                    Err(EditRejection::Conflict(outcome)) => Ok(outcome),
                    Err(EditRejection::Problem(problem)) => Err(problem),
                };
                fut::ready(result)
            })
        }))
    }
}

impl ConfigActor {
    fn begin_edit(&mut self, message: EditConfig, input: EditInput) -> Result<StartedEdit, EditRejection> {
        match input.newer {
            Some(Ok(newer)) => {
                let winner = newer.as_ref().map(NewerVersions::to_winner);
                self.accept_newer(newer);
                if let Some((winner, conflict)) = winner
                    && winner > message.expected
                {
                    return Err(EditRejection::Conflict(conflict));
                }
            }
            Some(Err(error)) if message.expected > self.known() => return Err(to_problem(&error).into()),
            // `base_of` detects a conflict without the table, too.
            Some(Err(_)) | None => {}
        }
        let base = self.base_of(message.expected)?;
        let note = EditNote {
            author: message.author,
            summary: message.summary,
            time: wall_now(),
        };
        let request = match (message.change, input.older) {
            (ConfigChange::Replace(next), _) => EditRequest::replace(&base, &next, note),
            (ConfigChange::Patch(patch), _) => EditRequest::change(&base, *patch, note),
            (ConfigChange::Revert { parts, .. }, Some(older)) => {
                let older = older.map_err(|error| to_problem(&error))?;
                EditRequest::revert(&base, &older, parts, note)
            }
            (ConfigChange::Revert { .. }, None) => {
                let detail = "the older version was not read";
                return Err(ProblemReport::not_run(ProblemCode::Internal, detail).into());
            }
        };
        let request = request.map_err(ProblemReport::from)?;
        let mut nonce = [0; 16];
        self.rng.fill_bytes(&mut nonce);
        let (edit, first) = ConfigEdit::begin(request, EditNonce(nonce));
        Ok(StartedEdit { edit, first, base })
    }

    /// Returns the document to which an operator's change applies.
    fn base_of(&self, expected: u64) -> Result<ConfigDocument, ProblemReport> {
        let known = self.known();
        if expected < known {
            let detail = format!("version {known} was accepted first");
            return Err(ProblemReport::not_run(ProblemCode::VersionConflict, detail));
        }
        if expected > known {
            let detail = format!("version {expected} is not known here; the newest known one is {known}");
            let problem = ProblemReport::not_run(ProblemCode::PlatformUnavailable, detail);
            return Err(problem.retry_after(1));
        }
        match self.document() {
            Some(document) => Ok((*document).clone()),
            None if expected == 0 => Ok(ConfigDocument::default()),
            None => {
                let detail = "the configuration is not in force here yet";
                Err(ProblemReport::not_run(ProblemCode::PlatformUnavailable, detail).retry_after(1))
            }
        }
    }

    /// Puts an accepted change in force in this process immediately.
    fn finish_edit(&mut self, ended: FinishedEdit) -> EditOutcome {
        let FinishedEdit {
            outcome,
            update,
            base,
        } = ended;
        let EditOutcome::Accepted(version) = outcome else {
            info!(self.options.logger, "configuration change not accepted"; "outcome" => ?outcome);
            return outcome;
        };
        self.observe_version(version, VersionSource::Table);
        let update = match update {
            // A process without a configuration needs a full document.
            ConfigUpdate::Delta(delta) if base.version == 0 => match delta.patch.apply(&base) {
                Ok(document) => ConfigUpdate::Full(Box::new(document)),
                Err(_) => ConfigUpdate::Delta(delta),
            },
            update => update,
        };
        self.offer(update);
        if version % PRUNE_INTERVAL == 0 {
            self.prune(version);
        }
        outcome
    }

    fn prune(&self, version: u64) {
        let (store, logger) = (self.store.clone(), self.options.logger.clone());
        actix::spawn(async move {
            if let Err(error) = store.prune(version).await {
                warn!(logger, "cannot prune the configuration history"; "error" => %error);
            }
        });
    }
}
