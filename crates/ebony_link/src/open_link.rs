//! Open links, and the sender and receiver that they split into.

use std::marker::PhantomData;
use std::time::Duration;

use bytes::Bytes;
use ebony_wire::{PeerIdentity, decode, encode};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tokio_tungstenite::tungstenite::Message;

use crate::error::{LinkError, Result};
use crate::options::LinkOptions;
use crate::stream::LinkSocket;

/// A link that completed its handshake.
pub struct OpenLink {
    pub(crate) peer: PeerIdentity,
    pub(crate) socket: LinkSocket,
    pub(crate) options: LinkOptions,
    /// Counts an accepted link towards [`LinkOptions::max_links`].
    pub(crate) permit: Option<OwnedSemaphorePermit>,
}

impl OpenLink {
    /// Returns the identity of the peer.
    pub fn peer(&self) -> &PeerIdentity {
        &self.peer
    }

    /// Splits the link into sender and receiver, and starts the task that sends queued frames.
    ///
    /// Must be called within a local task set, such as an actix arbiter.
    pub fn split<Out: Serialize, In: DeserializeOwned>(self) -> (LinkSender<Out>, LinkReceiver<In>) {
        let (queue, frames) = mpsc::channel(self.options.queue_frames);
        let (sink, stream) = self.socket.split();
        tokio::task::spawn_local(send_queued(sink, frames));
        let sender = LinkSender {
            queue,
            message: PhantomData,
        };
        let receiver = LinkReceiver {
            stream,
            silence_limit: self.options.silence_limit,
            _permit: self.permit,
            message: PhantomData,
        };
        (sender, receiver)
    }
}

/// Sends queued frames in order, and flushes whenever the queue is empty.
async fn send_queued(mut sink: SplitSink<LinkSocket, Message>, mut frames: mpsc::Receiver<Bytes>) {
    while let Some(first) = frames.recv().await {
        let mut next = Some(first);
        while let Some(frame) = next {
            if sink.feed(Message::Binary(frame)).await.is_err() {
                return;
            }
            next = frames.try_recv().ok();
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
    // An error means that the connection is already closed.
    let _ = sink.close().await;
}

/// The sending half of a link. Dropping all clones closes the link.
pub struct LinkSender<Out> {
    queue: mpsc::Sender<Bytes>,
    message: PhantomData<fn(Out)>,
}

impl<Out> Clone for LinkSender<Out> {
    fn clone(&self) -> Self {
        Self {
            queue: self.queue.clone(),
            message: PhantomData,
        }
    }
}

impl<Out: Serialize> LinkSender<Out> {
    /// Queues a message.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::QueueFull`], [`LinkError::Closed`] or [`LinkError::Wire`] if the message was not queued. It
    /// is not sent in that case.
    pub fn send(&self, message: &Out) -> Result<()> {
        let frame = Bytes::from(encode(message)?);
        self.queue.try_send(frame).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => LinkError::QueueFull,
            mpsc::error::TrySendError::Closed(_) => LinkError::Closed,
        })
    }

    /// Returns `true` once the connection to the peer is closed or lost.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// The receiving half of a link.
pub struct LinkReceiver<In> {
    stream: SplitStream<LinkSocket>,
    silence_limit: Duration,
    _permit: Option<OwnedSemaphorePermit>,
    message: PhantomData<fn() -> In>,
}

impl<In: DeserializeOwned> LinkReceiver<In> {
    /// Waits for the next message.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if the link is closed or has failed, nothing arrives within
    /// [`LinkOptions::silence_limit`], or a malformed frame arrives. The link must not be used any further.
    pub async fn next(&mut self) -> Result<In> {
        loop {
            let frame = tokio::time::timeout(self.silence_limit, self.stream.next())
                .await
                .map_err(|_| LinkError::TimedOut)?
                .ok_or(LinkError::Closed)?
                .map_err(Box::new)?;
            match frame {
                Message::Binary(bytes) => return Ok(decode(&bytes)?),
                Message::Close(_) => return Err(LinkError::Closed),
                _ => {}
            }
        }
    }
}

pub(crate) async fn send_one<T: Serialize>(socket: &mut LinkSocket, message: &T) -> Result<()> {
    let frame = Message::Binary(encode(message)?.into());
    socket
        .send(frame)
        .await
        .map_err(|error| LinkError::Socket(Box::new(error)))
}

pub(crate) async fn receive_one<T: DeserializeOwned>(socket: &mut LinkSocket) -> Result<T> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => Ok(decode(&bytes)?),
        Some(Ok(_)) | None => Err(LinkError::Closed),
        Some(Err(error)) => Err(LinkError::Socket(Box::new(error))),
    }
}
