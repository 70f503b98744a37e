//! Forwards the bytes of one connection.

use std::time::Duration;

use actix_web::web;
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use super::{DirectionMode, DirectionSettings, ProxySettings, ProxyState};

/// Bytes that are read at once.
const READ_BYTES: usize = 16 * 1024;

/// Parts that are held for one direction while they are delayed or frozen. With [`READ_BYTES`], at most 1 MiB; the
/// sender waits then.
const MAX_HELD_PARTS: usize = 64;

/// Says that a connection ends in both directions.
struct ConnectionEnd;

/// The result of forwarding one direction; without an error, the other direction goes on.
type Result<T, E = ConnectionEnd> = std::result::Result<T, E>;

#[derive(Clone, Copy)]
enum Direction {
    ToUpstream,
    ToClient,
}

impl Direction {
    fn settings(self, settings: &ProxySettings) -> DirectionSettings {
        match self {
            Self::ToUpstream => settings.to_upstream,
            Self::ToClient => settings.to_client,
        }
    }
}

struct HeldPart {
    due: Instant,
    bytes: Bytes,
}

/// Forwards a connection until both directions end, or one fails or is cut.
pub(crate) async fn run(state: web::Data<ProxyState>, client: TcpStream) {
    state.seen.change(|seen| seen.accepted += 1);
    let upstream = state.settings.read(|settings| settings.upstream);
    let Ok(upstream) = TcpStream::connect(upstream).await else {
        state.seen.change(|seen| seen.unreachable += 1);
        return;
    };
    // Without this, small parts wait for acknowledgements. A failure concerns only their time.
    client.set_nodelay(true).ok();
    upstream.set_nodelay(true).ok();
    let (client_reader, client_writer) = client.into_split();
    let (upstream_reader, upstream_writer) = upstream.into_split();
    let to_upstream = forward(&state, Direction::ToUpstream, client_reader, upstream_writer);
    let to_client = forward(&state, Direction::ToClient, upstream_reader, client_writer);
    // An error ends both directions by dropping the other one.
    tokio::try_join!(to_upstream, to_client).ok();
}

async fn forward(
    state: &ProxyState,
    direction: Direction,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
) -> Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_HELD_PARTS);
    let reading = read_parts(state, direction, reader, sender);
    let part_writer = PartWriter {
        state,
        direction,
        writer,
        receiver,
        forwarded: 0,
    };
    let ((), ()) = tokio::try_join!(reading, part_writer.run())?;
    Ok(())
}

async fn read_parts(
    state: &ProxyState,
    direction: Direction,
    mut reader: OwnedReadHalf,
    sender: mpsc::Sender<HeldPart>,
) -> Result<()> {
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let length = reader.read(&mut buffer).await.map_err(|_| ConnectionEnd)?;
        if length == 0 {
            return Ok(());
        }
        let delay = state
            .settings
            .read(|settings| direction.settings(settings).delay_ms);
        let part = HeldPart {
            due: Instant::now() + Duration::from_millis(delay),
            bytes: Bytes::copy_from_slice(&buffer[..length]),
        };
        if sender.send(part).await.is_err() {
            // The direction was cut.
            return Ok(());
        }
    }
}

/// Writes the parts of one direction as its settings ask.
struct PartWriter<'a> {
    state: &'a ProxyState,
    direction: Direction,
    writer: OwnedWriteHalf,
    receiver: mpsc::Receiver<HeldPart>,
    forwarded: u64,
}

impl PartWriter<'_> {
    async fn run(mut self) -> Result<()> {
        while let Some(part) = self.next_part().await {
            self.write(&part.bytes).await?;
        }
        self.writer.shutdown().await.map_err(|_| ConnectionEnd)
    }

    /// Returns the next part when it is due and not frozen; `None` at the end of the input, or when it is cut.
    async fn next_part(&mut self) -> Option<HeldPart> {
        let direction = self.direction;
        let mode = move |settings: &ProxySettings| direction.settings(settings).mode;
        let part = tokio::select! {
            part = self.receiver.recv() => part,
            () = self.state.settings.wait_for(|settings| mode(settings) == DirectionMode::Cut) => None,
        };
        if let Some(part) = &part {
            sleep_until(part.due).await;
        }
        self.state
            .settings
            .wait_for(|settings| mode(settings) != DirectionMode::Frozen)
            .await;
        let is_cut = self
            .state
            .settings
            .read(|settings| mode(settings) == DirectionMode::Cut);
        part.filter(|_| !is_cut)
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<()> {
        let settings = self
            .state
            .settings
            .read(|settings| self.direction.settings(settings));
        let remaining = settings
            .cut_after_bytes
            .map_or(u64::MAX, |limit| limit.saturating_sub(self.forwarded));
        let length = (bytes.len() as u64).min(remaining);
        let written = self.writer.write_all(&bytes[..length as usize]).await;
        written.map_err(|_| ConnectionEnd)?;
        self.forwarded += length;
        count(self.state, self.direction, length);
        if length == remaining {
            self.state.seen.change(|seen| seen.cut += 1);
            return Err(ConnectionEnd);
        }
        Ok(())
    }
}

fn count(state: &ProxyState, direction: Direction, bytes: u64) {
    state.seen.change(|seen| match direction {
        Direction::ToUpstream => seen.bytes_to_upstream += bytes,
        Direction::ToClient => seen.bytes_to_client += bytes,
    });
}
