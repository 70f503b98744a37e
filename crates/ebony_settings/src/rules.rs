//! Rules between several values of a settings file.

use std::net::SocketAddr;

use crate::issue::{IssueKind, SettingsIssue};
use crate::reader::{CheckedFile, CheckedLeaf};
use crate::schema::{AddressUse, ValueKind};

/// A lease survives this many missed heartbeats.
const HEARTBEATS_PER_LEASE: u32 = 3;

/// A link survives this many missed pings.
const PINGS_PER_LINK: u32 = 2;

/// Returns the violations of all rules. Values that are wrong themselves take part in none.
pub(crate) fn check_all(file: &CheckedFile) -> Vec<SettingsIssue> {
    let mut issues = Vec::new();
    issues.extend(check_key_source(file));
    issues.extend(check_ratio(
        file,
        "links.heartbeat",
        "links.lost_after",
        PINGS_PER_LINK,
    ));
    issues.extend(check_ratio(
        file,
        "ownership.heartbeat",
        "ownership.lease",
        HEARTBEATS_PER_LEASE,
    ));
    check_listeners(file, &mut issues);
    check_remotes(file, &mut issues);
    check_loopback(file, &mut issues);
    check_target_names(file, &mut issues);
    check_target_kinds(file, &mut issues);
    issues
}

/// Returns the violations of the rules for the settings of a gateway.
pub(crate) fn check_gateway(file: &CheckedFile) -> Vec<SettingsIssue> {
    let mut issues = Vec::new();
    check_listeners(file, &mut issues);
    issues
}

/// One of the key's sources is set, and an inline key stays on its host.
fn check_key_source(file: &CheckedFile) -> Option<SettingsIssue> {
    let section = file.leaf("links.cluster_key").filter(|leaf| leaf.is_valid())?;
    let inline = file.leaf("links.cluster_key.inline");
    match (file.leaf("links.cluster_key.file"), inline) {
        (None, None) => Some(section.broken("expected `file` or `inline`")),
        (Some(_), Some(inline)) => Some(inline.broken("`file` is set as well; expected one of them")),
        (None, Some(inline)) => {
            let listen: SocketAddr = file.leaf("links.listen")?.decode()?;
            let is_local = listen.ip().is_loopback();
            (!is_local).then(|| inline.broken("an inline key needs a loopback address in `links.listen`"))
        }
        (Some(_), None) => None,
    }
}

/// The longer time is at least `factor` times the shorter one.
fn check_ratio(file: &CheckedFile, shorter: &str, longer: &str, factor: u32) -> Option<SettingsIssue> {
    let least = file.duration(shorter)?.checked_mul(factor)?;
    let leaf = file.leaf(longer)?;
    let is_enough = leaf.decode::<std::time::Duration>()? >= least;
    (!is_enough).then(|| {
        leaf.broken(format!(
            "expected at least {factor} times `{shorter}`, which is {least:?}"
        ))
    })
}

/// An address with the value that it was read from.
struct AddressLeaf<'f> {
    leaf: &'f CheckedLeaf,
    address: SocketAddr,
}

fn addresses(file: &CheckedFile, wanted: fn(AddressUse) -> bool) -> Vec<AddressLeaf<'_>> {
    let fitting = |leaf: &&CheckedLeaf| matches!(leaf.kind, ValueKind::Address(usage) if wanted(usage));
    let leaves = file.leaves.iter().filter(fitting);
    leaves
        .filter_map(|leaf| {
            Some(AddressLeaf {
                leaf,
                address: leaf.decode()?,
            })
        })
        .collect()
}

fn listeners(file: &CheckedFile) -> Vec<AddressLeaf<'_>> {
    addresses(file, |usage| matches!(usage, AddressUse::Listener { .. }))
}

fn remotes(file: &CheckedFile) -> Vec<AddressLeaf<'_>> {
    addresses(file, |usage| usage == AddressUse::Remote)
}

/// Returns `true` if both cannot be bound, because port and interface are the same.
fn overlap(left: SocketAddr, right: SocketAddr) -> bool {
    let is_same_interface =
        left.ip() == right.ip() || left.ip().is_unspecified() || right.ip().is_unspecified();
    left.port() != 0 && left.port() == right.port() && is_same_interface
}

