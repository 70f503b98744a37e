//! The listener for links from other gateways, which answers their requests.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebony_account::{CoverOutcome, TurnRequest};
use ebony_dispatch::TargetIncarnation;
use ebony_link::{LinkListener, LinkOptions, LinkReceiver, LinkSender};
use slog::warn;
use tokio::time::sleep;

use super::{FIRST_DIAL_DELAY, MAX_DIAL_DELAY, PeerReply, PeerRequest, identity};
use crate::crashes::CrashSource;
use crate::gateway::Gateway;
use crate::leaving::{self, LeavingSource};
use crate::limits::{self, permits};
use crate::quotas;

/// Accepts links and answers the requests on them. Waits until the key for links is known and the address can be bound.
pub(crate) async fn serve(gateway: Rc<Gateway>, address: SocketAddr) {
    let key = loop {
        match gateway.fleet.cluster_key() {
            Some(key) => break key,
            None => sleep(FIRST_DIAL_DELAY).await,
        }
    };
    let identity = identity(key, gateway.fleet.process(), gateway.links.incarnation);
    let mut listener = loop {
        match LinkListener::bind(address, identity.clone(), LinkOptions::default()).await {
            Ok(listener) => break listener,
            Err(error) => {
                warn!(gateway.logger, "cannot listen for links"; "address" => %address, "error" => %error);
                sleep(MAX_DIAL_DELAY).await;
            }
        }
    };
    while let Some(link) = listener.next().await {
        let accepted = gateway.links.record_accepted(link.peer());
        let peer = link.peer().process.clone();
        let (sender, receiver) = link.split();
        let gateway = Rc::clone(&gateway);
        tokio::task::spawn_local(async move {
            let _accepted = accepted;
            answer(gateway, &peer, sender, receiver).await;
        });
    }
}

async fn answer(
    gateway: Rc<Gateway>,
    peer: &str,
    sender: LinkSender<PeerReply>,
    mut receiver: LinkReceiver<PeerRequest>,
) {
    while let Ok(request) = receiver.next().await {
        gateway.links.record_heard(peer);
        let accounts = Rc::clone(&gateway.accounts);
        let sender = sender.clone();
        // Tokens of a reply that cannot be queued count as spent. A link whose queue stays full times out and is
        // closed.
        match request {
            PeerRequest::Ping => {
                let reaches_store = accounts.serves_relays();
                let pong = PeerReply::Pong {
                    reaches_store,
                    knows_quotas: true,
                    knows_streams: true,
                };
                sender.send(&pong).ok();
            }
            PeerRequest::GiveBack {
                program,
                budget,
                tokens,
            } => accounts.reclaim(&program, budget, tokens),
            PeerRequest::Record { number, want } => {
                tokio::task::spawn_local(async move {
                    let granted = match accounts.record_for(&want).await {
                        Some(CoverOutcome::Granted { tokens, recorded }) => Some((tokens, recorded)),
                        _ => None,
                    };
                    sender.send(&PeerReply::Recorded { number, granted }).ok();
                });
            }
            PeerRequest::FindTurn {
                number,
                turn,
                reads_store,
            } => {
                let conversations = Rc::clone(&gateway.conversations);
                tokio::task::spawn_local(async move {
                    let found = conversations.find_for_peer(&turn, reads_store).await;
                    sender.send(&PeerReply::Turn { number, found }).ok();
                });
            }
            PeerRequest::TellCrashes { reports } => {
                gateway.crashes.merge_reports(&reports, CrashSource::Peer)
            }
            PeerRequest::TellLeaving {
                target,
                born,
                address,
            } => {
                leaving::record_leaving(
                    &gateway,
                    &target,
                    TargetIncarnation { born, address },
                    LeavingSource::Peer,
                );
            }
            PeerRequest::TellLimits { reports } => {
                for report in &reports {
                    limits::observe_report(&gateway, report);
                }
            }
            PeerRequest::TakePermit {
                number,
                limit,
                max_wait_us,
                is_relayed,
            } => {
                let gateway = Rc::clone(&gateway);
                let max_wait = Duration::from_micros(max_wait_us);
                tokio::task::spawn_local(async move {
                    let permit = permits::take_for_peer(&gateway, &limit, max_wait, is_relayed).await;
                    sender.send(&PeerReply::Permit { number, permit }).ok();
                });
            }
            PeerRequest::ReturnPermit { target, born } => permits::put_back(&gateway, &target, born),
            PeerRequest::TakeQuota { number, asks } => {
                let replies = quotas::answer(&gateway, peer, asks);
                sender.send(&PeerReply::Quota { number, replies }).ok();
            }
            PeerRequest::FindStream {
                number,
                stream,
                service,
                reads_store,
            } => {
                let streams = Rc::clone(&gateway.streams);
                tokio::task::spawn_local(async move {
                    let reply = streams.answer_peer(number, stream, &service, reads_store).await;
                    sender.send(&reply).ok();
                });
            }
            PeerRequest::ShareTurn { turn, record } => gateway.conversations.cache_shared(&turn, &record),
            PeerRequest::KeepTurn { number, turn, record } => {
                let conversations = Rc::clone(&gateway.conversations);
                tokio::task::spawn_local(async move {
                    let is_kept = conversations.record_for_peer(&turn, record).await;
                    sender.send(&PeerReply::Kept { number, is_kept }).ok();
                });
            }
            PeerRequest::Lend {
                number,
                program,
                budget,
                tokens,
                event_tokens,
                has_history,
            } => {
                let turn = TurnRequest {
                    program,
                    budget,
                    most_tokens: tokens,
                    event_tokens,
                    has_history,
                };
                tokio::task::spawn_local(async move {
                    let lending = accounts.lend(&turn).await;
                    sender.send(&PeerReply::Lending { number, lending }).ok();
                });
            }
        }
    }
}
