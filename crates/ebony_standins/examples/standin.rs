//! Starts one stand-in, prints its addresses as one line of JSON, and stops on Ctrl-C.
//!
//! ```text
//! cargo run -p ebony_standins --example standin -- engine '{"models": ["kalo-70b"]}'
//! ```

use anyhow::Context;
use ebony_standins::StandinOptions;

#[actix_rt::main]
async fn main() -> anyhow::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let kind = arguments
        .next()
        .context("usage: standin KIND [OPTIONS-AS-JSON]")?;
    let json = arguments.next().unwrap_or_else(|| "{}".to_owned());
    let handle = StandinOptions::parse(&kind, &json)?.spawn().await?;
    println!("{}", serde_json::to_string(&handle.address())?);
    tokio::signal::ctrl_c().await?;
    handle.stop().await;
    Ok(())
}
