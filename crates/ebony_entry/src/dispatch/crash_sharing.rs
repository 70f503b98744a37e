//! Keeping the platform's rows of crashes up to date.

use std::rc::Rc;
use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use rand::Rng;
use slog::debug;

use super::actor::DispatchActor;
use super::crash_rows::{read, write};
use super::crashes::CrashSource;

/// The pause before another attempt to read the rows.
const READ_RETRY: Duration = Duration::from_secs(5);

impl DispatchActor {
    /// Learns the crashes that other entries wrote.
    pub(super) fn read_crash_rows(&self, context: &mut Context<Self>) {
        let read = read(Rc::clone(&self.options.table));
        let read = read
            .into_actor(self)
            .map(|reports, actor, context| match reports {
                Ok(reports) => actor.hear_crashes(&reports, CrashSource::Entry),
                Err(_) => {
                    context.run_later(READ_RETRY, |actor, context| actor.read_crash_rows(context));
                }
            });
        context.spawn(read);
    }

    /// Writes the next report, if none is being written.
    pub(super) fn write_crash_rows(&mut self, context: &mut Context<Self>) {
        if self.crash_rows.is_writing {
            return;
        }
        let Some(report) = self.crash_rows.queue.pop_front() else {
            return;
        };
        self.crash_rows.is_writing = true;
        let nonces = std::array::from_fn(|_| self.source.random());
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
