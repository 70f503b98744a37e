//! A stream that hands out bytes only as far as the HTTP library needs them.
//!
//! The dispatcher of `actix-http` reads until the socket is empty or 128 KiB are buffered, and decodes all complete
//! requests and chunks in that buffer before it serves any of them, whether or not the answers before are taken. A
//! decoded request takes about 2 KB and a decoded chunk 32 bytes, however short they are, so that one buffer costs
//! megabytes. This stream returns at most one small piece in each pass of the dispatcher. It ends at the end of a head,
//! so that one request is decoded at a time, and nothing is returned while the answer before is not taken.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::connection::{ConnectionState, ReadDemand};

/// The most bytes of a head in one pass of the dispatcher, and the most bytes that are read ahead of an answer. The end of
/// a connection is noticed behind that many bytes.
const PIECE_BYTES: usize = 4 * 1024;

/// The stream of a connection with limits.
#[derive(Debug)]
pub struct GuardedStream {
    stream: TcpStream,
    pub(crate) state: Rc<ConnectionState>,
    /// Bytes that were read and not yet returned.
    held: Vec<u8>,
    /// The search for the end of the current head.
    search: HeadSearch,
    /// Whether a piece was read in the current pass of the dispatcher. The pass ends with the next attempt to read.
    has_read: bool,
    /// Whether a write was refused since the last complete flush.
    was_blocked: bool,
}

impl GuardedStream {
    pub(crate) fn open(stream: TcpStream, state: Rc<ConnectionState>) -> Self {
        Self {
            stream,
            state,
            held: Vec::new(),
            search: HeadSearch::default(),
            has_read: false,
            was_blocked: false,
        }
    }

    pub(crate) fn peer(&self) -> Option<std::net::SocketAddr> {
        self.stream.peer_addr().ok()
    }

    /// Sends small answers at once.
    pub(crate) fn set_nodelay(&self) {
        // Fails if the caller has closed the connection, which the next read notices.
        self.stream.set_nodelay(true).ok();
    }

    fn check_open(&self) -> io::Result<()> {
        match self.state.is_closed() {
            true => Err(io::ErrorKind::ConnectionAborted.into()),
            false => Ok(()),
        }
    }

    /// Reads a piece into `buffer`: held bytes first.
    fn poll_piece(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        max_bytes: usize,
    ) -> Poll<io::Result<()>> {
        let bytes = buffer.remaining().min(max_bytes);
        if self.held.is_empty() {
            let mut piece = ReadBuf::new(buffer.initialize_unfilled_to(bytes));
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut piece))?;
            let bytes = piece.filled().len();
            buffer.advance(bytes);
        } else {
            let rest = self.held.split_off(bytes.min(self.held.len()));
            buffer.put_slice(&self.held);
            self.held = rest;
        }
        Poll::Ready(Ok(()))
    }

    /// Reads a piece that ends with the head of a request at the latest.
    fn poll_head(&mut self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let start = buffer.filled().len();
        ready!(self.poll_piece(context, buffer, PIECE_BYTES))?;
        if let Some(end) = self.search.advance(&buffer.filled()[start..]) {
            let mut rest = buffer.filled()[start + end..].to_vec();
            buffer.set_filled(start + end);
            rest.append(&mut self.held);
            self.held = rest;
        }
        Poll::Ready(Ok(()))
    }

    /// Holds bytes that arrive ahead of an answer. Returns `true` at the end of the connection.
    fn poll_ahead(&mut self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let mut piece = [0; PIECE_BYTES];
        while self.held.len() < PIECE_BYTES {
            let mut piece = ReadBuf::new(&mut piece[self.held.len()..]);
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut piece))?;
            if piece.filled().is_empty() {
                return Poll::Ready(Ok(true));
            }
            self.held.extend_from_slice(piece.filled());
        }
        Poll::Ready(Ok(false))
    }

    /// Ends a pass of the dispatcher. The next one starts at once if there are more bytes.
    fn end_pass(&self, context: &mut Context<'_>) -> io::Result<()> {
        if !self.held.is_empty() || self.stream.poll_read_ready(context)?.is_ready() {
            context.waker().wake_by_ref();
        }
        Ok(())
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_open()?;
        self.state.register(context);
        if std::mem::take(&mut self.has_read) {
            self.end_pass(context)?;
            return Poll::Pending;
        }
        let start = buffer.filled().len();
        match self.state.demand() {
            // The state of the connection wakes the task when bytes are needed.
            ReadDemand::Nothing => return Poll::Pending,
            ReadDemand::Ahead => {
                let has_ended = self.poll_ahead(context)?;
                self.state.record_ahead(self.held.len() >= PIECE_BYTES);
                return match has_ended {
                    Poll::Ready(true) => Poll::Ready(Ok(())),
                    _ => Poll::Pending,
                };
            }
            ReadDemand::Head => ready!(self.poll_head(context, buffer))?,
            ReadDemand::Body(max_bytes) => ready!(self.poll_piece(context, buffer, max_bytes))?,
        }
        let bytes = buffer.filled().len() - start;
        self.has_read = bytes > 0;
        self.state.record_read(bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_open()?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if written.is_pending() {
            self.state.register(context);
            self.state.record_blocked();
            self.was_blocked = true;
        } else {
            self.state.record_written();
        }
        written
    }

    /// Called by the dispatcher when all bytes were written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if std::mem::take(&mut self.was_blocked) {
            // Bytes that were not read meanwhile may be read now.
            context.waker().wake_by_ref();
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Searches for the empty line that ends a head, also across pieces. Lines end with CR LF or LF.
#[derive(Clone, Copy, Debug, Default)]
struct HeadSearch {
    /// Whether the bytes so far end with a line feed, and whether a carriage return follows it.
    line_end: Option<bool>,
}

impl HeadSearch {
    /// Returns the length of the bytes up to the end of the head.
    fn advance(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate() {
            self.line_end = match (byte, self.line_end) {
                (b'\n', Some(_)) => {
                    self.line_end = None;
                    return Some(index + 1);
                }
                (b'\n', None) => Some(false),
                (b'\r', Some(false)) => Some(true),
                _ => None,
            };
        }
        None
    }
}
