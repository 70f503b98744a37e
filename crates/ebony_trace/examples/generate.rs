//! Regenerates the committed traces and prints their loads: `cargo run -p ebony_trace --example generate`.

use std::fs::File;
use std::io::BufWriter;
use std::path::Path;

use ebony_trace::prelude::*;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    for deployment in DeploymentKind::ALL {
        let generator = TraceGenerator::open(deployment);
        for scenario in TraceScenario::ALL {
            let document = generator.generate(scenario)?;
            let name = generator.file_name(scenario);
            let file = File::create(folder.join(&name))?;
            write_trace(&document, BufWriter::new(file))?;
            println!("{name}: {}", format_load(&TraceLoad::of(&document)));
        }
    }
    Ok(())
}

fn format_load(load: &TraceLoad) -> String {
    format!(
        "{} programs, {} model calls, {} tool calls, p95 path {:.1} s, end {:.1} s, slots {:.0}% (peak {:.0}%), \
         least waste {:.0}%",
        load.programs,
        load.model_calls,
        load.tool_calls,
        load.path_p95.as_secs_f64(),
        load.end.as_secs_f64(),
        load.slot_share * 100.0,
        load.peak_slot_share * 100.0,
        load.least_waste * 100.0,
    )
}
