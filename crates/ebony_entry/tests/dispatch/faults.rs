//! Side processes that fail at random: refusals, failures, cut links, restarts, silence.

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

/// Bytes of every answer, and where cut ones are cut.
const BODY: &[u8] = b"a whole answer of a target";
const CUT_AT: usize = 9;

/// Cut links and restarts of one side process. With each, the dispatcher waits twice as long before it dials.
const MAX_CUTS: u8 = 4;

/// The deadline of calls, which ends those that a side process never answers.
const TIMEOUT_MS: u32 = 2_000;

/// Calls under way at once. With more, one cut link would take most calls of a case.
const UNDER_WAY: u8 = 6;

/// What a side process does with a call.
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

/// What the side processes of one case share.
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

/// What becomes of a link after a frame.
enum LinkFate {
    Stays,
    Cut,
    Restarts,
}

struct FaultySide {
    script: Rc<RefCell<FaultScript>>,
    /// Calls whose answers can be resumed in the present life.
    started: HashMap<CallId, ()>,
    cuts: u8,
}

impl FaultySide {
    fn handle(&mut self, link: &FakeLink, frame: EntryFrame) -> LinkFate {
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
                LinkFate::Stays
            }
            EntryFrame::Cancel { call } => {
                link.fail(
                    call,
                    ProblemReport::may_have_run(ProblemCode::Cancelled, "cancelled"),
                );
                LinkFate::Stays
            }
            _ => LinkFate::Stays,
        }
    }

    fn run(&mut self, link: &FakeLink, call: CallId) -> LinkFate {
        let behavior = self.script.borrow_mut().next(self.cuts);
        let refusal = |code| ProblemReport::not_run(code, "refused");
        match behavior {
            SideBehavior::RefuseFull => link.fail(call, refusal(ProblemCode::Overloaded)),
            SideBehavior::RefuseDraining => link.fail(call, refusal(ProblemCode::Draining)),
            SideBehavior::CutBeforeStart => return LinkFate::Cut,
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
                return LinkFate::Cut;
            }
            SideBehavior::Restart => {
                self.start(link, call);
                return LinkFate::Restarts;
            }
            SideBehavior::StaySilent => self.start(link, call),
        }
        LinkFate::Stays
    }

    fn start(&mut self, link: &FakeLink, call: CallId) {
        self.script.borrow_mut().start(call);
        self.started.insert(call, ());
        link.accept(call);
    }
}

/// Runs a side process through its links and lives until the test ends.
async fn run_faulty(number: u8, hosts: FakeHosts, script: Rc<RefCell<FaultScript>>) {
    let mut faulty = FaultySide {
        script,
        started: HashMap::new(),
        cuts: 0,
    };
    for life in 0.. {
        let incarnation = number * 64 + life;
        let mut side = FakeSide::start(&format!("side-{number}"), incarnation).await;
        hosts.list(&side);
        faulty.started.clear();
        loop {
            let mut link = side.accept().await;
            let mut fate = LinkFate::Cut;
            while let Some(frame) = link.next().await {
                fate = faulty.handle(&link, frame);
                if !matches!(fate, LinkFate::Stays) {
                    faulty.cuts += 1;
                    break;
                }
            }
            link.cut();
            if matches!(fate, LinkFate::Restarts) {
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
    for number in 0..CALLS + UNDER_WAY {
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
        if number < UNDER_WAY {
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

/// Guards against calls that end twice or never, keyed calls that run twice, and false verdicts under faults.
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
