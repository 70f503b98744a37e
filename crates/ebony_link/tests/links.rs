//! Guards against links from peers without the cluster key, and against lost or reordered messages.

use std::net::SocketAddr;

use ebony_link::{LinkError, LinkIdentity, LinkListener, LinkOptions, dial};
use ebony_types::ProcessIncarnation;
use ebony_wire::{ClusterKey, EntryFrame, LinkRole, SideFrame};

fn identity(process: &str, key: &[u8]) -> LinkIdentity {
    LinkIdentity {
        key: ClusterKey::from_bytes(key).expect("the key is long enough"),
        process: process.to_owned(),
        role: LinkRole::Entry,
        incarnation: ProcessIncarnation::from_bytes([7; 16]),
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[actix_rt::test]
async fn messages_arrive_in_order() {
    let options = LinkOptions::default();
    let mut listener = LinkListener::bind(loopback(), identity("side", b"0123456789abcdef"), options.clone())
        .await
        .unwrap();
    let link = dial(
        listener.address(),
        &identity("entry", b"0123456789abcdef"),
        &options,
    )
    .await
    .unwrap();
    assert_eq!(link.peer().process, "side");
    let accepted = listener.next().await.unwrap();
    assert_eq!(accepted.peer().process, "entry");
    let (sender, _receiver) = link.split::<EntryFrame, SideFrame>();
    let (_side_sender, mut receiver) = accepted.split::<SideFrame, EntryFrame>();
    for nonce in 0..1_000 {
        sender.send(&EntryFrame::Ping { nonce }).unwrap();
    }
    for nonce in 0..1_000 {
        assert_eq!(receiver.next().await.unwrap(), EntryFrame::Ping { nonce });
    }
    drop(sender);
    assert!(matches!(receiver.next().await, Err(LinkError::Closed)));
}

#[actix_rt::test]
async fn a_peer_with_another_key_is_refused() {
    let options = LinkOptions::default();
    let listener = LinkListener::bind(loopback(), identity("side", b"0123456789abcdef"), options.clone())
        .await
        .unwrap();
    let result = dial(
        listener.address(),
        &identity("entry", b"fedcba9876543210"),
        &options,
    )
    .await;
    assert!(matches!(result.err(), Some(LinkError::Handshake(_))));
}
