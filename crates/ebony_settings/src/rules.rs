//! Rules that involve several values of a settings file.

use std::net::SocketAddr;

use crate::issue::{IssueKind, SettingsIssue};
use crate::reader::{CheckedFile, CheckedValue};
use crate::schema::{AddressUse, ValueKind};

/// A lease must outlast this many missed heartbeats.
const MIN_HEARTBEATS_PER_LEASE: u32 = 3;

/// A link must outlast this many missed pings.
const MIN_PINGS_BEFORE_LOSS: u32 = 2;

/// Returns the violations of all rules. Values with errors of their own are skipped.
pub(crate) fn check_all(file: &CheckedFile) -> Vec<SettingsIssue> {
    let mut issues = Vec::new();
    issues.extend(check_key_source(file));
    issues.extend(check_ratio(
        file,
        "links.heartbeat",
        "links.lost_after",
        MIN_PINGS_BEFORE_LOSS,
    ));
    issues.extend(check_ratio(
        file,
        "ownership.heartbeat",
        "ownership.lease",
        MIN_HEARTBEATS_PER_LEASE,
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

/// Reports a cluster key with no source or two sources, and an inline key while `links.listen` is open to other hosts.
fn check_key_source(file: &CheckedFile) -> Option<SettingsIssue> {
    let section = file.value("links.cluster_key").filter(|value| value.is_valid())?;
    let inline = file.value("links.cluster_key.inline");
    match (file.value("links.cluster_key.file"), inline) {
        (None, None) => Some(section.violation("expected `file` or `inline`")),
        (Some(_), Some(inline)) => Some(inline.violation("`file` is set as well; expected one of them")),
        (None, Some(inline)) => {
            let listen: SocketAddr = file.value("links.listen")?.decode()?;
            let is_local = listen.ip().is_loopback();
            (!is_local).then(|| inline.violation("an inline key needs a loopback address in `links.listen`"))
        }
        (Some(_), None) => None,
    }
}

/// Reports a longer time that is less than `factor` times the shorter one.
fn check_ratio(file: &CheckedFile, shorter: &str, longer: &str, factor: u32) -> Option<SettingsIssue> {
    let least = file.duration(shorter)?.checked_mul(factor)?;
    let value = file.value(longer)?;
    let is_enough = value.decode::<std::time::Duration>()? >= least;
    (!is_enough).then(|| {
        value.violation(format!(
            "expected at least {factor} times `{shorter}`, which is {least:?}"
        ))
    })
}

/// An address and the checked value that holds it.
struct ListedAddress<'f> {
    value: &'f CheckedValue,
    address: SocketAddr,
}

fn addresses(file: &CheckedFile, wanted: fn(AddressUse) -> bool) -> Vec<ListedAddress<'_>> {
    let fitting = |value: &&CheckedValue| matches!(value.kind, ValueKind::Address(usage) if wanted(usage));
    let values = file.values.iter().filter(fitting);
    values
        .filter_map(|value| {
            Some(ListedAddress {
                value,
                address: value.decode()?,
            })
        })
        .collect()
}

fn listeners(file: &CheckedFile) -> Vec<ListedAddress<'_>> {
    addresses(file, |usage| matches!(usage, AddressUse::Listener { .. }))
}

fn remotes(file: &CheckedFile) -> Vec<ListedAddress<'_>> {
    addresses(file, |usage| usage == AddressUse::Remote)
}

/// Returns `true` if a process cannot listen on both addresses, because they share the port and an interface.
fn overlap(left: SocketAddr, right: SocketAddr) -> bool {
    let is_same_interface =
        left.ip() == right.ip() || left.ip().is_unspecified() || right.ip().is_unspecified();
    left.port() != 0 && left.port() == right.port() && is_same_interface
}

/// Reports listeners whose addresses overlap.
fn check_listeners(file: &CheckedFile, issues: &mut Vec<SettingsIssue>) {
    let listeners = listeners(file);
    for (number, later) in listeners.iter().enumerate() {
        let earlier = listeners[..number]
            .iter()
            .find(|earlier| overlap(earlier.address, later.address));
        if let Some(earlier) = earlier {
            let message = format!("{} clashes with `{}`", later.address, earlier.value.path);
            issues.push(later.value.violation(message));
        }
    }
}

