//! `report burn`.

use std::io::Write;
use std::path::Path;

use ebony_burn::{BurnReport, BurnSnapshot, SloCatalog, render_html, render_json, render_text};
use serde::Deserialize;

use super::Session;
use crate::client::AdminRequest;
use crate::error::{ControlError, Result};

/// The counts of an entry and the objectives that they are measured against.
#[derive(Debug)]
#[derive(Deserialize)]
struct BurnAnswer {
    snapshot: BurnSnapshot,
    catalog: SloCatalog,
}

impl<W: Write> Session<W> {
    /// Reports the merged counts of all given entries. Fails if one of them gives no answer, because the report
    /// would be too low without its counts.
    pub(super) async fn burn(&mut self, html: Option<&Path>) -> Result<()> {
        let mut merged = BurnSnapshot::default();
        let mut catalog = SloCatalog::default();
        let request = AdminRequest::get("/v1/burn/snapshot");
        for entry in self.client.entries() {
            let answer = self.client.send_to(entry, &request);
            let malformed = |error| ControlError::Malformed(format!("{entry}: {error}"));
            let answer: BurnAnswer = serde_json::from_value(answer.await?).map_err(malformed)?;
            merged.merge(&answer.snapshot);
            merge_catalog(&mut catalog, answer.catalog);
        }
        let report = BurnReport::of(&merged, &catalog);
        if let Some(path) = html {
            std::fs::write(path, render_html(&report))?;
        }
        let text = if self.is_json {
            render_json(&report).map_err(|error| ControlError::Malformed(error.to_string()))?
        } else {
            render_text(&report)
        };
        Ok(writeln!(self.output, "{}", text.trim_end())?)
    }
}

/// Adds the objectives that only `other` has; the entry that reported it may belong to another deployment.
fn merge_catalog(catalog: &mut SloCatalog, other: SloCatalog) {
    for exception in other.exceptions {
        if !catalog.exceptions.iter().any(|known| known.key == exception.key) {
            catalog.exceptions.push(exception);
        }
    }
}
