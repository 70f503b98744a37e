//! The side processes that this entry knows, and the targets behind them.

use std::net::SocketAddr;

use ebony_link::LinkSender;
use ebony_types::{CallKind, DomainName, ProcessIncarnation, TargetName};
use ebony_wire::{EntryFrame, TargetKind, TargetReport};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Names a side process within this entry.
    pub struct SideKey;
}

/// A side process and its link.
pub(super) struct SideRecord {
    pub(super) address: SocketAddr,
    pub(super) sender: Option<LinkSender<EntryFrame>>,
    pub(super) incarnation: Option<ProcessIncarnation>,
    pub(super) generation: u64,
    pub(super) domain: Option<DomainName>,
    pub(super) targets: Vec<TargetReport>,
    pub(super) outstanding: u32,
    pub(super) is_draining: bool,
    pub(super) is_listed: bool,
    /// Whether a link was tried, with or without success.
    pub(super) was_dialed: bool,
}

/// The side processes that this entry knows.
#[derive(Default)]
pub struct SideDirectory {
    sides: SlotMap<SideKey, SideRecord>,
}

impl SideDirectory {
    /// Adds a side process unless its address is known.
    pub(super) fn add(&mut self, address: SocketAddr) -> Option<SideKey> {
        if let Some(record) = self.sides.values_mut().find(|record| record.address == address) {
            record.is_listed = true;
            return None;
        }
        let record = SideRecord {
            address,
            sender: None,
            incarnation: None,
            generation: 0,
            domain: None,
            targets: Vec::new(),
            outstanding: 0,
            is_draining: false,
            is_listed: true,
            was_dialed: false,
        };
        Some(self.sides.insert(record))
    }

    pub(super) fn get(&self, key: SideKey) -> Option<&SideRecord> {
        self.sides.get(key)
    }

    pub(super) fn get_mut(&mut self, key: SideKey) -> Option<&mut SideRecord> {
        self.sides.get_mut(key)
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (SideKey, &mut SideRecord)> {
        self.sides.iter_mut()
    }

    /// Returns the target with the fewest outstanding calls that serves the call.
    pub(super) fn choose(&self, kind: &CallKind, avoided: &[TargetName]) -> Option<(SideKey, TargetName)> {
        self.sides
            .iter()
            .filter(|(_, side)| side.sender.is_some() && !side.is_draining)
            .flat_map(|(key, side)| side.targets.iter().map(move |target| (key, side, target)))
            .filter(|(_, _, target)| serves(&target.kind, kind) && !avoided.contains(&target.target))
            .min_by_key(|(_, side, _)| side.outstanding)
            .map(|(key, _, target)| (key, target.target.clone()))
    }
}

fn serves(target: &TargetKind, call: &CallKind) -> bool {
    match (target, call) {
        (TargetKind::Engine { models }, CallKind::Model { model, .. }) => models.contains(model),
        (TargetKind::Service { service: served }, CallKind::Service { service, .. }) => served == service,
        _ => false,
    }
}
