//! Gauges of how load and speeds differ between the targets of each service.

use std::rc::Rc;
use std::time::Duration;

use ebony_dispatch::spread::FigureRange;
use ebony_types::ServiceName;
use tokio::time::sleep;

use crate::gateway::Gateway;

/// The interval at which the gauges are updated. It takes a pass over all targets for each service.
const UPDATE_INTERVAL: Duration = Duration::from_secs(2);

/// The most services with gauges.
const MAX_SERVICES: usize = 16;

/// Periodically updates the gauges of the configured services.
pub(crate) async fn watch_spread(gateway: Rc<Gateway>) {
    loop {
        sleep(UPDATE_INTERVAL).await;
        let Some(routing) = gateway.routing() else {
            continue;
        };
        let mut services: Vec<&ServiceName> = routing
            .routes()
            .flat_map(|route| route.services.iter().map(|share| &share.service))
            .collect();
        services.sort();
        services.dedup();
        gateway.metrics.target_spread.reset();
        for service in services.into_iter().take(MAX_SERVICES) {
            update(&gateway, service);
        }
    }
}

fn update(gateway: &Gateway, service: &ServiceName) {
    let options = gateway.placement_options();
    let now = gateway.clock.now();
    let Some(spread) = gateway.board.borrow().spread(service, &options, now) else {
        return;
    };
    let figures = [
        ("load", spread.load),
        ("speed", spread.speed),
        ("slowdown", spread.slowdown),
    ];
    for (name, range) in figures {
        set(gateway, service, name, range);
    }
    let mode = [service.as_str(), "even_load", "applies"];
    let gauge = gateway.metrics.target_spread.with_label_values(&mode);
    gauge.set(i64::from(spread.is_even));
}

fn set(gateway: &Gateway, service: &ServiceName, name: &str, range: FigureRange) {
    let values = [("least", range.least), ("mean", range.mean), ("most", range.most)];
    for (statistic, value) in values {
        let labels = [service.as_str(), name, statistic];
        let gauge = gateway.metrics.target_spread.with_label_values(&labels);
        // The conversion saturates.
        gauge.set((value * 100.0).round() as i64);
    }
}
