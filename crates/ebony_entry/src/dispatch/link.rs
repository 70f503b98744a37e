//! The link to one side process.

use std::net::SocketAddr;

use actix::Addr;
use ebony_link::{LinkIdentity, LinkOptions, LinkReceiver, dial};
use ebony_types::HostName;
use ebony_wire::SideFrame;
use futures_util::Stream;
use futures_util::stream::unfold;

use super::actor::DispatchActor;
use super::messages::{SideDialFailed, SideEvent, SideLinkUp};
use super::side_table::SideKey;

/// Dials a side process in the background and tells the dispatcher the outcome.
pub(super) fn spawn_dial(
    host: HostName,
    address: SocketAddr,
    identity: LinkIdentity,
    options: LinkOptions,
    dispatcher: Addr<DispatchActor>,
) {
    actix::spawn(async move {
        match dial(address, &identity, &options).await {
            Ok(link) => dispatcher.do_send(SideLinkUp { host, link }),
            Err(_) => dispatcher.do_send(SideDialFailed { host }),
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
        let frame = receiver.next().await.ok();
        let next = frame.is_some().then_some(receiver);
        let event = SideEvent {
            key,
            generation,
            frame,
        };
        Some((event, next))
    })
}
