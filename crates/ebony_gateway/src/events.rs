//! Splits server-sent event streams into complete events.

use bytes::{Bytes, BytesMut};

/// The field with the number of an event.
const ID_FIELD: &[u8] = b"id:";

/// The field with a line of an event's data.
const DATA_FIELD: &[u8] = b"data";

/// One event, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event as the target sent it.
    pub bytes: Bytes,
    /// The number of the event, if it has one.
    pub number: Option<u64>,
}

impl StreamEvent {
    /// Appends the event's data to `output`: the values of its data fields, joined by line feeds.
    ///
    /// ```
    /// use bytes::{Bytes, BytesMut};
    /// use ebony_gateway::events::StreamEvent;
    ///
    /// let event = StreamEvent { bytes: Bytes::from_static(b"id: 3\ndata: a\r\ndata:b\n\n"), number: Some(3) };
    /// let mut data = BytesMut::new();
    /// event.append_data(&mut data);
    /// assert_eq!(data, "a\nb");
    /// ```
    pub fn append_data(&self, output: &mut BytesMut) {
        let lines = self.bytes.split(|byte| *byte == b'\n');
        let lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
        for (index, value) in lines.filter_map(data_value).enumerate() {
            if index > 0 {
                output.extend_from_slice(b"\n");
            }
            output.extend_from_slice(value);
        }
    }
}

/// Returns the value of a line that is a data field. One space after the colon is not part of the value.
fn data_value(line: &[u8]) -> Option<&[u8]> {
    match line.strip_prefix(DATA_FIELD)? {
        [] => Some(&[]),
        [b':', b' ', value @ ..] | [b':', value @ ..] => Some(value),
        _ => None,
    }
}

/// Splits a stream of bytes into events. The events and the rest together contain exactly the bytes that were pushed.
///
/// ```
/// use ebony_gateway::events::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(splitter.next_event().and_then(|event| event.number), Some(1));
/// assert_eq!(splitter.next_event(), None);
/// splitter.push(b"ta: b\n\n");
/// assert_eq!(splitter.next_event().and_then(|event| event.number), Some(2));
/// assert!(splitter.take_rest().is_empty());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// The offset in the buffer before which no blank line starts.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of bytes that were pushed and not taken.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether there are no such bytes.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns whether there is a complete event.
    pub fn has_event(&mut self) -> bool {
        self.find_end().is_some()
    }

    /// Takes the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let number = event_number(&bytes);
        Some(StreamEvent { bytes, number })
    }

    /// Takes all bytes that remain.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }

    /// Returns the end of the first blank line.
    fn find_end(&mut self) -> Option<usize> {
        for start in self.searched..self.buffer.len() {
            let rest = &self.buffer[start..];
            if rest.starts_with(b"\n\n") {
                self.searched = start;
                return Some(start + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                self.searched = start;
                return Some(start + 3);
            }
        }
        // The end of the buffer may contain the first two bytes of a blank line.
        self.searched = self.buffer.len().saturating_sub(2);
        None
    }
}

fn event_number(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
