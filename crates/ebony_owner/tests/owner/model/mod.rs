//! Guards the promises of several owners against faults in any order: lost replies, late writes, outages, paused and
//! lost processes, takeovers that race or die, and planned releases.

mod facts;
mod world;

use std::collections::BTreeSet;

use ebony_testkit::{Result, check_seeds};
use ebony_types::{CallId, ProgramId, ShardKey};
use ebony_wire::ProgramOperation;

use crate::harness::caller;
use crate::harness::platform::Fault;
use arbitrary::Unstructured;
use facts::{ProgramFacts, RunTruth};
use world::{ModelWorld, SHARDS};

/// Rounds in which everything must come to rest when the faults end. Each lasts half a second.
const MAX_ROUNDS: u32 = 200;

/// Cases of the model. Each has about 700 steps.
const CASES: u32 = 220;

#[test]
fn owners_keep_their_promises_under_faults() {
    check_seeds(CASES, 3_000, |input| {
        let mut world = ModelWorld::open(2);
        world.refresh_sessions(true);
        settle(&mut world);
        (0..SHARDS).for_each(|shard| world.open_program(0, shard, None));
        while !input.is_empty() {
            step(&mut world, input)?;
        }
        settle(&mut world);
        check_answers(&world);
        replace_all_nodes(&mut world);
        check_keys(&mut world);
        check_programs(&mut world);
        Ok(())
    });
}

fn step(world: &mut ModelWorld, input: &mut Unstructured<'_>) -> Result<()> {
    match input.int_in_range(0..=199)? {
        0..=59 => perform_some(world, input)?,
        60..=104 => call_some(world, input)?,
        105..=144 => end_some_run(world, input)?,
        145..=152 => open_some(world, input)?,
        153..=176 => world.pass(input.int_in_range(1..=200)?),
        177 => world.pass(input.int_in_range(1_000..=12_000)?),
        178..=180 => cancel_some(world, input)?,
        181 => end_some_program(world, input)?,
        182..=186 => {
            let index = input.choose_index(world.nodes.len())?;
            world.nodes[index].is_paused = !world.nodes[index].is_paused && input.arbitrary()?;
        }
        187..=191 => world.refresh_sessions(input.ratio(1, 4)?),
        192 => world.platform.is_down = !world.platform.is_down && input.ratio(1, 3)?,
        193 => {
            let index = input.choose_index(world.nodes.len())?;
            world.kill_node(index);
            world.start_node();
        }
        194 if world.nodes.len() < 4 => world.start_node(),
        195 => {
            let index = input.choose_index(world.nodes.len())?;
            world.nodes[index].is_draining = !world.nodes[index].is_draining && input.arbitrary()?;
        }
        196..=199 if !world.ghosts.is_empty() => {
            let position = input.choose_index(world.ghosts.len())?;
            world.perform_ghost(position);
        }
        _ => {}
    }
    Ok(())
}

/// Carries out up to eight requests in any order, a few of them with a fault.
fn perform_some(world: &mut ModelWorld, input: &mut Unstructured<'_>) -> Result<()> {
    let index = input.choose_index(world.nodes.len())?;
    for _ in 0..input.int_in_range(1..=8)? {
        if world.nodes[index].pending.is_empty() || world.nodes[index].is_paused {
            return Ok(());
        }
        let position = input.choose_index(world.nodes[index].pending.len())?;
        let fault = match input.int_in_range(0..=31)? {
            0 | 1 => Fault::LostReply,
            2 => Fault::Refused,
            _ => Fault::None,
        };
        world.perform(index, position, fault);
    }
    Ok(())
}

/// Returns a program that was opened, or now and then one that was only asked for, or none.
fn some_program(world: &ModelWorld, input: &mut Unstructured<'_>) -> Result<Option<ProgramId>> {
    let is_any = input.ratio(1, 16)?;
    let programs = world
        .facts
        .programs
        .iter()
        .filter(|(_, facts)| is_any || facts.is_open);
    let programs: Vec<ProgramId> = programs.map(|(&program, _)| program).collect();
    if programs.is_empty() || input.ratio(1, 8)? {
        return Ok(None);
    }
    Ok(Some(*input.choose(&programs)?))
}

