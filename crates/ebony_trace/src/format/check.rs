//! Validation of decoded lines.

use ebony_types::limits::MAX_TIMEOUT_MS;

use crate::format::error::TraceFault;
use crate::format::header::{FORMAT_VERSION, TraceHeader};
use crate::format::limits::{
    MAX_CHILDREN, MAX_DEPTH, MAX_HISTORY_TOKENS, MAX_MARKERS, MAX_NAMES, MAX_OUTCOMES, MAX_PAUSE_MS,
    MAX_PROGRAMS, MAX_TEXT_BYTES, MAX_TRACE_MS, MAX_TURNS,
};
use crate::format::program::{MarkerAction, ProgramOrigin, ProgramTurn, ToolCall, TraceMarker, TraceProgram};

/// The result of a check.
type Result<T, E = TraceFault> = std::result::Result<T, E>;

/// Validates lines in file order, each against the header and the lines before it.
#[derive(Debug)]
pub(super) struct LineChecker<'a> {
    header: &'a TraceHeader,
    last_marker_ms: u32,
    markers: usize,
    programs: Vec<CheckedProgram>,
}

/// Properties of a checked program that the checks of its sub-agents need.
#[derive(Clone, Copy, Debug)]
struct CheckedProgram {
    depth: u8,
    turns: usize,
    children: usize,
}

impl<'a> LineChecker<'a> {
    /// Checks the header and creates a checker for the lines after it.
    pub(super) fn open(header: &'a TraceHeader) -> Result<Self> {
        check_header(header)?;
        Ok(Self {
            header,
            last_marker_ms: 0,
            markers: 0,
            programs: Vec::new(),
        })
    }

    pub(super) fn check_marker(&mut self, marker: &TraceMarker) -> Result<()> {
        if self.markers == MAX_MARKERS {
            return Err(TraceFault::TooManyMarkers);
        }
        if marker.at_ms < self.last_marker_ms {
            return Err(TraceFault::Marker("earlier than the marker before"));
        }
        if marker.at_ms > MAX_TRACE_MS {
            return Err(TraceFault::Marker("after the latest time"));
        }
        let (MarkerAction::LoseDomain { domain } | MarkerAction::RestoreDomain { domain }) = &marker.action;
        if !self.header.domains.contains(domain) {
            return Err(TraceFault::Marker("the header does not list the failure domain"));
        }
        self.last_marker_ms = marker.at_ms;
        self.markers += 1;
        Ok(())
    }

    pub(super) fn check_program(&mut self, program: &TraceProgram) -> Result<()> {
        if self.programs.len() == MAX_PROGRAMS {
            return Err(TraceFault::TooManyPrograms);
        }
        let expected = self.programs.len() as u32;
        if program.id != expected {
            let found = program.id;
            return Err(TraceFault::UnexpectedId { found, expected });
        }
        if !self
            .header
            .models
            .iter()
            .any(|share| share.model == program.model)
        {
            return Err(TraceFault::UnknownModel(program.model.to_string()));
        }
        let depth = self.check_origin(program.origin)?;
        self.check_turns(program)?;
        self.programs.push(CheckedProgram {
            depth,
            turns: program.turns.len(),
            children: 0,
        });
        Ok(())
    }

    /// Checks that the numbers of markers and programs match the header.
    pub(super) fn check_end(&self) -> Result<()> {
        let counts = [
            ("markers", self.markers, self.header.markers),
            ("programs", self.programs.len(), self.header.programs),
        ];
        for (kind, found, expected) in counts {
            let expected = expected as usize;
            if found != expected {
                return Err(TraceFault::LineCount {
                    kind,
                    found,
                    expected,
                });
            }
        }
        Ok(())
    }

