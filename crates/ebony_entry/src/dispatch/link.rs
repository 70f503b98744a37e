//! Dials side processes and converts their links to event streams.

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

/// Dials a side process in the background and reports the outcome to the dispatcher.
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

/// Converts the receiving half of a link to a stream of events. The last event, without a frame, reports that the link
/// closed.
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