/// No two listeners have the same address.
fn check_listeners(file: &CheckedFile, issues: &mut Vec<SettingsIssue>) {
    let listeners = listeners(file);
    for (number, later) in listeners.iter().enumerate() {
        let earlier = listeners[..number]
            .iter()
            .find(|earlier| overlap(earlier.address, later.address));
        if let Some(earlier) = earlier {
            let message = format!("{} clashes with `{}`", later.address, earlier.leaf.path);
            issues.push(later.leaf.broken(message));
        }
    }
}

/// Returns `true` if a connection to `remote` reaches the listener on this host.
fn reaches(remote: SocketAddr, listener: SocketAddr) -> bool {
    let is_own_interface = listener.ip().is_unspecified() && remote.ip().is_loopback();
    remote == listener || (remote.port() == listener.port() && is_own_interface)
}

/// No peer or target is this process, and none is listed twice.
fn check_remotes(file: &CheckedFile, issues: &mut Vec<SettingsIssue>) {
    let listeners = listeners(file);
    let remotes = remotes(file);
    for (number, remote) in remotes.iter().enumerate() {
        if let Some(own) = listeners.iter().find(|own| reaches(remote.address, own.address)) {
            let message = format!("{} is this process's own `{}`", remote.address, own.leaf.path);
            issues.push(remote.leaf.broken(message));
        }
        if let Some(first) = remotes[..number]
            .iter()
            .find(|first| first.address == remote.address)
        {
            let message = format!("{} is listed already as `{}`", remote.address, first.leaf.path);
            issues.push(remote.leaf.broken(message));
        }
    }
}

/// Entries either all run on one host, or reach each other over the network.
fn check_loopback(file: &CheckedFile, issues: &mut Vec<SettingsIssue>) {
    let listen = file
        .leaf("links.listen")
        .and_then(CheckedLeaf::decode::<SocketAddr>);
    let Some(listen) = listen else { return };
    for peer in remotes(file)
        .iter()
        .filter(|remote| remote.leaf.path.starts_with("peers["))
    {
        match (listen.ip().is_loopback(), peer.address.ip().is_loopback()) {
            (true, false) => {
                let message = "the peer is on another host, but `links.listen` is a loopback address";
                issues.push(peer.leaf.broken(message));
            }
            (false, true) => {
                let message =
                    "a loopback address reaches this host only, but `links.listen` is open to others";
                issues.push(peer.leaf.broken(message));
            }
            _ => {}
        }
    }
}

/// Returns the paths of the targets.
fn target_paths(file: &CheckedFile) -> impl Iterator<Item = &CheckedLeaf> {
    let is_target = |leaf: &&CheckedLeaf| leaf.path.starts_with("targets[") && leaf.path.ends_with(']');
    file.leaves
        .iter()
        .filter(is_target)
        .filter(|leaf| matches!(leaf.kind, ValueKind::Section(_)))
}

/// Targets have different names.
fn check_target_names(file: &CheckedFile, issues: &mut Vec<SettingsIssue>) {
    let names: Vec<_> = target_paths(file)
        .filter_map(|target| file.leaf(&format!("{}.name", target.path)))
        .filter(|leaf| leaf.text().is_some())
        .collect();
    for (number, leaf) in names.iter().enumerate() {
        if let Some(first) = names[..number].iter().find(|first| first.text() == leaf.text()) {
            issues.push(leaf.broken(format!("the name is taken by `{}`", first.path)));
        }
    }
}

/// An engine lists models, and a service names its service.
fn check_target_kinds(file: &CheckedFile, issues: &mut Vec<SettingsIssue>) {
    for target in target_paths(file) {
        let key = |name: &str| format!("{}.{name}", target.path);
        let (wanted, refused) = match file.leaf(&key("kind")).and_then(CheckedLeaf::text) {
            Some("engine") => ("models", "service"),
            Some("service") => ("service", "models"),
            _ => continue,
        };
        if file.leaf(&key(wanted)).is_none() {
            issues.push(SettingsIssue {
                position: target.position,
                path: key(wanted),
                kind: IssueKind::MissingKey {
                    expected: format!("the {wanted} that the target serves"),
                },
            });
        }
        if let Some(leaf) = file.leaf(&key(refused)) {
            issues.push(leaf.broken(format!("a target with `{wanted}` has no `{refused}`")));
        }
    }
}
