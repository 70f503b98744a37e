//! Randomized fault injection in side processes: refusals, failures, lost links, restarts, no response.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use ebony_policy::PolicyOptions;
use ebony_types::{CallId, ProblemCode, ProblemReport, RunVerdict};
use ebony_wire::EntryFrame;
use tokio::task::JoinSet;

use super::fakes::{DispatchRig, FakeHosts, FakeLink, FakeSide, TestCall};

const CALLS: u8 = 40;
const SIDES: u8 = 3;

/// The body of every answer, and the offset at which interrupted answers stop.
const BODY: &[u8] = b"a whole answer of a target";
const CUT_AT: usize = 9;

/// The maximum number of lost links and restarts per side process. The dispatcher doubles its dial backoff with each.
const MAX_CUTS: u8 = 4;

/// The timeout of calls, which ends those that a side process never answers.
const TIMEOUT_MS: u32 = 2_000;

/// The number of concurrent calls. With more, one lost link would fail most calls of a case.
const CONCURRENT_CALLS: u8 = 6;

/// How a side process responds to a call.
#[derive(Clone, Copy, Debug)]
enum SideBehavior {
    Answer,
    RefuseFull,
    RefuseDraining,
    FailAfterStart,
    CutBeforeStart,
    CutInAnswer,
    Restart,
    StaySilent,
}

const BEHAVIORS: [SideBehavior; 10] = [
    SideBehavior::Answer,
    SideBehavior::Answer,
    SideBehavior::Answer,
    SideBehavior::RefuseFull,
    SideBehavior::RefuseDraining,
    SideBehavior::FailAfterStart,
    SideBehavior::CutBeforeStart,
    SideBehavior::CutInAnswer,
    SideBehavior::Restart,
    SideBehavior::StaySilent,
];

/// The script shared by all side processes of one case.
struct FaultScript {
    choices: Vec<u8>,
    /// How often each call has started on a target.
    starts: BTreeMap<CallId, u32>,
}

impl FaultScript {
    fn next(&mut self, cuts: u8) -> SideBehavior {
        let choice = self.choices.pop().unwrap_or(0);
        let behavior = BEHAVIORS[usize::from(choice) % BEHAVIORS.len()];
        let is_cut = matches!(
            behavior,
            SideBehavior::CutBeforeStart | SideBehavior::CutInAnswer | SideBehavior::Restart
        );
        if is_cut && cuts >= MAX_CUTS {
            return SideBehavior::Answer;
        }
        behavior
    }

    fn start(&mut self, call: CallId) {
        *self.starts.entry(call).or_default() += 1;
    }
}

/// The state of a link after a frame was handled.
enum LinkOutcome {
    Open,
    Cut,
    Restarted,
}

struct FaultySide {
    script: Rc<RefCell<FaultScript>>,
    /// Calls whose answers the current incarnation can resume.
    started: HashMap<CallId, ()>,
    cuts: u8,
}

impl FaultySide {
    fn handle(&mut self, link: &FakeLink, frame: EntryFrame) -> LinkOutcome {
        match frame {
            EntryFrame::Dispatch(order) => self.run(link, order.request.call),
            EntryFrame::Resume { call, offset } => {
                if self.started.contains_key(&call) {
                    let offset = usize::try_from(offset).expect("small");
                    link.head(call);
                    link.chunk(call, offset as u64, &BODY[offset..]);
                    link.end(call, BODY.len() as u64);
                } else {
                    link.fail(call, ProblemReport::not_run(ProblemCode::TargetFailed, "unknown"));
                }
                LinkOutcome::Open
            }
            EntryFrame::Cancel { call } => {
                link.fail(
                    call,
                    ProblemReport::may_have_run(ProblemCode::Cancelled, "cancelled"),
                );
                LinkOutcome::Open
            }
            _ => LinkOutcome::Open,
        }
    }

