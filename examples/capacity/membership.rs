//! Measures target membership: planning the links of an entry, and updates of the target registry.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use ebony_membership::{HostHint, OfferName, SubsetCandidate, SubsetPlanner, TargetEvent, TargetRegistry};
use ebony_types::{ClockTime, DomainName, HostName, ModelName};

use crate::report::CapacityReport;
use crate::sample::{cpu_micros, repeat_measurement, single_sample};

/// Hosts that run side processes.
const HOST_COUNTS: [usize; 4] = [10, 100, 1_000, 12_000];

/// Models and failure domains at the scale that the system is designed for.
const MODEL_COUNT: usize = 33;
const DOMAIN_COUNT: usize = 7;

fn host(number: usize) -> HostName {
    HostName::parse(&format!("side-{number:05}")).expect("the name is visible")
}

fn domain(number: usize) -> DomainName {
    DomainName::parse(&format!("domain-{}", number % DOMAIN_COUNT)).expect("the name is visible")
}

fn offers(number: usize) -> BTreeSet<OfferName> {
    let model = format!("model-{:02}", number / DOMAIN_COUNT % MODEL_COUNT);
    let model = ModelName::parse(&model).expect("the name is visible");
    BTreeSet::from([OfferName::Model(model)])
}

fn hints(size: usize) -> Vec<HostHint> {
    let hint = |number| HostHint {
        host: host(number),
        address: SocketAddr::from(([127, 0, 0, 1], 1_024 + number as u16)),
        domain: domain(number),
        is_leaving: false,
    };
    (0..size).map(hint).collect()
}

pub(crate) fn measure(report: &mut CapacityReport) {
    measure_subset(report);
    measure_registry(report);
}

fn measure_subset(report: &mut CapacityReport) {
    let (mut times, mut links) = (Vec::new(), Vec::new());
    let planner = SubsetPlanner::open(HostName::parse("entry-1").expect("the name is visible"));
    for size in HOST_COUNTS {
        let hosts: Vec<_> = (0..size)
            .map(|number| (host(number), domain(number), offers(number)))
            .collect();
        let candidates: Vec<_> = hosts
            .iter()
            .map(|(host, domain, offers)| SubsetCandidate {
                host,
                domain,
                offers: Some(offers),
                weight: planner.weight(host),
            })
            .collect();
        let mut count = 0;
        times.push(repeat_measurement(size, || {
            cpu_micros(|| count = planner.plan(&candidates).len())
        }));
        links.push(single_sample(size, count as f64));
    }
    report.add(
        "membership: planning the links of an entry",
        ("host", "µs"),
        times,
    );
    report.add(
        "membership: links of an entry with 33 models",
        ("host", "links"),
        links,
    );
}

fn measure_registry(report: &mut CapacityReport) {
    let (mut lists, mut ticks) = (Vec::new(), Vec::new());
    for size in HOST_COUNTS {
        let name = HostName::parse("entry-1").expect("the name is visible");
        let mut registry = TargetRegistry::open(name, 1);
        let mut now = 1_000;
        let mut list = |registry: &mut TargetRegistry| {
            let hints = hints(size);
            now += 250;
            cpu_micros(|| registry.apply(TargetEvent::HostsListed(hints), ClockTime::from_millis(now)))
        };
        list(&mut registry);
        lists.push(repeat_measurement(size, || list(&mut registry)));
        ticks.push(repeat_measurement(size, || {
            now += 250;
            cpu_micros(|| registry.apply(TargetEvent::Tick, ClockTime::from_millis(now)))
        }));
    }
    report.add("membership: taking an unchanged host list", ("host", "µs"), lists);
    report.add("membership: one tick", ("host", "µs"), ticks);
}
