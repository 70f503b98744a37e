//! Randomized test of the guarantees of several owners under faults in any order: lost replies, late writes, outages,
//! paused and lost processes, takeovers that race or fail, and planned releases.

mod cluster;
mod facts;

use std::collections::BTreeSet;

use ebony_testkit::{Result, check_seeds};
use ebony_types::{CallId, ProgramId, ShardKey};
use ebony_wire::ProgramOperation;

use crate::harness::caller;
use crate::harness::platform::Fault;
use arbitrary::Unstructured;
use cluster::{ModelCluster, SHARDS};
use facts::{ProgramFacts, RunOutcome};

/// The most rounds until everything must be settled after the faults end. Each round lasts half a second.
const MAX_SETTLE_ROUNDS: u32 = 200;

/// Number of random cases. Each has about 700 steps.
const CASES: u32 = 220;

#[test]
fn owners_keep_their_promises_under_faults() {
    check_seeds(CASES, 3_000, |input| {
        let mut cluster = ModelCluster::open(2);
        cluster.refresh_sessions(true);
        settle(&mut cluster);
        (0..SHARDS).for_each(|shard| cluster.open_program(0, shard, None));
        while !input.is_empty() {
            step(&mut cluster, input)?;
        }
        settle(&mut cluster);
        check_answers(&cluster);
        replace_all_nodes(&mut cluster);
        check_keys(&mut cluster);
        check_programs(&mut cluster);
        Ok(())
    });
}

fn step(cluster: &mut ModelCluster, input: &mut Unstructured<'_>) -> Result<()> {
    match input.int_in_range(0..=199)? {
        0..=59 => perform_random_requests(cluster, input)?,
        60..=104 => send_random_call(cluster, input)?,
        105..=144 => end_random_run(cluster, input)?,
        145..=152 => open_random_program(cluster, input)?,
        153..=176 => cluster.advance(input.int_in_range(1..=200)?),
        177 => cluster.advance(input.int_in_range(1_000..=12_000)?),
        178..=180 => cancel_random_call(cluster, input)?,
        181 => end_random_program(cluster, input)?,
        182..=186 => {
            let index = input.choose_index(cluster.nodes.len())?;
            cluster.nodes[index].is_paused = !cluster.nodes[index].is_paused && input.arbitrary()?;
        }
        187..=191 => cluster.refresh_sessions(input.ratio(1, 4)?),
        192 => cluster.platform.is_down = !cluster.platform.is_down && input.ratio(1, 3)?,
        193 => {
            let index = input.choose_index(cluster.nodes.len())?;
            cluster.kill_node(index);
            cluster.start_node();
        }
        194 if cluster.nodes.len() < 4 => cluster.start_node(),
        195 => {
            let index = input.choose_index(cluster.nodes.len())?;
            cluster.nodes[index].is_draining = !cluster.nodes[index].is_draining && input.arbitrary()?;
        }
        196..=199 if !cluster.orphaned_requests.is_empty() => {
            let position = input.choose_index(cluster.orphaned_requests.len())?;
            cluster.perform_orphaned(position);
        }
        _ => {}
    }
    Ok(())
}

/// Carries out up to eight pending requests in any order, a few of them with a fault.
fn perform_random_requests(cluster: &mut ModelCluster, input: &mut Unstructured<'_>) -> Result<()> {
    let index = input.choose_index(cluster.nodes.len())?;
    for _ in 0..input.int_in_range(1..=8)? {
        if cluster.nodes[index].pending.is_empty() || cluster.nodes[index].is_paused {
            return Ok(());
        }
        let position = input.choose_index(cluster.nodes[index].pending.len())?;
        let fault = match input.int_in_range(0..=31)? {
            0 | 1 => Fault::LostReply,
            2 => Fault::Refused,
            _ => Fault::None,
        };
        cluster.perform(index, position, fault);
    }
    Ok(())
}