    fn run(&mut self, link: &FakeLink, call: CallId) -> LinkOutcome {
        let behavior = self.script.borrow_mut().next(self.cuts);
        let refusal = |code| ProblemReport::not_run(code, "refused");
        match behavior {
            SideBehavior::RefuseFull => link.fail(call, refusal(ProblemCode::Overloaded)),
            SideBehavior::RefuseDraining => link.fail(call, refusal(ProblemCode::Draining)),
            SideBehavior::CutBeforeStart => return LinkOutcome::Cut,
            SideBehavior::Answer => {
                self.start(link, call);
                link.answer(call, BODY);
            }
            SideBehavior::FailAfterStart => {
                self.start(link, call);
                link.fail(
                    call,
                    ProblemReport::may_have_run(ProblemCode::TargetFailed, "crashed"),
                );
            }
            SideBehavior::CutInAnswer => {
                self.start(link, call);
                link.head(call);
                link.chunk(call, 0, &BODY[..CUT_AT]);
                return LinkOutcome::Cut;
            }
            SideBehavior::Restart => {
                self.start(link, call);
                return LinkOutcome::Restarted;
            }
            SideBehavior::StaySilent => self.start(link, call),
        }
        LinkOutcome::Open
    }

    fn start(&mut self, link: &FakeLink, call: CallId) {
        self.script.borrow_mut().start(call);
        self.started.insert(call, ());
        link.accept(call);
    }
}

/// Runs a side process, with its links and restarts, until the test ends.
async fn run_faulty(number: u8, hosts: FakeHosts, script: Rc<RefCell<FaultScript>>) {
    let mut faulty = FaultySide {
        script,
        started: HashMap::new(),
        cuts: 0,
    };
    for restart in 0.. {
        let incarnation = number * 64 + restart;
        let mut side = FakeSide::start(&format!("side-{number}"), incarnation).await;
        hosts.list(&side);
        faulty.started.clear();
        loop {
            let mut link = side.accept().await;
            let mut outcome = LinkOutcome::Cut;
            while let Some(frame) = link.next().await {
                outcome = faulty.handle(&link, frame);
                if !matches!(outcome, LinkOutcome::Open) {
                    faulty.cuts += 1;
                    break;
                }
            }
            link.cut();
            if matches!(outcome, LinkOutcome::Restarted) {
                break;
            }
        }
    }
}

async fn run_case(choices: Vec<u8>) {
    let script = Rc::new(RefCell::new(FaultScript {
        choices,
        starts: BTreeMap::new(),
    }));
    let mut rig = DispatchRig::start(PolicyOptions::default());
    let mut sides = JoinSet::new();
    for number in 1..=SIDES {
        sides.spawn_local(run_faulty(number, rig.hosts.clone(), Rc::clone(&script)));
    }
    let mut keyed = BTreeSet::new();
    let mut ended = BTreeSet::new();
    for number in 0..CALLS + CONCURRENT_CALLS {
        if number < CALLS {
            let has_key = number % 2 == 0;
            let call = if has_key {
                TestCall::service()
            } else {
                TestCall::model()
            };
            let pipe = rig.place(call.with_timeout(TIMEOUT_MS));
            if has_key {
                keyed.insert(pipe.call());
            }
        }
        if number < CONCURRENT_CALLS {
            continue;
        }
        let end = rig.ended().await;
        assert!(ended.insert(end.call), "a call ended twice");
        let starts = script.borrow().starts.get(&end.call).copied().unwrap_or(0);
        assert!(
            starts <= 1 || !keyed.contains(&end.call),
            "a keyed call ran twice"
        );
        match end.outcome {
            Ok(answer) => assert_eq!(&answer.body[..], BODY),
            Err(problem) if problem.run == RunVerdict::NotRun => {
                assert_eq!(starts, 0, "{problem:?} of a call that ran");
            }
            Err(_) => assert!(end.was_placed),
        }
    }
    rig.sync_hosts().await;
    rig.assert_no_further_end().await;
    sides.abort_all();
}

/// Guards against calls that end twice or never, calls with an idempotency key that run twice, and wrong verdicts under
/// faults.
#[test]
fn every_call_ends_once_with_a_true_verdict_under_faults() {
    ebony_testkit::check_seeds(6, 256, |input| {
        let choices = (0..120)
            .map(|_| input.arbitrary())
            .collect::<Result<Vec<u8>, _>>()?;
        actix_rt::System::new().block_on(run_case(choices));
        Ok(())
    });
}
