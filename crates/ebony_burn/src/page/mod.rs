//! Self-contained HTML pages with inline SVG plots, for the reports of this workspace.
//!
//! Pages load no external resources, follow the reader's light or dark colour scheme, and have a title, a description
//! and a table or list with the same information for every plot.

pub mod line_plot;
pub mod scale;

use maud::{DOCTYPE, Markup, PreEscaped, html};

pub use line_plot::{LinePlot, PlotGuide, PlotPoint, PlotSeries};
pub use scale::{AxisScale, AxisTick, PlotAxis};

const STYLE: &str = include_str!("page.css");

/// Forbids all external resources.
const CONTENT_SECURITY_POLICY: &str = "default-src 'none'; style-src 'unsafe-inline'";

/// The title and summary of a page.
#[derive(Clone, Debug)]
pub struct PageFrame<'a> {
    /// The title of the document and the first heading.
    pub title: &'a str,
    /// One sentence below the heading.
    pub summary: &'a str,
}

/// Renders a complete HTML document.
///
/// ```
/// use ebony_burn::page::{PageFrame, render_page};
/// use maud::html;
///
/// let frame = PageFrame { title: "Burn & budget", summary: "No alert." };
/// let page = render_page(&frame, html! { p { "<content>" } });
/// assert!(page.starts_with("<!DOCTYPE html>"));
/// assert!(page.contains("<h1>Burn &amp; budget</h1>"));
/// assert!(page.contains("&lt;content&gt;"));
/// ```
pub fn render_page(frame: &PageFrame<'_>, content: Markup) -> String {
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta http-equiv="Content-Security-Policy" content=(CONTENT_SECURITY_POLICY);
                meta name="viewport" content="width=device-width, initial-scale=1";
                meta name="color-scheme" content="light dark";
                title { (frame.title) }
                style { (PreEscaped(STYLE)) }
            }
            body {
                header {
                    h1 { (frame.title) }
                    p { (frame.summary) }
                }
                main { (content) }
            }
        }
    };
    page.into_string()
}

/// A table with a caption. The first cell of each row is the row heading.
#[derive(Clone, Debug, Default)]
pub struct DataTable {
    /// The caption, which is also the accessible name.
    pub caption: String,
    /// The headings of the columns.
    pub columns: Vec<String>,
    /// The rows.
    pub rows: Vec<Vec<String>>,
}

impl DataTable {
    /// Renders the table as HTML, in a region that scrolls horizontally on narrow screens.
    pub fn markup(&self) -> Markup {
        html! {
            div.scroll tabindex="0" role="region" aria-label=(self.caption) {
                table {
                    caption { (self.caption) }
                    thead { tr { @for column in &self.columns { th scope="col" { (column) } } } }
                    tbody { @for row in &self.rows { (row_markup(row)) } }
                }
            }
        }
    }

    /// Renders the table as text, in the form of a Markdown table.
    pub fn text(&self) -> String {
        let mut table = comfy_table::Table::new();
        table.load_style(comfy_table::presets::ASCII_MARKDOWN);
        table.set_content_arrangement(comfy_table::ContentArrangement::Disabled);
        table.set_header(&self.columns);
        table.add_rows(&self.rows);
        let lines = table.to_string();
        let lines: Vec<&str> = lines.lines().map(str::trim_end).collect();
        format!("{}\n{}\n", self.caption, lines.join("\n"))
    }
}

fn row_markup(row: &[String]) -> Markup {
    html! {
        tr {
            @for (index, cell) in row.iter().enumerate() {
                @if index == 0 { th scope="row" { (cell) } } @else { td { (cell) } }
            }
        }
    }
}
