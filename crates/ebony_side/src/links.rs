//! The actor that holds the links from entries and runs their calls.

use std::collections::HashMap;
use std::rc::Rc;

use actix::{Actor, ActorFutureExt, AsyncContext, Context, Handler, Message, WrapFuture};
use ebony_link::{LinkListener, LinkReceiver, LinkSender, OpenLink};
use ebony_types::{DomainName, ProblemCode, ProblemReport, TargetName};
use ebony_wire::{AnswerFrame, DispatchOrder, EntryFrame, SideFrame};
use futures_util::Stream;
use futures_util::stream::unfold;
use slog::{Logger, info, warn};
use slotmap::{SlotMap, new_key_type};

use crate::run::run_call;
use crate::target::OpenTarget;

new_key_type! {
    /// Names a link from an entry.
    pub(crate) struct LinkKey;
}

/// Holds the links from entries and runs their calls.
pub(crate) struct SideActor {
    listener: Option<LinkListener>,
    domain: DomainName,
    targets: Rc<HashMap<TargetName, OpenTarget>>,
    links: SlotMap<LinkKey, LinkSender<SideFrame>>,
    is_draining: bool,
    logger: Logger,
}

impl SideActor {
    pub(crate) fn new(
        listener: LinkListener,
        domain: DomainName,
        targets: HashMap<TargetName, OpenTarget>,
        logger: Logger,
    ) -> Self {
        let links = SlotMap::with_key();
        Self {
            listener: Some(listener),
            domain,
            targets: Rc::new(targets),
            links,
            is_draining: false,
            logger,
        }
    }

    fn accept_next(&mut self, context: &mut Context<Self>) {
        let Some(mut listener) = self.listener.take() else {
            return;
        };
        let next = async move {
            let link = listener.next().await;
            (listener, link)
        };
        let next = next.into_actor(self).map(|(listener, link), actor, context| {
            actor.listener = Some(listener);
            if let Some(link) = link {
                actor.open_link(link, context);
                actor.accept_next(context);
            }
        });
        context.spawn(next);
    }

    fn open_link(&mut self, link: OpenLink, context: &mut Context<Self>) {
        info!(self.logger, "link from entry opened"; "entry" => &link.peer().process);
        let (sender, receiver) = link.split();
        let welcome = SideFrame::Welcome {
            domain: self.domain.clone(),
            targets: self
                .targets
                .values()
                .map(|target| target.report.clone())
                .collect(),
            is_draining: self.is_draining,
        };
        // A new link's queue has room for its first frame.
        let _ = sender.send(&welcome);
        let key = self.links.insert(sender);
        context.add_message_stream(events(key, receiver));
    }

    fn dispatch(&self, key: LinkKey, order: DispatchOrder) {
        let Some(sender) = self.links.get(key) else { return };
        let call = order.request.call;
        let Some(target) = self.targets.get(&order.target) else {
            let problem = ProblemReport::not_run(ProblemCode::NoTarget, "no such target beside this process");
            // The entry learns of a lost link by itself.
            let _ = sender.send(&SideFrame::Answer(AnswerFrame::Failed { call, problem }));
            return;
        };
        actix::spawn(run_call(target.adapter.clone(), order, sender.clone()));
    }
}

impl Actor for SideActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.accept_next(context);
    }
}

/// Something arrived on a link, or the link is over.
#[derive(Message)]
#[rtype(result = "()")]
struct LinkEvent {
    key: LinkKey,
    frame: Option<EntryFrame>,
}

fn events(key: LinkKey, receiver: LinkReceiver<EntryFrame>) -> impl Stream<Item = LinkEvent> {
    unfold(Some(receiver), move |receiver| async move {
        let mut receiver = receiver?;
        match receiver.next().await {
            Ok(frame) => Some((
                LinkEvent {
                    key,
                    frame: Some(frame),
                },
                Some(receiver),
            )),
            Err(_) => Some((LinkEvent { key, frame: None }, None)),
        }
    })
}

impl Handler<LinkEvent> for SideActor {
    type Result = ();

    fn handle(&mut self, event: LinkEvent, _: &mut Context<Self>) {
        match event.frame {
            Some(EntryFrame::Dispatch(order)) => self.dispatch(event.key, *order),
            Some(EntryFrame::Ping { nonce }) => {
                if let Some(sender) = self.links.get(event.key) {
                    // A full queue means that the link is busy, which is a sign of life as well.
                    let _ = sender.send(&SideFrame::Pong { nonce });
                }
            }
            Some(_) => {}
            None => {
                warn!(self.logger, "link from entry lost");
                self.links.remove(event.key);
            }
        }
    }
}
