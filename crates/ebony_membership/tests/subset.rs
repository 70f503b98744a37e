//! Guards against plans that change more links than necessary when a host is added or lost.

use std::collections::BTreeSet;
use std::fmt::Write;

use ebony_membership::{OfferName, SubsetCandidate, SubsetPlanner};
use ebony_types::{DomainName, HostName, ModelName};

/// Owns the data that a [`SubsetCandidate`] borrows.
struct FleetHost {
    host: HostName,
    domain: DomainName,
    offers: BTreeSet<OfferName>,
}

fn fleet_host(number: u32, domains: u32, models: &[u32]) -> FleetHost {
    let model =
        |model: &u32| OfferName::Model(ModelName::parse(&format!("model-{model}")).expect("a valid name"));
    FleetHost {
        host: HostName::parse(&format!("host-{number}")).expect("a valid name"),
        domain: DomainName::parse(&format!("domain-{}", number % domains)).expect("a valid name"),
        offers: models.iter().map(model).collect(),
    }
}

fn planner(number: u32) -> SubsetPlanner {
    SubsetPlanner::open(HostName::parse(&format!("entry-{number}")).expect("a valid name"))
}

fn plan(planner: &SubsetPlanner, fleet: &[FleetHost]) -> BTreeSet<HostName> {
    let candidates: Vec<SubsetCandidate<'_>> = fleet
        .iter()
        .map(|host| SubsetCandidate {
            host: &host.host,
            domain: &host.domain,
            offers: Some(&host.offers),
            weight: planner.weight(&host.host),
        })
        .collect();
    planner.plan(&candidates)
}

/// The loss of a host changes only the links to it, and it is replaced by at most one host for each of its models.
#[test]
fn a_lost_host_moves_a_bounded_number_of_links() {
    ebony_testkit::check_seeds(100, 1_024, |input| {
        let mut fleet = Vec::new();
        for number in 0..input.int_in_range(1..=60)? {
            let models = [input.int_in_range(0..=3)?, input.int_in_range(0..=3)?];
            fleet.push(fleet_host(number, 2, &models));
        }
        let planner = planner(input.int_in_range(1..=50)?);
        let before = plan(&planner, &fleet);
        let lost = fleet.swap_remove(input.choose_index(fleet.len())?);
        let after = plan(&planner, &fleet);
        let removed: Vec<&HostName> = before.difference(&after).collect();
        assert!(removed.iter().all(|host| **host == lost.host), "{removed:?}");
        assert!(after.difference(&before).count() <= lost.offers.len() * removed.len());
        Ok(())
    });
}

/// Small pools are linked in full. In larger ones the links are spread over the hosts, and the loss of a host changes
/// few of them. The last row is one model in one failure domain at the design scale.
#[test]
fn links_at_several_sizes() {
    let mut table =
        String::from("entries hosts domains | links/entry, least/host, most/host, moved by host-0\n");
    for (entries, hosts, domains) in [(3, 10, 3), (40, 100, 3), (390, 52, 1)] {
        let fleet: Vec<FleetHost> = (0..hosts)
            .map(|number| fleet_host(number, domains, &[1]))
            .collect();
        let planners: Vec<SubsetPlanner> = (0..entries).map(planner).collect();
        let plans: Vec<BTreeSet<HostName>> = planners.iter().map(|planner| plan(planner, &fleet)).collect();
        let per_entry = plans.iter().map(BTreeSet::len).sum::<usize>() / plans.len();
        let per_host = |host: &FleetHost| plans.iter().filter(|plan| plan.contains(&host.host)).count();
        let least = fleet.iter().map(per_host).min().unwrap();
        let most = fleet.iter().map(per_host).max().unwrap();
        let after = planners.iter().map(|planner| plan(planner, &fleet[1..]));
        let changes = plans
            .iter()
            .zip(after)
            .map(|(before, after)| before.symmetric_difference(&after).count());
        let moved: usize = changes.sum();
        writeln!(
            table,
            "{entries} {hosts} {domains} | {per_entry}, {least}, {most}, {moved}"
        )
        .unwrap();
    }
    insta::assert_snapshot!(table);
}
