//! HTTP/1.1 for the stand-ins: reading of requests and answers, and writing of answers.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub fn find<'h>(headers: &'h [(String, String)], name: &str) -> Option<&'h str> {
    let mut found = headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Returns a decoded parameter of the query.
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(key, _)| *key == name).map(|(_, value)| decode(value));
        values.next().unwrap_or_default()
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
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

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let target = words.nth(1).unwrap_or("");
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    } else if let Some(length) = find(&headers, "content-length") {
        body = vec![0; length.parse().unwrap_or(0)];
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request { target: target.to_owned(), headers, body }))
}

pub fn write_answer(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// What a caller saw of the answer to a request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head arrived.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer ended as HTTP says.
    pub is_whole: bool,
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Returns the number of complete events.
    pub fn events(&self) -> usize {
        self.body.windows(2).filter(|pair| pair == b"\n\n").count()
    }

    pub fn summary(&self) -> String {
        format!(
            "status={} whole={} events={} took_ms={}",
            self.status,
            self.is_whole,
            self.events(),
            self.took.as_millis()
        )
    }
}

/// Sends a request on a new connection and reads the answer for `limit` at most.
pub fn call(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> Answer {
    call_with_gap(address, head, body, limit, limit)
}

/// As [`call`], and abandons the answer after a pause of `gap` before any of its bytes.
pub fn call_with_gap(address: SocketAddr, head: &str, body: &[u8], limit: Duration, gap: Duration) -> Answer {
    let started = Instant::now();
    let mut answer = Answer::default();
    let end = started + limit;
    if let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        stream.set_nodelay(true).ok();
        let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
        bytes.extend_from_slice(body);
        if stream.write_all(&bytes).is_ok() {
            read_answer(stream, end, gap, &mut answer).ok();
        }
    }
    answer.took = started.elapsed();
    answer
}

/// Limits all reads together to a time, and each one to a pause.
struct Limited {
    stream: TcpStream,
    end: Instant,
    gap: Duration,
}

impl Read for Limited {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left.min(self.gap)))?;
        self.stream.read(buffer)
    }
}

fn read_answer(stream: TcpStream, end: Instant, gap: Duration, answer: &mut Answer) -> io::Result<()> {
    let mut reader = BufReader::new(Limited { stream, end, gap });
    let Some((first, headers)) = read_head(&mut reader)? else { return Ok(()) };
    answer.status = first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    answer.headers = headers;
    if answer.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(&mut reader)?;
            if chunk.is_empty() {
                break;
            }
            answer.body.extend(chunk);
        }
    } else if let Some(length) = answer.header("content-length") {
        let mut left: usize = length.parse().unwrap_or(0);
        let mut buffer = [0; 4096];
        while left > 0 {
            let most = left.min(buffer.len());
            let read = reader.read(&mut buffer[..most])?;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            answer.body.extend_from_slice(&buffer[..read]);
            left -= read;
        }
    } else {
        reader.read_to_end(&mut answer.body)?;
    }
    answer.is_whole = true;
    Ok(())
}
