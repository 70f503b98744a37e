//! Forwards the data of one connection.

use std::time::Duration;

use actix_web::web;
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use super::{DirectionMode, DirectionSettings, ProxySettings, ProxyState};

/// Maximum number of bytes per read.
const READ_BYTES: usize = 16 * 1024;

/// Maximum number of parts that are buffered for one direction while it is delayed or frozen: at most 1 MiB with
/// [`READ_BYTES`]. While the buffer is full, no more data is read from the sender.
const MAX_BUFFERED_PARTS: usize = 64;

/// Closes a connection in both directions.
struct ConnectionClosed;

/// The result of forwarding one direction; if it is `Ok`, the other direction continues.
type Result<T, E = ConnectionClosed> = std::result::Result<T, E>;

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

struct BufferedPart {
    due: Instant,
    bytes: Bytes,
}

/// Forwards a connection until both directions have ended, or until one fails or reaches `cut_after_bytes`.
pub(crate) async fn run(state: web::Data<ProxyState>, client: TcpStream) {
    state.stats.change(|stats| stats.accepted += 1);
    let upstream = state.settings.read(|settings| settings.upstream);
    let Ok(upstream) = TcpStream::connect(upstream).await else {
        state.stats.change(|stats| stats.unreachable += 1);
        return;
    };
    // Without this, small parts are delayed until earlier ones are acknowledged. A failure affects only the latency.
    client.set_nodelay(true).ok();
    upstream.set_nodelay(true).ok();
    let (client_reader, client_writer) = client.into_split();
    let (upstream_reader, upstream_writer) = upstream.into_split();
    let to_upstream = forward(&state, Direction::ToUpstream, client_reader, upstream_writer);
    let to_client = forward(&state, Direction::ToClient, upstream_reader, client_writer);
    // If one direction fails, `try_join!` drops the other one, which closes the connection.
    tokio::try_join!(to_upstream, to_client).ok();
}

async fn forward(
    state: &ProxyState,
    direction: Direction,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
) -> Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_PARTS);
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
    sender: mpsc::Sender<BufferedPart>,
) -> Result<()> {
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let length = reader.read(&mut buffer).await.map_err(|_| ConnectionClosed)?;
        if length == 0 {
            return Ok(());
        }
        let delay = state
            .settings
            .read(|settings| direction.settings(settings).delay_ms);
        let part = BufferedPart {
            due: Instant::now() + Duration::from_millis(delay),
            bytes: Bytes::copy_from_slice(&buffer[..length]),
        };
        if sender.send(part).await.is_err() {
            // The direction has been cut.
            return Ok(());
        }
    }
}

/// Writes the parts of one direction according to its settings.
struct PartWriter<'a> {
    state: &'a ProxyState,
    direction: Direction,
    writer: OwnedWriteHalf,
    receiver: mpsc::Receiver<BufferedPart>,
    forwarded: u64,
}

impl PartWriter<'_> {
    async fn run(mut self) -> Result<()> {
        while let Some(part) = self.next_part().await {
            self.write(&part.bytes).await?;
        }
        self.writer.shutdown().await.map_err(|_| ConnectionClosed)
    }

    /// Waits until the next part is due and the direction is not frozen. Returns `None` at the end of the input, or if
    /// the direction is cut.
    async fn next_part(&mut self) -> Option<BufferedPart> {
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
        written.map_err(|_| ConnectionClosed)?;
        self.forwarded += length;
        count_bytes(self.state, self.direction, length);
        if length == remaining {
            self.state.stats.change(|stats| stats.cut += 1);
            return Err(ConnectionClosed);
        }
        Ok(())
    }
}

fn count_bytes(state: &ProxyState, direction: Direction, bytes: u64) {
    state.stats.change(|stats| match direction {
        Direction::ToUpstream => stats.bytes_to_upstream += bytes,
        Direction::ToClient => stats.bytes_to_client += bytes,
    });
}