/// Returns a process that serves the shard, or now and then any.
fn some_node(world: &ModelWorld, shard: ShardKey, input: &mut Unstructured<'_>) -> Result<usize> {
    match world.server_of(shard) {
        Some(index) if !input.ratio(1, 8)? => Ok(index),
        _ => input.choose_index(world.nodes.len()),
    }
}

fn call_some(world: &mut ModelWorld, input: &mut Unstructured<'_>) -> Result<()> {
    let program = some_program(world, input)?;
    let shard = program.map_or(ShardKey(0), ProgramId::shard);
    let index = some_node(world, shard, input)?;
    let key = if input.ratio(1, 3)? {
        Some(format!("key-{}", input.int_in_range(0..=3)?))
    } else {
        None
    };
    world.call(index, program, key);
    Ok(())
}

fn open_some(world: &mut ModelWorld, input: &mut Unstructured<'_>) -> Result<()> {
    let parent = if input.ratio(1, 3)? {
        some_program(world, input)?
    } else {
        None
    };
    let shard = input.int_in_range(0..=SHARDS - 1)?;
    let owner = parent.map_or(ShardKey(shard), ProgramId::shard);
    let index = some_node(world, owner, input)?;
    if world.facts.programs.len() < 40 {
        world.open_program(index, shard, parent);
    }
    Ok(())
}

fn end_some_run(world: &mut ModelWorld, input: &mut Unstructured<'_>) -> Result<()> {
    if world.facts.runs.is_empty() {
        return Ok(());
    }
    let position = input.choose_index(world.facts.runs.len())?;
    match input.int_in_range(0..=9)? {
        0 => world.end_run(position, RunTruth::Ran, false),
        1 => world.end_run(position, RunTruth::NotRun, false),
        _ => world.end_run(position, RunTruth::Ran, true),
    }
    Ok(())
}

fn cancel_some(world: &mut ModelWorld, input: &mut Unstructured<'_>) -> Result<()> {
    let open: Vec<CallId> = world
        .facts
        .calls
        .iter()
        .filter(|(_, facts)| facts.answers == 0)
        .map(|(&call, _)| call)
        .collect();
    if open.is_empty() {
        return Ok(());
    }
    let call = *input.choose(&open)?;
    let session = world.facts.calls[&call].session;
    if let Some(index) = world.nodes.iter().position(|node| node.core.session() == session) {
        world.send(index, ebony_owner::OwnerEvent::CallCancelled { call });
    }
    Ok(())
}

fn end_some_program(world: &mut ModelWorld, input: &mut Unstructured<'_>) -> Result<()> {
    let Some(program) = some_program(world, input)? else {
        return Ok(());
    };
    let index = some_node(world, program.shard(), input)?;
    let operation = if input.arbitrary()? {
        ProgramOperation::Cancel {
            program,
            caller: None,
        }
    } else {
        ProgramOperation::Finish {
            program,
            caller: caller("shop-fiji"),
        }
    };
    world.operate(index, operation);
    Ok(())
}

/// Ends all faults and waits until nothing is under way.
fn settle(world: &mut ModelWorld) {
    world.platform.is_down = false;
    world.nodes.iter_mut().for_each(|node| node.is_paused = false);
    for _ in 0..MAX_ROUNDS {
        world.refresh_sessions(true);
        while let Some(index) = world.nodes.iter().position(|node| !node.pending.is_empty()) {
            world.perform(index, 0, Fault::None);
        }
        while !world.facts.runs.is_empty() {
            world.end_run(0, RunTruth::Ran, true);
        }
        world.pass(500);
        if is_settled(world) {
            return;
        }
    }
    panic!("the owners do not come to rest: {:?}", world.nodes);
}

