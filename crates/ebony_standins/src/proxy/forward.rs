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
    let writing = write_parts(state, direction, writer, receiver);
    let ((), ()) = tokio::try_join!(reading, writing)?;
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

async fn write_parts(
    state: &ProxyState,
    direction: Direction,
    mut writer: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<HeldPart>,
) -> Result<()> {
    let mut forwarded = 0;
    loop {
        let is_cut = |settings: &ProxySettings| direction.settings(settings).mode == DirectionMode::Cut;
        let part = tokio::select! {
            part = receiver.recv() => part,
            () = state.settings.wait_for(is_cut) => None,
        };
        if let Some(part) = &part {
            sleep_until(part.due).await;
        }
        let is_thawed = |settings: &ProxySettings| direction.settings(settings).mode != DirectionMode::Frozen;
        state.settings.wait_for(is_thawed).await;
        let settings = state.settings.read(|settings| direction.settings(settings));
        let part = part.filter(|_| settings.mode != DirectionMode::Cut);
        let Some(part) = part else {
            return writer.shutdown().await.map_err(|_| ConnectionEnd);
        };
        let allowed = settings
            .cut_after_bytes
            .map_or(u64::MAX, |limit| limit.saturating_sub(forwarded));
        let length = part
            .bytes
            .len()
            .min(usize::try_from(allowed).unwrap_or(usize::MAX));
        writer
            .write_all(&part.bytes[..length])
            .await
            .map_err(|_| ConnectionEnd)?;
        forwarded += length as u64;
        count(state, direction, length as u64);
        if settings.cut_after_bytes.is_some_and(|limit| forwarded >= limit) {
            state.seen.change(|seen| seen.cut += 1);
            return Err(ConnectionEnd);
        }
    }
}

fn count(state: &ProxyState, direction: Direction, bytes: u64) {
    state.seen.change(|seen| match direction {
        Direction::ToUpstream => seen.bytes_to_upstream += bytes,
        Direction::ToClient => seen.bytes_to_client += bytes,
    });
}
