//! Measures the time of a choice among 100 targets, without and with even load:
//! `cargo run --release -p ebony_dispatch --example decision_cost`.

use std::time::{Duration, Instant};

use ebony_dispatch::{
    DispatchOptions, EvenLoad, PlacementRequest, PromptPart, TargetBoard, TargetPhase, TargetRecord,
    VersionRule, place,
};
use ebony_types::{ClockTime, DomainName, ServiceName, SoftwareVersion, TargetName};

const TARGETS: usize = 100;
const CHOICES: u32 = 20_000;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let service = ServiceName::parse("tools")?;
    let domain = DomainName::parse("a")?;
    let mut board = TargetBoard::open("gateway-1");
    for number in 0..TARGETS {
        board.apply(TargetRecord {
            name: TargetName::parse(&format!("tool-{number}"))?,
            service: service.clone(),
            address: ([10, 0, 0, number as u8], 80).into(),
            domain: domain.clone(),
            version: SoftwareVersion::parse("v1").expect("a version"),
            slots: 6,
            phase: TargetPhase::Ready,
            born: 1,
        });
    }
    let turn: Vec<PromptPart> = (0..6).map(|part| PromptPart { part, tokens: 400 }).collect();
    for (kind, prompt) in [("plain call", &[][..]), ("turn", &turn[..])] {
        for even_load in [EvenLoad::Never, EvenLoad::Always] {
            let options = DispatchOptions {
                even_load,
                ..DispatchOptions::default()
            };
            let start = Instant::now();
            let mut now = ClockTime::from_millis(1_000);
            for _ in 0..CHOICES {
                now = now + Duration::from_micros(100);
                let request = PlacementRequest {
                    service: &service,
                    domain: &domain,
                    affinity: "program-1",
                    is_sticky: false,
                    prompt,
                    tried: &[],
                    max_connections: 30,
                    max_permit_wait: None,
                    versions: VersionRule::Any,
                };
                std::hint::black_box(place(&board, &request, &options, now));
            }
            println!("{kind}, {even_load:?}: {:?} a choice", start.elapsed() / CHOICES);
        }
    }
    Ok(())
}