/// Returns an open program, occasionally one that may not have been opened, or none.
fn choose_program(cluster: &ModelCluster, input: &mut Unstructured<'_>) -> Result<Option<ProgramId>> {
    let is_any = input.ratio(1, 16)?;
    let programs = cluster
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

/// Returns a process that serves the shard, or occasionally any process.
fn choose_node(cluster: &ModelCluster, shard: ShardKey, input: &mut Unstructured<'_>) -> Result<usize> {
    match cluster.server_of(shard) {
        Some(index) if !input.ratio(1, 8)? => Ok(index),
        _ => input.choose_index(cluster.nodes.len()),
    }
}

fn send_random_call(cluster: &mut ModelCluster, input: &mut Unstructured<'_>) -> Result<()> {
    let program = choose_program(cluster, input)?;
    let shard = program.map_or(ShardKey(0), ProgramId::shard);
    let index = choose_node(cluster, shard, input)?;
    let key = if input.ratio(1, 3)? {
        Some(format!("key-{}", input.int_in_range(0..=3)?))
    } else {
        None
    };
    cluster.call(index, program, key);
    Ok(())
}

fn open_random_program(cluster: &mut ModelCluster, input: &mut Unstructured<'_>) -> Result<()> {
    let parent = if input.ratio(1, 3)? {
        choose_program(cluster, input)?
    } else {
        None
    };
    let shard = input.int_in_range(0..=SHARDS - 1)?;
    let owner = parent.map_or(ShardKey(shard), ProgramId::shard);
    let index = choose_node(cluster, owner, input)?;
    if cluster.facts.programs.len() < 40 {
        cluster.open_program(index, shard, parent);
    }
    Ok(())
}

fn end_random_run(cluster: &mut ModelCluster, input: &mut Unstructured<'_>) -> Result<()> {
    if cluster.facts.runs.is_empty() {
        return Ok(());
    }
    let position = input.choose_index(cluster.facts.runs.len())?;
    match input.int_in_range(0..=9)? {
        0 => cluster.end_run(position, RunOutcome::Ran, false),
        1 => cluster.end_run(position, RunOutcome::NotRun, false),
        _ => cluster.end_run(position, RunOutcome::Ran, true),
    }
    Ok(())
}

fn cancel_random_call(cluster: &mut ModelCluster, input: &mut Unstructured<'_>) -> Result<()> {
    let open: Vec<CallId> = cluster
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
    let session = cluster.facts.calls[&call].session;
    if let Some(index) = cluster
        .nodes
        .iter()
        .position(|node| node.core.session() == session)
    {
        cluster.send(index, ebony_owner::OwnerEvent::CallCancelled { call });
    }
    Ok(())
}

fn end_random_program(cluster: &mut ModelCluster, input: &mut Unstructured<'_>) -> Result<()> {
    let Some(program) = choose_program(cluster, input)? else {
        return Ok(());
    };
    let index = choose_node(cluster, program.shard(), input)?;
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
    cluster.operate(index, operation);
    Ok(())
}

/// Ends all faults and advances the time until no work is left.
fn settle(cluster: &mut ModelCluster) {
    cluster.platform.is_down = false;
    cluster.nodes.iter_mut().for_each(|node| node.is_paused = false);
    for _ in 0..MAX_SETTLE_ROUNDS {
        cluster.refresh_sessions(true);
        while let Some(index) = cluster.nodes.iter().position(|node| !node.pending.is_empty()) {
            cluster.perform(index, 0, Fault::None);
        }
        while !cluster.facts.runs.is_empty() {
            cluster.end_run(0, RunOutcome::Ran, true);
        }
        cluster.advance(500);
        if is_settled(cluster) {
            return;
        }
    }
    panic!(
        "the owners did not settle within {MAX_SETTLE_ROUNDS} rounds: {:?}",
        cluster.nodes
    );
}

fn is_settled(cluster: &ModelCluster) -> bool {
    let sessions: Vec<_> = cluster.nodes.iter().map(|node| node.core.session()).collect();
    let is_answered = cluster
        .facts
        .calls
        .values()
        .all(|facts| facts.answers > 0 || !sessions.contains(&facts.session));
    let has_staying_nodes = cluster.nodes.iter().any(|node| !node.is_draining);
    let is_served = |shard| cluster.server_of(ShardKey(shard)).is_some();
    let is_idle = cluster.nodes.iter().all(|node| node.pending.is_empty());
    is_answered && is_idle && (!has_staying_nodes || (0..SHARDS).all(is_served))
}

/// Checks that every call of a live process got exactly one final answer, and that no call got two.
fn check_answers(cluster: &ModelCluster) {
    let sessions: Vec<_> = cluster.nodes.iter().map(|node| node.core.session()).collect();
    for (call, facts) in &cluster.facts.calls {
        assert!(facts.answers <= 1, "{call} got {} answers", facts.answers);
        assert!(
            facts.answers == 1 || !sessions.contains(&facts.session),
            "{call} got no answer"
        );
    }
}

/// Kills all processes, so that all later checks run on the state that a successor recovers.
fn replace_all_nodes(cluster: &mut ModelCluster) {
    while !cluster.nodes.is_empty() {
        cluster.kill_node(0);
    }
    cluster.orphaned_requests.clear();
    cluster.start_node();
    settle(cluster);
}

/// Checks that every key has a result: a repeat gets the stored answer, or the call may have run, or it did not run
/// and runs now. [`ModelFacts::replay`](facts::ModelFacts::replay) checks the returned answers.
fn check_keys(cluster: &mut ModelCluster) {
    cluster.facts.is_quiescent = true;
    let keys = cluster
        .facts
        .calls
        .values()
        .filter_map(|facts| Some((facts.program, facts.key.clone()?)));
    let keys: BTreeSet<_> = keys.collect();
    for _ in 0..2 {
        for (program, key) in &keys {
            cluster.call(0, *program, Some(key.clone()));
        }
        settle(cluster);
    }
    check_answers(cluster);
}

fn check_programs(cluster: &mut ModelCluster) {
    for program in cluster.facts.programs.keys().copied().collect::<Vec<_>>() {
        cluster.operate(
            0,
            ProgramOperation::Show {
                program,
                caller: None,
                with_history: true,
            },
        );
    }
    settle(cluster);
    for (id, view, history) in &cluster.shown {
        let facts = &cluster.facts.programs[id];
        let Some(view) = view else {
            assert!(!facts.is_open, "the open program {id} is lost");
            continue;
        };
        let (used, actual) = (view.used, cluster.facts.tree_use(*id));
        assert!(
            actual.tokens <= used.tokens && actual.calls <= used.calls,
            "{id} reports {used:?}, but its calls used {actual:?}"
        );
        assert!(
            view.budget.allows(used),
            "{id} used {used:?} of {:?}",
            view.budget
        );
        check_history(cluster, *id, facts, history);
    }
}

/// Checks that a history contains only calls of its program, each with the messages that its caller sent and the
/// answer that the target gave, and all finished calls, in the order of their arrival.
fn check_history(cluster: &ModelCluster, id: ProgramId, facts: &ProgramFacts, history: &serde_json::Value) {
    let mut messages: Vec<String> = Vec::new();
    let mut calls = Vec::new();
    for turn in history.as_array().expect("a list of turns") {
        let call: CallId = turn["call"]
            .as_str()
            .and_then(|text| text.parse().ok())
            .expect("a call");
        let sent = &cluster.facts.calls[&call];
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
    // A paused owner may learn late that its record is durable, so calls may finish in any order.
    let missing = facts.finished.iter().find(|call| !calls.contains(call));
    assert_eq!(missing, None, "a finished call is missing in the history of {id}");
    assert!(
        calls.is_sorted(),
        "the history of {id} is out of order: {calls:?}"
    );
}
