//! The links from entries: one for each entry process.

use std::collections::HashMap;

use actix::Message;
use ebony_link::{LinkReceiver, LinkSender};
use ebony_wire::{EntryFrame, SideFrame};
use futures_util::Stream;
use futures_util::stream::unfold;
use slotmap::{SlotMap, new_key_type};

/// The result of sending a frame.
pub(crate) type Result<T, E = ebony_link::LinkError> = std::result::Result<T, E>;

new_key_type! {
    /// Names a link from an entry.
    pub(crate) struct LinkKey;
}

struct EntryLink {
    process: String,
    sender: LinkSender<SideFrame>,
    /// Whether the entry knows that this process drains, so that no call of it is on its way.
    has_seen_drain: bool,
}

/// The open links. The listener bounds their number.
#[derive(Default)]
pub(crate) struct LinkTable {
    links: SlotMap<LinkKey, EntryLink>,
    by_process: HashMap<String, LinkKey>,
}

impl LinkTable {
    /// Adds a link, and returns the older link of the same entry, which is closed.
    pub(crate) fn insert(
        &mut self,
        process: String,
        sender: LinkSender<SideFrame>,
        has_seen_drain: bool,
    ) -> (LinkKey, Option<LinkKey>) {
        let key = self.links.insert(EntryLink {
            process: process.clone(),
            sender,
            has_seen_drain,
        });
        let older = self.by_process.insert(process, key);
        if let Some(older) = older {
            self.links.remove(older);
        }
        (key, older)
    }

    /// Removes a link; `false` if it was replaced or removed before.
    pub(crate) fn remove(&mut self, key: LinkKey) -> bool {
        let Some(link) = self.links.remove(key) else {
            return false;
        };
        self.by_process.remove(&link.process);
        true
    }

    /// Returns whether frames of the link count.
    pub(crate) fn contains(&self, key: LinkKey) -> bool {
        self.links.contains_key(key)
    }

    /// Notes that an entry knows of the drain.
    pub(crate) fn confirm_drain(&mut self, key: LinkKey) {
        if let Some(link) = self.links.get_mut(key) {
            link.has_seen_drain = true;
        }
    }

    /// Returns `true` if every linked entry knows of the drain.
    pub(crate) fn have_seen_drain(&self) -> bool {
        self.links.values().all(|link| link.has_seen_drain)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Closes all links behind the frames that wait to be sent.
    pub(crate) fn clear(&mut self) {
        self.links.clear();
        self.by_process.clear();
    }

    /// Sends a frame.
    pub(crate) fn send(&self, key: LinkKey, frame: &SideFrame) -> Result<()> {
        match self.links.get(key) {
            Some(link) => link.sender.send(frame),
            None => Err(ebony_link::LinkError::Closed),
        }
    }

    /// Sends a frame on all links. One that is not taken is lost: what is broadcast is repeated or sent again when a
    /// link opens.
    pub(crate) fn broadcast(&self, frame: &SideFrame) {
        for link in self.links.values() {
            let _ = link.sender.send(frame);
        }
    }
}

/// Something arrived on a link, or the link is over.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct LinkEvent {
    pub(crate) key: LinkKey,
    pub(crate) frame: Option<EntryFrame>,
}

/// Turns the receiving end of a link into events, the last of which says that the link is over.
pub(crate) fn events(key: LinkKey, receiver: LinkReceiver<EntryFrame>) -> impl Stream<Item = LinkEvent> {
    unfold(Some(receiver), move |receiver| async move {
        let mut receiver = receiver?;
        match receiver.next().await {
            Ok(frame) => {
                let frame = Some(frame);
                Some((LinkEvent { key, frame }, Some(receiver)))
            }
            Err(_) => Some((LinkEvent { key, frame: None }, None)),
        }
    })
}
