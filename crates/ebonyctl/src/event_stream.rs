//! Parser for the subset of server-sent events that entries send.

use serde_json::Value;

/// The limit of buffered bytes. The status of a whole fleet is smaller.
const MAX_BUFFER_BYTES: usize = 8 * 1024 * 1024;

/// A server-sent event.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEvent {
    /// The event type.
    pub name: String,
    /// The JSON payload.
    pub data: Value,
}

/// Parses events from the chunks of a stream. Events beyond 8 MiB are dropped.
///
/// ```
/// use ebonyctl::event_stream::EventReader;
///
/// let mut reader = EventReader::default();
/// assert!(reader.push(b": comment\n\nevent: status\ndata: {\"newest\"").is_empty());
/// let events = reader.push(b": 7}\n\n");
/// assert_eq!(events[0].name, "status");
/// assert_eq!(events[0].data["newest"], 7);
/// ```
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: Vec<u8>,
}

impl EventReader {
    /// Adds a chunk and returns the events that are complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<ServerEvent> {
        if self.buffer.len() + bytes.len() > MAX_BUFFER_BYTES {
            self.buffer.clear();
        }
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            events.extend(parse_event(&String::from_utf8_lossy(&event)));
        }
        events
    }
}

fn parse_event(text: &str) -> Option<ServerEvent> {
    let field = |name: &str| text.lines().find_map(|line| line.strip_prefix(name));
    Some(ServerEvent {
        name: field("event: ")?.to_owned(),
        data: serde_json::from_str(field("data: ")?).ok()?,
    })
}
