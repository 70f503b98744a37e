//! Renders reports of one or several runs side by side as text, JSON and HTML.

mod html;
mod tables;

use ebony_burn::page::DataTable;

use crate::summary::ReplayReport;

pub use html::render_html;

/// The result of rendering.
pub type Result<T, E = serde_json::Error> = std::result::Result<T, E>;

/// Renders reports as text tables with one column per run.
///
/// ```
/// use ebony_trace::render_text;
///
/// assert!(render_text(&[]).contains("Stated outcomes"));
/// ```
pub fn render_text(reports: &[ReplayReport]) -> String {
    let tables = tables::all_tables(reports);
    let texts: Vec<String> = tables.iter().map(DataTable::text).collect();
    texts.join("\n")
}

/// Renders reports as a JSON array, which deserializes as `Vec<ReplayReport>`.
///
/// # Errors
///
/// Returns an error of `serde_json`. No report is known to cause one.
pub fn render_json(reports: &[ReplayReport]) -> Result<String> {
    serde_json::to_string_pretty(reports)
}
