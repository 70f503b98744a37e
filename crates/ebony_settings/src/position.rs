//! Line and column positions in a settings file.

use std::fmt;

/// A position in a text, counted as in editors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TextPosition {
    /// The line, counted from 1.
    pub line: u32,
    /// The column, counted in characters from 1.
    pub column: u32,
}

impl TextPosition {
    /// The first character of a text.
    pub const START: Self = Self { line: 1, column: 1 };
}

impl fmt::Display for TextPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.line, self.column)
    }
}

/// Converts byte offsets of one text to positions.
#[derive(Debug)]
pub(crate) struct LineIndex<'t> {
    text: &'t str,
    /// Byte offsets at which lines start; the first is 0.
    starts: Vec<usize>,
}

impl<'t> LineIndex<'t> {
    /// Indexes the line starts of `text`.
    pub(crate) fn new(text: &'t str) -> Self {
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let starts = std::iter::once(0)
            .chain(breaks.map(|(offset, _)| offset + 1))
            .collect();
        Self { text, starts }
    }

    /// Returns the position of the character at a byte offset. Offsets beyond the end of the text yield its end.
    pub(crate) fn position(&self, offset: usize) -> TextPosition {
        let offset = offset.min(self.text.len());
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts.get(line - 1).copied().unwrap_or_default();
        let before = self.text.as_bytes().get(start..offset).unwrap_or_default();
        // Counts characters: continuation bytes of UTF-8 do not start one.
        let column = 1 + before.iter().filter(|byte| **byte & 0xC0 != 0x80).count();
        TextPosition {
            line: saturating_u32(line),
            column: saturating_u32(column),
        }
    }
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
