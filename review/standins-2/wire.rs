//! JSON, base64 and HTTP/1.1 for the stand-ins, with the standard library only.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Table(entries) => entries
                .iter()
                .find(|(name, _)| name == key)
                .map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut parser = Parser { bytes, at: 0 };
        parser.value()
    }
}

struct Parser<'b> {
    bytes: &'b [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut entries = Vec::new();
                if self.eat(b'}').is_some() {
                    return Some(Json::Table(entries));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    self.eat(b':')?;
                    entries.push((key, self.value()?));
                    if self.eat(b',').is_none() {
                        self.eat(b'}')?;
                        return Some(Json::Table(entries));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.eat(b']').is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.eat(b',').is_none() {
                        self.eat(b']')?;
                        return Some(Json::List(list));
                    }
                }
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
                {
                    self.at += 1;
                }
                std::str::from_utf8(&self.bytes[start..self.at])
                    .ok()?
                    .parse()
                    .ok()
                    .map(Json::Number)
            }
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn string(&mut self) -> Option<String> {
        self.eat(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            self.at += 4;
                            let letter = char::from_u32(code).unwrap_or('?');
                            text.extend_from_slice(letter.to_string().as_bytes());
                        }
                        other => text.push(other),
                    }
                }
                byte => text.push(byte),
            }
        }
    }
}

/// Quotes a text as JSON.
pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            letter if (letter as u32) < 32 => out.push_str(&format!("\\u{:04x}", letter as u32)),
            letter => out.push(letter),
        }
    }
    out.push('"');
    out
}

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= part.len() {
                out.push(LETTERS[(word >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| {
                text.get(at + 1..at + 3)
                    .and_then(|digits| u8::from_str_radix(digits, 16).ok())
            })
            .flatten();
        match code {
            Some(code) => {
                out.push(code);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// The head and the body of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its head announced.
    pub is_whole: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// A connection with a read buffer.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, limit).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16 * 1024];
        let bytes = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..bytes]);
        Ok(bytes)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads a head. `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&head).into_owned();
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
                return Ok(Some(Message {
                    first,
                    fields: fields.collect(),
                    ..Message::default()
                }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, bytes: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < bytes {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..bytes).collect()))
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&line[..end]).into_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads the body that follows a head. The body of an answer without a length ends with its connection.
    pub fn body(&mut self, message: &mut Message, is_answer: bool) -> io::Result<()> {
        if message.field("transfer-encoding").is_some() {
            loop {
                let Some(line) = self.line()? else { return Ok(()) };
                let size = line.split(';').next().unwrap_or("").trim().to_owned();
                let Ok(size) = usize::from_str_radix(&size, 16) else {
                    return Ok(());
                };
                let Some(piece) = self.take(size + 2)? else {
                    return Ok(());
                };
                if size == 0 {
                    message.is_whole = true;
                    return Ok(());
                }
                message.body.extend_from_slice(&piece[..size]);
            }
        }
        if let Some(length) = message
            .field("content-length")
            .and_then(|text| text.parse::<usize>().ok())
        {
            if let Some(body) = self.take(length)? {
                message.body = body;
                message.is_whole = true;
            }
            return Ok(());
        }
        if !is_answer {
            message.is_whole = true;
            return Ok(());
        }
        while self.fill()? > 0 {}
        message.body = std::mem::take(&mut self.buffer);
        message.is_whole = true;
        Ok(())
    }

    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        self.body(&mut message, false)?;
        Ok(message.is_whole.then_some(message))
    }

    /// Sends a request and reads its answer until a limit.
    pub fn exchange(&mut self, request: &[u8], limit: Duration) -> io::Result<Option<Message>> {
        let start = Instant::now();
        self.stream.set_write_timeout(Some(limit))?;
        self.stream.set_read_timeout(Some(limit))?;
        self.write(request)?;
        let Some(mut answer) = self.head()? else {
            return Ok(None);
        };
        let left = limit
            .saturating_sub(start.elapsed())
            .max(Duration::from_millis(1));
        self.stream.set_read_timeout(Some(left))?;
        self.body(&mut answer, true)?;
        Ok(Some(answer))
    }
}