fn is_settled(world: &ModelWorld) -> bool {
    let sessions: Vec<_> = world.nodes.iter().map(|node| node.core.session()).collect();
    let is_answered = world
        .facts
        .calls
        .values()
        .all(|facts| facts.answers > 0 || !sessions.contains(&facts.session));
    let has_stayers = world.nodes.iter().any(|node| !node.is_draining);
    let is_served = |shard| world.server_of(ShardKey(shard)).is_some();
    let is_idle = world.nodes.iter().all(|node| node.pending.is_empty());
    is_answered && is_idle && (!has_stayers || (0..SHARDS).all(is_served))
}

/// Checks that every call whose process still runs got exactly one final answer, and no call got two.
fn check_answers(world: &ModelWorld) {
    let sessions: Vec<_> = world.nodes.iter().map(|node| node.core.session()).collect();
    for (call, facts) in &world.facts.calls {
        assert!(facts.answers <= 1, "{call} got {} answers", facts.answers);
        assert!(
            facts.answers == 1 || !sessions.contains(&facts.session),
            "{call} got no answer"
        );
    }
}

/// Loses all processes, so that what follows is what a successor recovers.
fn replace_all_nodes(world: &mut ModelWorld) {
    while !world.nodes.is_empty() {
        world.kill_node(0);
    }
    world.ghosts.clear();
    world.start_node();
    settle(world);
}

/// Checks that every key has come to a result: its answer is returned to a repeat, or it may have run, or it did not run
/// and runs now. The answers are checked as they are returned.
fn check_keys(world: &mut ModelWorld) {
    world.facts.is_at_rest = true;
    let keys = world
        .facts
        .calls
        .values()
        .filter_map(|facts| Some((facts.program, facts.key.clone()?)));
    let keys: BTreeSet<_> = keys.collect();
    for _ in 0..2 {
        for (program, key) in &keys {
            world.call(0, *program, Some(key.clone()));
        }
        settle(world);
    }
    check_answers(world);
}

fn check_programs(world: &mut ModelWorld) {
    for program in world.facts.programs.keys().copied().collect::<Vec<_>>() {
        world.operate(
            0,
            ProgramOperation::Show {
                program,
                caller: None,
                with_history: true,
            },
        );
    }
    settle(world);
    for (id, view, history) in &world.shown {
        let facts = &world.facts.programs[id];
        let Some(view) = view else {
            assert!(!facts.is_open, "the open program {id} is lost");
            continue;
        };
        let (used, truth) = (view.used, world.facts.tree_use(*id));
        assert!(
            truth.tokens <= used.tokens && truth.calls <= used.calls,
            "{id}: {used:?}, truly {truth:?}"
        );
        assert!(
            view.budget.allows(used),
            "{id} used {used:?} of {:?}",
            view.budget
        );
        check_history(world, *id, facts, history);
    }
}

/// Checks that a history has the calls of its program only, each with the messages that its caller sent and the answer
/// that the target gave, and every call that was finished, in the order of their arrival.
fn check_history(world: &ModelWorld, id: ProgramId, facts: &ProgramFacts, history: &serde_json::Value) {
    let mut messages: Vec<String> = Vec::new();
    let mut calls = Vec::new();
    for turn in history.as_array().expect("a list of turns") {
        let call: CallId = turn["call"]
            .as_str()
            .and_then(|text| text.parse().ok())
            .expect("a call");
        let sent = &world.facts.calls[&call];
        assert_eq!(
            sent.program,
            Some(id),
            "{call} is in the history of another program"
        );
        assert_eq!(
            turn["answer"]["text"].as_str(),
            sent.answer.as_deref(),
            "{call} has another answer"
        );
        if sent.key.is_none() {
            messages.truncate(turn["kept_messages"].as_u64().expect("a count") as usize);
            let new = turn["messages"].as_array().expect("new messages").iter();
            messages.extend(new.filter_map(|message| message["content"].as_str().map(str::to_owned)));
            assert_eq!(messages, sent.messages, "{call} has other messages");
        }
        calls.push(call);
    }
    // A paused owner may learn late that a record of its own is durable, so calls finish in any order of time.
    let lacks = facts.finished.iter().find(|call| !calls.contains(call));
    assert_eq!(lacks, None, "the history of {id} lacks a finished call");
    assert!(
        calls.is_sorted(),
        "the history of {id} is out of order: {calls:?}"
    );
}
