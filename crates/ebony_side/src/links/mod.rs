//! The links from entries, one per entry process.

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
    /// Identifies a link from an entry.
    pub(crate) struct LinkKey;
}

struct EntryLink {
    process: String,
    sender: LinkSender<SideFrame>,
    /// Whether the entry has confirmed that it knows of the drain, so that no further call from it is in transit.
    has_confirmed_drain: bool,
}

/// The open links. The listener limits their number.
#[derive(Default)]
pub(crate) struct LinkTable {
    links: SlotMap<LinkKey, EntryLink>,
    by_process: HashMap<String, LinkKey>,
}

impl LinkTable {
    /// Adds a link and closes the older link of the same entry. Returns the keys of both.
    pub(crate) fn insert(
        &mut self,
        process: String,
        sender: LinkSender<SideFrame>,
        has_confirmed_drain: bool,
    ) -> (LinkKey, Option<LinkKey>) {
        let key = self.links.insert(EntryLink {
            process: process.clone(),
            sender,
            has_confirmed_drain,
        });
        let older = self.by_process.insert(process, key);
        if let Some(older) = older {
            self.links.remove(older);
        }
        (key, older)
    }

    /// Removes a link. Returns `false` if it was replaced or removed before.
    pub(crate) fn remove(&mut self, key: LinkKey) -> bool {
        let Some(link) = self.links.remove(key) else {
            return false;
        };
        self.by_process.remove(&link.process);
        true
    }

    /// Returns `true` if the link was neither replaced nor removed.
    pub(crate) fn contains(&self, key: LinkKey) -> bool {
        self.links.contains_key(key)
    }

    /// Records that an entry has confirmed the drain.
    pub(crate) fn confirm_drain(&mut self, key: LinkKey) {
        if let Some(link) = self.links.get_mut(key) {
            link.has_confirmed_drain = true;
        }
    }

    /// Returns `true` if every linked entry has confirmed the drain.
    pub(crate) fn all_confirmed_drain(&self) -> bool {
        self.links.values().all(|link| link.has_confirmed_drain)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Closes all links after their queued frames are sent.
    pub(crate) fn clear(&mut self) {
        self.links.clear();
        self.by_process.clear();
    }

    /// Queues a frame on a link.
    pub(crate) fn send(&self, key: LinkKey, frame: &SideFrame) -> Result<()> {
        match self.links.get(key) {
            Some(link) => link.sender.send(frame),
            None => Err(ebony_link::LinkError::Closed),
        }
    }

    /// Queues a frame on all links. Errors are ignored, because broadcast content is repeated or sent again when a link
    /// opens.
    pub(crate) fn broadcast(&self, frame: &SideFrame) {
        for link in self.links.values() {
            let _ = link.sender.send(frame);
        }
    }
}

/// A frame arrived on a link, or the link has closed.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct LinkEvent {
    pub(crate) key: LinkKey,
    /// `None` if the link has closed.
    pub(crate) frame: Option<EntryFrame>,
}

/// Turns the receiving end of a link into a stream of events. The last one reports that the link has closed.
pub(crate) fn link_events(key: LinkKey, receiver: LinkReceiver<EntryFrame>) -> impl Stream<Item = LinkEvent> {
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