/// Returns `true` if a connection to `remote` reaches the listener on this host.
fn reaches(remote: SocketAddr, listener: SocketAddr) -> bool {
    let is_own_interface = listener.ip().is_unspecified() && remote.ip().is_loopback();
    remote == listener || (remote.port() == listener.port() && is_own_interface)
}

/// Reports peers and targets that are this process itself or are listed twice.
fn check_remotes(file: &CheckedFile, issues: &mut Vec<SettingsIssue>) {
    let listeners = listeners(file);
    let remotes = remotes(file);
    for (number, remote) in remotes.iter().enumerate() {
        if let Some(own) = listeners.iter().find(|own| reaches(remote.address, own.address)) {
            let message = format!("{} is this process's own `{}`", remote.address, own.value.path);
            issues.push(remote.value.violation(message));
        }
        if let Some(first) = remotes[..number]
            .iter()
            .find(|first| first.address == remote.address)
        {
            let message = format!("{} is listed already as `{}`", remote.address, first.value.path);
            issues.push(remote.value.violation(message));
        }
    }
}

/// Reports peers on another host while `links.listen` is a loopback address, and the reverse. Entries either all run on
/// one host or reach each other over the network.
fn check_loopback(file: &CheckedFile, issues: &mut Vec<SettingsIssue>) {
    let listen = file
        .value("links.listen")
        .and_then(CheckedValue::decode::<SocketAddr>);
    let Some(listen) = listen else { return };
    for peer in remotes(file)
        .iter()
        .filter(|remote| remote.value.path.starts_with("peers["))
    {
        match (listen.ip().is_loopback(), peer.address.ip().is_loopback()) {
            (true, false) => {
                let message = "the peer is on another host, but `links.listen` is a loopback address";
                issues.push(peer.value.violation(message));
            }
            (false, true) => {
                let message =
                    "a loopback address reaches this host only, but `links.listen` is open to others";
                issues.push(peer.value.violation(message));
            }
            _ => {}
        }
    }
}

/// Returns the sections of the targets.
fn target_sections(file: &CheckedFile) -> impl Iterator<Item = &CheckedValue> {
    let is_target = |value: &&CheckedValue| value.path.starts_with("targets[") && value.path.ends_with(']');
    file.values
        .iter()
        .filter(is_target)
        .filter(|value| matches!(value.kind, ValueKind::Section(_)))
}

/// Reports targets with the same name.
fn check_target_names(file: &CheckedFile, issues: &mut Vec<SettingsIssue>) {
    let names: Vec<_> = target_sections(file)
        .filter_map(|target| file.value(&format!("{}.name", target.path)))
        .filter(|value| value.text().is_some())
        .collect();
    for (number, value) in names.iter().enumerate() {
        if let Some(first) = names[..number].iter().find(|first| first.text() == value.text()) {
            issues.push(value.violation(format!("the name is taken by `{}`", first.path)));
        }
    }
}

/// Reports engines without models, services without a service name, and targets that have the other one's key.
fn check_target_kinds(file: &CheckedFile, issues: &mut Vec<SettingsIssue>) {
    for target in target_sections(file) {
        let key = |name: &str| format!("{}.{name}", target.path);
        let (wanted, refused) = match file.value(&key("kind")).and_then(CheckedValue::text) {
            Some("engine") => ("models", "service"),
            Some("service") => ("service", "models"),
            _ => continue,
        };
        if file.value(&key(wanted)).is_none() {
            issues.push(SettingsIssue {
                position: target.position,
                path: key(wanted),
                kind: IssueKind::MissingKey {
                    expected: format!("the {wanted} that the target serves"),
                },
            });
        }
        if let Some(value) = file.value(&key(refused)) {
            issues.push(value.violation(format!("a target with `{wanted}` has no `{refused}`")));
        }
    }
}
