//! Synchronises crash reports with the table service.

use std::rc::Rc;
use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use rand::Rng;
use slog::debug;

use super::actor::DispatchActor;
use super::crash_rows::{read, write};
use super::crashes::CrashSource;

/// The delay before the rows are read again after a failure.
const READ_RETRY: Duration = Duration::from_secs(5);

impl DispatchActor {
    /// Loads the crash reports that other entries wrote, retrying until it succeeds.
    pub(super) fn read_crash_rows(&self, context: &mut Context<Self>) {
        let read = read(Rc::clone(&self.options.table));
        let read = read
            .into_actor(self)
            .map(|reports, actor, context| match reports {
                Ok(reports) => actor.merge_crashes(&reports, CrashSource::Entry),
                Err(_) => {
                    context.run_later(READ_RETRY, |actor, context| actor.read_crash_rows(context));
                }
            });
        context.spawn(read);
    }

    /// Writes the queued reports, unless a write is already in progress.
    pub(super) fn write_crash_rows(&mut self, context: &mut Context<Self>) {
        if self.crash_rows.is_writing {
            return;
        }
        let Some(report) = self.crash_rows.queue.pop_front() else {
            return;
        };
        self.crash_rows.is_writing = true;
        let nonces = std::array::from_fn(|_| self.rng.random());
        let write = write(Rc::clone(&self.options.table), report, nonces);
        let write = write.into_actor(self).map(|written, actor, context| {
            actor.crash_rows.is_writing = false;
            if let Err(error) = written {
                debug!(actor.options.logger, "crash row not written"; "error" => %error);
            }
            actor.write_crash_rows(context);
        });
        context.spawn(write);
    }
}
