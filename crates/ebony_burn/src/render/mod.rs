//! The report as text, JSON and HTML.

mod html;
mod text;

use crate::report::BurnReport;

pub use html::render_html;
pub use text::render_text;

/// The result of rendering.
pub type Result<T, E = serde_json::Error> = std::result::Result<T, E>;

/// Renders the report as JSON.
///
/// # Errors
///
/// Returns an error if `serde_json` fails, which is not expected for this type.
pub fn render_json(report: &BurnReport) -> Result<String> {
    serde_json::to_string_pretty(report)
}
