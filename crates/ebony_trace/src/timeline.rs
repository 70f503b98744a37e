//! Start times and critical paths of a trace on unloaded engines, and the load that the trace offers.

use std::time::Duration;

use crate::format::{EngineProfile, ProgramOrigin, TraceDocument, TraceProgram};

/// Length of the windows over which [`TraceLoad::peak_slot_share`] is computed.
pub const PEAK_WINDOW: Duration = Duration::from_secs(10);

/// Returns the sub-agents of each program, ordered by id.
pub(crate) fn children_of(document: &TraceDocument) -> Vec<Vec<u32>> {
    let mut children = vec![Vec::new(); document.programs().len()];
    for program in document.programs() {
        if let ProgramOrigin::Child { parent, .. } = program.origin {
            children[parent as usize].push(program.id);
        }
    }
    children
}

/// Start and critical path of each program on unloaded engines that have its history cached, without network time.
///
/// The critical path of a program is the sum over its turns of the prefill of the new tokens, the decoding of the answer,
/// and the longer of the tool call and the blocking sub-agents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceTimeline {
    /// Start of each program, relative to the start of the trace.
    pub starts: Vec<Duration>,
    /// Critical path of each program.
    pub paths: Vec<Duration>,
}

impl TraceTimeline {
    /// Computes the timeline.
    pub fn of(document: &TraceDocument) -> Self {
        let children = children_of(document);
        let engine = &document.header().engine;
        let count = document.programs().len();
        let mut timeline = Self {
            starts: vec![Duration::ZERO; count],
            paths: vec![Duration::ZERO; count],
        };
        // A sub-agent has a higher id than its parent. Paths are computed children first, starts parents first.
        for program in document.programs().iter().rev() {
            let path = timeline.elapsed(document, engine, program, &children, program.turns.len());
            timeline.paths[program.id as usize] = path;
        }
        for program in document.programs() {
            timeline.starts[program.id as usize] = match program.origin {
                ProgramOrigin::Arrival { at_ms } => Duration::from_millis(u64::from(at_ms)),
                ProgramOrigin::Child {
                    parent, after_turn, ..
                } => {
                    let parent = &document.programs()[parent as usize];
                    let turn = usize::from(after_turn);
                    let before = timeline.elapsed(document, engine, parent, &children, turn);
                    let call = turn_time(engine, parent, turn);
                    timeline.starts[parent.id as usize] + before + call
                }
            };
        }
        timeline
    }

    /// Returns the end of the last program, relative to the start of the trace.
    pub fn end(&self) -> Duration {
        let ends = self
            .starts
            .iter()
            .zip(&self.paths)
            .map(|(start, path)| *start + *path);
        ends.max().unwrap_or_default()
    }

    /// Returns the total time of model calls per window. A call counts in the window in which it starts.
    fn busy_windows(&self, document: &TraceDocument) -> Vec<Duration> {
        let children = children_of(document);
        let engine = &document.header().engine;
        let windows = self.end().as_secs() / PEAK_WINDOW.as_secs() + 1;
        let mut busy = vec![Duration::ZERO; windows as usize];
        for program in document.programs() {
            for turn in 0..program.turns.len() {
                let before = self.elapsed(document, engine, program, &children, turn);
                let start = self.starts[program.id as usize] + before;
                let window = start.as_secs() / PEAK_WINDOW.as_secs();
                busy[window as usize] += turn_time(engine, program, turn);
            }
        }
        busy
    }

    /// Returns the time of the first `turns` turns of a program, including their tools and blocking sub-agents.
    fn elapsed(
        &self,
        document: &TraceDocument,
        engine: &EngineProfile,
        program: &TraceProgram,
        children: &[Vec<u32>],
        turns: usize,
    ) -> Duration {
        let turn_span = |turn: usize| {
            let blocking = children[program.id as usize].iter().filter(|child| {
                let origin = document.programs()[**child as usize].origin;
                matches!(origin, ProgramOrigin::Child { after_turn, is_blocking: true, .. }
                    if usize::from(after_turn) == turn)
            });
            let child_wait = blocking.map(|child| self.paths[*child as usize]).max();
            let wait = program.turns[turn]
                .tool_wait()
                .max(child_wait.unwrap_or_default());
            turn_time(engine, program, turn) + wait
        };
        (0..turns).map(turn_span).sum()
    }
}

fn turn_time(engine: &EngineProfile, program: &TraceProgram, turn: usize) -> Duration {
    let shared_tokens = if turn == 0 { program.shared_tokens } else { 0 };
    let turn = &program.turns[turn];
    engine.call_time(turn.new_tokens.saturating_add(shared_tokens), turn.output_tokens)
}

/// The load that a trace offers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TraceLoad {
    /// Programs, sub-agents included.
    pub programs: usize,
    /// Model calls.
    pub model_calls: usize,
    /// Calls to plain services.
    pub tool_calls: usize,
    /// 95th percentile of the critical paths.
    pub path_p95: Duration,
    /// End of the last program on unloaded engines.
    pub end: Duration,
    /// Average share of the engines' batch slots in use from the start of the trace to `end`.
    pub slot_share: f64,
    /// Highest share of batch slots in use in a [`PEAK_WINDOW`]; more than 1 is an overload.
    pub peak_slot_share: f64,
    /// Lower bound on the share of wasted cache: tokens of each program's last turn, which no later turn reuses.
    pub least_waste: f64,
}

impl TraceLoad {
    /// Computes the load.
    pub fn of(document: &TraceDocument) -> Self {
        let timeline = TraceTimeline::of(document);
        let engine = &document.header().engine;
        let end = timeline.end();
        let slots = f64::from(engine.engines) * f64::from(engine.batch_slots);
        let busy = timeline.busy_windows(document);
        let share = |busy: Duration, span: Duration| {
            busy.as_secs_f64() / (slots * span.as_secs_f64()).max(f64::MIN_POSITIVE)
        };
        let peak = busy.iter().max().copied().unwrap_or_default();
        let turns = || document.programs().iter().flat_map(|program| &program.turns);
        let mut paths = timeline.paths;
        paths.sort_unstable();
        Self {
            programs: document.programs().len(),
            model_calls: turns().count(),
            tool_calls: turns().filter(|turn| turn.call.is_some()).count(),
            path_p95: paths.get(paths.len() * 95 / 100).copied().unwrap_or_default(),
            end,
            slot_share: share(busy.iter().sum(), end),
            peak_slot_share: share(peak, PEAK_WINDOW),
            least_waste: least_waste(document),
        }
    }
}

fn least_waste(document: &TraceDocument) -> f64 {
    let mut last_tokens = 0;
    let mut all_tokens = 0;
    for program in document.programs() {
        let turns = program.turns.len();
        let total = program.history_tokens(turns);
        last_tokens += total - program.history_tokens(turns.saturating_sub(1));
        all_tokens += total - u64::from(program.shared_tokens);
    }
    last_tokens as f64 / (all_tokens as f64).max(1.0)
}