    /// Checks the arrival time or the link to the parent, and returns the program's depth.
    fn check_origin(&mut self, origin: ProgramOrigin) -> Result<u8> {
        let (parent, after_turn) = match origin {
            ProgramOrigin::Arrival { at_ms } if at_ms > MAX_TRACE_MS => return Err(TraceFault::LateArrival),
            ProgramOrigin::Arrival { .. } => return Ok(0),
            ProgramOrigin::Child {
                parent, after_turn, ..
            } => (parent, after_turn),
        };
        let parent_program = self.programs.get_mut(parent as usize);
        let parent_program = parent_program.filter(|program| usize::from(after_turn) + 1 < program.turns);
        let parent_program = parent_program.ok_or(TraceFault::InvalidParent { parent, after_turn })?;
        if parent_program.depth == MAX_DEPTH {
            return Err(TraceFault::TooDeep);
        }
        if parent_program.children == MAX_CHILDREN {
            return Err(TraceFault::TooManyChildren(parent));
        }
        parent_program.children += 1;
        Ok(parent_program.depth + 1)
    }

    fn check_turns(&self, program: &TraceProgram) -> Result<()> {
        let turns = program.turns.len();
        if !(1..=MAX_TURNS).contains(&turns) {
            return Err(TraceFault::TurnCount(turns));
        }
        let history = program.history_tokens(turns);
        if history > MAX_HISTORY_TOKENS {
            return Err(TraceFault::HistoryTooLong(history));
        }
        for (index, turn) in program.turns.iter().enumerate() {
            let fault = |reason| TraceFault::Turn { turn: index, reason };
            self.check_turn(turn).map_err(fault)?;
        }
        match program.turns.last() {
            Some(last) if last.pause_ms > 0 || last.call.is_some() => Err(TraceFault::Turn {
                turn: turns - 1,
                reason: "the last turn has a tool",
            }),
            _ => Ok(()),
        }
    }

    fn check_turn(&self, turn: &ProgramTurn) -> Result<(), &'static str> {
        if turn.new_tokens == 0 || turn.output_tokens == 0 {
            return Err("without tokens");
        }
        if turn.pause_ms > MAX_PAUSE_MS {
            return Err("the tool takes too long");
        }
        turn.call.as_ref().map_or(Ok(()), |call| self.check_call(call))
    }

    fn check_call(&self, call: &ToolCall) -> Result<(), &'static str> {
        if !self.header.services.contains(&call.service) {
            return Err("the header does not list the service");
        }
        if !(1..=MAX_TIMEOUT_MS).contains(&call.deadline_ms) {
            return Err("the deadline is out of range");
        }
        Ok(())
    }
}

fn check_header(header: &TraceHeader) -> Result<()> {
    if header.version != FORMAT_VERSION {
        return Err(TraceFault::UnknownVersion(header.version));
    }
    let texts = [&header.name, &header.deployment, &header.description];
    let has_text = texts
        .iter()
        .all(|text| (1..=MAX_TEXT_BYTES).contains(&text.len()));
    let lists = [header.models.len(), header.services.len(), header.domains.len()];
    let engine = &header.engine;
    let rates = [
        engine.engines,
        engine.batch_slots,
        engine.prefill_tokens_per_second,
        engine.cache_tokens,
    ];
    let loaded: u64 = header.models.iter().map(|share| u64::from(share.engines)).sum();
    let rules = [
        (has_text, "a text is empty or too long"),
        (
            (1..=10_000).contains(&header.time_scale.wall_ms_per_second),
            "the time scale is out of range",
        ),
        (
            lists.iter().all(|list| *list <= MAX_NAMES),
            "a list has too many names",
        ),
        (!rates.contains(&0), "a member of the engine is zero"),
        (
            engine.token_interval_us <= 10_000_000,
            "the token interval is out of range",
        ),
        (
            loaded <= u64::from(engine.engines),
            "more models are loaded than there are engines",
        ),
        (header.outcomes.len() <= MAX_OUTCOMES, "too many outcomes"),
    ];
    let violated = rules.iter().find(|(is_met, _)| !is_met);
    violated.map_or(Ok(()), |(_, reason)| Err(TraceFault::Header(reason)))
}
