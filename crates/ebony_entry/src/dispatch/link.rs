//! The link to one side process.

use std::net::SocketAddr;

use actix::Addr;
use ebony_link::{LinkIdentity, LinkOptions, LinkReceiver, dial};
use ebony_wire::SideFrame;
use futures_util::Stream;
use futures_util::stream::unfold;

use super::actor::DispatchActor;
use super::directory::SideKey;
use super::messages::{SideDialFailed, SideEvent, SideLinkUp};

/// Dials a side process in the background and tells the dispatcher the outcome.
pub(super) fn spawn_dial(
    key: SideKey,
    address: SocketAddr,
    identity: LinkIdentity,
    options: LinkOptions,
    dispatcher: Addr<DispatchActor>,
) {
    actix::spawn(async move {
        match dial(address, &identity, &options).await {
            Ok(link) => dispatcher.do_send(SideLinkUp { key, link }),
            Err(_) => dispatcher.do_send(SideDialFailed { key }),
        }
    });
}

/// Turns the receiving end of a link into a stream of events that ends with the end of the link.
pub(super) fn events(
    key: SideKey,
    generation: u64,
    receiver: LinkReceiver<SideFrame>,
) -> impl Stream<Item = SideEvent> {
    unfold(Some(receiver), move |receiver| async move {
        let mut receiver = receiver?;
        match receiver.next().await {
            Ok(frame) => Some((
                SideEvent {
                    key,
                    generation,
                    frame: Some(frame),
                },
                Some(receiver),
            )),
            Err(_) => Some((
                SideEvent {
                    key,
                    generation,
                    frame: None,
                },
                None,
            )),
        }
    })
}
