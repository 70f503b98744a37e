//! Finding out whether a target whose answer broke off has ended.
//!
//! Its port tells: nothing listens where a process ended, while a target that reset a connection or spoilt an answer takes
//! the next one. A target that drains or has left the list ends as planned, and no request is to blame.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebony_dispatch::{TargetKey, TargetPhase, TargetRecord};
use ebony_types::RequestDigest;
use slog::info;
use slotmap::SecondaryMap;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::decision_log::LineKind;
use crate::gateway::Gateway;

/// The wait before the first look at a target. A process that ends may close its connections a moment before its port.
const FIRST_LOOK: Duration = Duration::from_millis(25);

/// Looks at a target; the wait doubles with each, so that they cover 3 seconds: a target is back after some seconds.
const MOST_LOOKS: u32 = 7;

/// The longest wait for a connection. A host that is merely busy answers later, and tells nothing.
const LOOK_TIMEOUT: Duration = Duration::from_millis(250);

/// Requests that are named at one end of a target: more than the slots of today's engines. Further ones are left out.
const MOST_SUSPECTS: usize = 64;

/// What became of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetFate {
    /// Its process ended.
    Ended,
    /// It takes connections.
    Alive,
    /// Its port neither took nor refused a connection, as beyond a cut.
    Unknown,
}

impl TargetFate {
    fn as_str(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Alive => "alive",
            Self::Unknown => "unknown",
        }
    }
}

/// A target that is looked at, and the requests that it broke off.
struct OpenInquest {
    record: TargetRecord,
    suspects: BTreeSet<RequestDigest>,
}

/// The targets that are looked at. Bounded by the targets on the board.
#[derive(Default)]
pub(crate) struct TargetInquests {
    open: RefCell<SecondaryMap<TargetKey, OpenInquest>>,
}

impl TargetInquests {
    /// Looks at a target that broke off a request.
    pub(crate) fn open(gateway: &Rc<Gateway>, target: TargetKey, suspect: RequestDigest) {
        let mut open = gateway.inquests.open.borrow_mut();
        if let Some(inquest) = open.get_mut(target) {
            if inquest.suspects.len() < MOST_SUSPECTS {
                inquest.suspects.insert(suspect);
            }
            return;
        }
        let board = gateway.board.borrow();
        let listed = board.target(target).map(|entry| &entry.record);
        let Some(record) = listed.filter(|record| record.phase == TargetPhase::Ready) else {
            return;
        };
        let inquest = OpenInquest {
            record: record.clone(),
            suspects: BTreeSet::from([suspect]),
        };
        let address = record.address;
        open.insert(target, inquest);
        let gateway = Rc::clone(gateway);
        tokio::task::spawn_local(async move {
            let fate = look(&gateway, target, address).await;
            let closed = gateway.inquests.open.borrow_mut().remove(target);
            if let Some(inquest) = closed {
                inquest.close(&gateway, fate);
            }
        });
    }
}

impl OpenInquest {
    fn close(self, gateway: &Gateway, fate: TargetFate) {
        gateway
            .metrics
            .target_fates
            .with_label_values(&[fate.as_str()])
            .inc();
        if gateway.decisions.admits(LineKind::Belief) {
            let digests: Vec<String> = self.suspects.iter().map(RequestDigest::short).collect();
            info!(gateway.logger, "target broke off";
                "target" => self.record.name.as_str(), "life" => self.record.born, "fate" => fate.as_str(),
                "requests" => digests.join(" "));
        }
        if fate == TargetFate::Ended {
            let record = &self.record;
            gateway
                .crashes
                .record_end(&record.name, record.born, &self.suspects);
        }
    }
}

/// Looks at a target until its fate is certain or the looks are used up.
async fn look(gateway: &Gateway, target: TargetKey, address: SocketAddr) -> TargetFate {
    for look in 0..MOST_LOOKS {
        sleep(FIRST_LOOK * (1 << look)).await;
        // Connections at rest close with the process that holds their other end.
        if gateway.client.has_idle(target) {
            return TargetFate::Alive;
        }
        match timeout(LOOK_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(_)) => return TargetFate::Alive,
            Ok(Err(error)) if is_refusal(error.kind()) => return TargetFate::Ended,
            Ok(Err(_)) | Err(_) => {}
        }
    }
    TargetFate::Unknown
}

fn is_refusal(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset)
}
