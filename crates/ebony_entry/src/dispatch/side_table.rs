//! The known side processes and the links to them.

use std::collections::HashMap;

use ebony_link::LinkSender;
use ebony_types::{CallId, ClockTime, HostName, ProcessIncarnation};
use ebony_wire::EntryFrame;
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Identifies a side process within this entry.
    pub struct SideKey;
}

/// The maximum number of cancellations queued for one side process without a link. Further ones are dropped; those
/// calls keep running at the side process until their deadline.
const MAX_PENDING_CANCELS: usize = 1_024;

/// A side process and its link.
pub(super) struct SideRecord {
    pub(super) host: HostName,
    pub(super) sender: Option<LinkSender<EntryFrame>>,
    pub(super) incarnation: Option<ProcessIncarnation>,
    /// Distinguishes the current link from earlier ones.
    pub(super) generation: u64,
    /// Whether at least one dial has completed, successfully or not.
    pub(super) was_tried: bool,
    /// Calls that were sent here and have not ended.
    pub(super) open_calls: u32,
    /// When the last call ended.
    pub(super) last_used: ClockTime,
    /// Whether the link is closed once no call uses it.
    pub(super) is_closing: bool,
    /// Cancellations to send when the link is re-established.
    pending_cancels: Vec<CallId>,
}

impl SideRecord {
    /// Queues a frame. Returns `false` if it could not be queued and will not be sent.
    pub(super) fn send(&self, frame: &EntryFrame) -> bool {
        let sender = self.sender.as_ref();
        sender.is_some_and(|sender| sender.send(frame).is_ok())
    }

    /// Cancels a call now, or when the same incarnation of the process is linked again.
    pub(super) fn cancel(&mut self, call: CallId) {
        let is_sent = self.send(&EntryFrame::Cancel { call });
        if !is_sent && self.pending_cancels.len() < MAX_PENDING_CANCELS {
            self.pending_cancels.push(call);
        }
    }

    /// Sends the queued cancellations.
    pub(super) fn send_pending_cancels(&mut self) {
        for call in std::mem::take(&mut self.pending_cancels) {
            self.cancel(call);
        }
    }
}

/// The known side processes. A record is removed once membership no longer knows the host and no call uses it, so the
/// table is bounded by the host list and the calls in progress.
#[derive(Default)]
pub(super) struct SideTable {
    sides: SlotMap<SideKey, SideRecord>,
    hosts: HashMap<HostName, SideKey>,
    next_generation: u64,
}

impl SideTable {
    /// Returns the key of a host's side process, creating its record on first use.
    pub(super) fn get_or_insert(&mut self, host: &HostName) -> SideKey {
        if let Some(key) = self.hosts.get(host) {
            return *key;
        }
        let key = self.sides.insert(SideRecord {
            host: host.clone(),
            sender: None,
            incarnation: None,
            generation: 0,
            was_tried: false,
            open_calls: 0,
            last_used: ClockTime::default(),
            is_closing: false,
            pending_cancels: Vec::new(),
        });
        self.hosts.insert(host.clone(), key);
        key
    }

    pub(super) fn find(&self, host: &HostName) -> Option<SideKey> {
        self.hosts.get(host).copied()
    }

    pub(super) fn get(&self, key: SideKey) -> Option<&SideRecord> {
        self.sides.get(key)
    }

    pub(super) fn get_mut(&mut self, key: SideKey) -> Option<&mut SideRecord> {
        self.sides.get_mut(key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (SideKey, &SideRecord)> {
        self.sides.iter()
    }

    /// Installs a new link and returns its generation.
    pub(super) fn open_link(
        &mut self,
        key: SideKey,
        incarnation: ProcessIncarnation,
        sender: LinkSender<EntryFrame>,
    ) -> Option<u64> {
        let record = self.sides.get_mut(key)?;
        self.next_generation += 1;
        if record.incarnation != Some(incarnation) {
            // The calls of the previous incarnation ended with it.
            record.pending_cancels.clear();
        }
        record.sender = Some(sender);
        record.incarnation = Some(incarnation);
        record.generation = self.next_generation;
        record.was_tried = true;
        record.is_closing = false;
        Some(record.generation)
    }

    /// Closes the link of a side process. Its later events are ignored.
    pub(super) fn close_link(&mut self, key: SideKey) {
        if let Some(record) = self.sides.get_mut(key) {
            self.next_generation += 1;
            record.generation = self.next_generation;
            record.sender = None;
            record.is_closing = false;
        }
    }

    pub(super) fn send(&self, key: SideKey, frame: &EntryFrame) -> bool {
        self.get(key).is_some_and(|record| record.send(frame))
    }

    /// Sends a frame to all linked side processes except one.
    pub(super) fn broadcast(&self, frame: &EntryFrame, except: Option<SideKey>) {
        for (key, record) in &self.sides {
            if Some(key) != except {
                // A side process without a link receives the current state when it is linked again.
                record.send(frame);
            }
        }
    }

    /// Returns the number of open links.
    pub(super) fn link_count(&self) -> usize {
        self.sides
            .values()
            .filter(|record| record.sender.is_some())
            .count()
    }

    /// Removes the records without calls or a link whose hosts `is_kept` rejects.
    pub(super) fn retain(&mut self, mut is_kept: impl FnMut(&HostName) -> bool) {
        let hosts = &mut self.hosts;
        self.sides.retain(|_, record| {
            let stays = record.open_calls > 0 || record.sender.is_some() || is_kept(&record.host);
            if !stays {
                hosts.remove(&record.host);
            }
            stays
        });
    }
}
