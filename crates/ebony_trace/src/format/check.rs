//! Checks of decoded lines.

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

/// Checks lines in their order against those before.
#[derive(Debug)]
pub(super) struct LineChecker<'a> {
    header: &'a TraceHeader,
    last_marker_ms: u32,
    markers: usize,
    /// Level, turns and sub-agents of each program so far.
    programs: Vec<ProgramFacts>,
}

#[derive(Clone, Copy, Debug)]
struct ProgramFacts {
    depth: u8,
    turns: usize,
    children: usize,
}

impl<'a> LineChecker<'a> {
    /// Checks the header and starts the checks of further lines.
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
            return Err(TraceFault::ManyMarkers);
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
            return Err(TraceFault::ManyPrograms);
        }
        let expected = self.programs.len() as u32;
        if program.id != expected {
            let found = program.id;
            return Err(TraceFault::Number { found, expected });
        }
        if !self
            .header
            .models
            .iter()
            .any(|share| share.model == program.model)
        {
            return Err(TraceFault::Model(program.model.to_string()));
        }
        let depth = self.check_origin(program.origin)?;
        self.check_turns(program)?;
        self.programs.push(ProgramFacts {
            depth,
            turns: program.turns.len(),
            children: 0,
        });
        Ok(())
    }

    /// Checks that the numbers of lines are those in the header.
    pub(super) fn check_end(&self) -> Result<()> {
        let counts = [
            ("markers", self.markers, self.header.markers),
            ("programs", self.programs.len(), self.header.programs),
        ];
        for (kind, found, expected) in counts {
            let expected = expected as usize;
            if found != expected {
                return Err(TraceFault::Count {
                    kind,
                    found,
                    expected,
                });
            }
        }
        Ok(())
    }

    /// Checks the link to the parent and returns the level of the program.
    fn check_origin(&mut self, origin: ProgramOrigin) -> Result<u8> {
        let (parent, after_turn) = match origin {
            ProgramOrigin::Arrival { at_ms } if at_ms > MAX_TRACE_MS => return Err(TraceFault::LateArrival),
            ProgramOrigin::Arrival { .. } => return Ok(0),
            ProgramOrigin::Child {
                parent, after_turn, ..
            } => (parent, after_turn),
        };
        let facts = self.programs.get_mut(parent as usize);
        let facts = facts.filter(|facts| usize::from(after_turn) + 1 < facts.turns);
        let facts = facts.ok_or(TraceFault::Parent { parent, after_turn })?;
        if facts.depth == MAX_DEPTH {
            return Err(TraceFault::Depth);
        }
        if facts.children == MAX_CHILDREN {
            return Err(TraceFault::ManyChildren(parent));
        }
        facts.children += 1;
        Ok(facts.depth + 1)
    }

    fn check_turns(&self, program: &TraceProgram) -> Result<()> {
        let turns = program.turns.len();
        if !(1..=MAX_TURNS).contains(&turns) {
            return Err(TraceFault::Turns(turns));
        }
        let history = program.history_tokens(turns);
        if history > MAX_HISTORY_TOKENS {
            return Err(TraceFault::History(history));
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
        return Err(TraceFault::Version(header.version));
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
    let broken = rules.iter().find(|(is_kept, _)| !is_kept);
    broken.map_or(Ok(()), |(_, reason)| Err(TraceFault::Header(reason)))
}
