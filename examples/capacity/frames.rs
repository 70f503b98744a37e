//! Size and time of the frames on links.

use bytes::Bytes;
use ebony_types::{
    CallId, CallUsage, DomainName, FencingToken, ModelName, ProblemCode, ProblemReport, SessionId, ShardKey,
    TargetName,
};
use ebony_wire::{
    AnswerFrame, AnswerHead, CacheEvent, ConfigStatus, DispatchOrder, EntryFrame, PeerFrame, QueueRank,
    ShardClaim, SideFrame, TargetKind, TargetReport, decode, encode,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::fit::SizePoint;
use crate::owner_bench::{chat_body, program, request};
use crate::policy::load_report;
use crate::report::{CapacityReport, FrameFigures};
use crate::sample::{cpu_micros, once, repeat};

/// Encodings or decodings of one repetition.
const ROUNDS: usize = 2_000;

/// Turns behind a dispatched call.
const TURNS: [usize; 4] = [1, 21, 42, 84];

/// Tokens of one chunk. An engine sends one event for each token.
const CHUNK_TOKENS: [usize; 4] = [1, 4, 16, 64];

/// Items of the frames that grow.
const ITEMS: [usize; 4] = [1, 64, 256, 846];

/// The event of one token of five characters, as engines stream it.
const TOKEN_EVENT: &str = "data: {\"id\":\"chatcmpl-0123456789abcdef0123456789abcdef\",\
\"object\":\"chat.completion.chunk\",\"created\":1764720000,\"model\":\"kalo-7b\",\
\"choices\":[{\"index\":0,\"delta\":{\"content\":\"words\"},\"finish_reason\":null}]}\n\n";

fn call() -> CallId {
    CallId::from_bytes([0xa5; 16])
}

fn target() -> TargetName {
    TargetName::parse("kalo-engine-00001").expect("the name is visible")
}

fn encode_frame(frame: &impl Serialize) -> Vec<u8> {
    encode(frame).expect("the frame is small")
}

fn add<T: Serialize + DeserializeOwned>(report: &mut CapacityReport, frame: &'static str, message: &T) {
    let bytes = encode_frame(message);
    let encoding = repeat(1, || {
        cpu_micros(|| (0..ROUNDS).all(|_| !std::hint::black_box(encode_frame(message)).is_empty()))
    });
    let decoding = repeat(1, || {
        cpu_micros(|| (0..ROUNDS).all(|_| std::hint::black_box(decode::<T>(&bytes)).is_ok()))
    });
    report.add_frame(FrameFigures {
        frame,
        bytes: bytes.len(),
        encode_micros: encoding.value / ROUNDS as f64,
        decode_micros: decoding.value / ROUNDS as f64,
    });
}

/// Measures all frames.
pub(crate) fn measure(report: &mut CapacityReport) -> anyhow::Result<()> {
    add(report, "entry: dispatch with a body of one message", &dispatch(1));
    add(
        report,
        "entry: credit",
        &EntryFrame::Credit {
            call: call(),
            bytes: 65_536,
        },
    );
    add(report, "entry: settled", &EntryFrame::Settled { call: call() });
    add(report, "entry: ping", &EntryFrame::Ping { nonce: u64::MAX });
    add_side(report)?;
    add_peer(report);
    measure_tokens(report);
    measure_bodies(report);
    measure_lists(report);
    Ok(())
}

fn add_side(report: &mut CapacityReport) -> anyhow::Result<()> {
    let answer = |frame| SideFrame::Answer(frame);
    add(
        report,
        "side: accepted",
        &answer(AnswerFrame::Accepted { call: call() }),
    );
    let head = AnswerHead {
        status: 200,
        headers: Vec::new(),
    };
    add(
        report,
        "side: head",
        &answer(AnswerFrame::Head { call: call(), head }),
    );
    add(report, "side: chunk of one token", &answer(chunk(1)));
    let end = AnswerFrame::End {
        call: call(),
        length: 58_800,
        usage: CallUsage {
            prompt_tokens: 100_000,
            cached_tokens: 90_000,
            output_tokens: 294,
        },
    };
    add(report, "side: end", &answer(end));
    let problem = ProblemReport::not_run(ProblemCode::Overloaded, "the queue is full");
    add(
        report,
        "side: failed",
        &answer(AnswerFrame::Failed {
            call: call(),
            problem,
        }),
    );
    add(
        report,
        "side: load of one target",
        &SideFrame::Load(vec![load_report()]),
    );
    let event = CacheEvent {
        target: target(),
        sequence: 1_000_000,
        program: program(7),
        held_tokens: 100_000,
    };
    add(report, "side: one cache event", &SideFrame::Cache(vec![event]));
    let kind = TargetKind::Engine {
        models: vec![ModelName::parse("kalo-7b")?],
    };
    let welcome = SideFrame::Welcome {
        domain: DomainName::parse("viti-west-a")?,
        targets: vec![TargetReport {
            target: target(),
            kind,
            slots: 24,
            checks_fencing: true,
        }],
        is_draining: false,
    };
    add(report, "side: welcome", &welcome);
    add(
        report,
        "side: configuration in force",
        &SideFrame::ConfigInForce(status()),
    );
    add(report, "side: pong", &SideFrame::Pong { nonce: u64::MAX });
    Ok(())
}

fn add_peer(report: &mut CapacityReport) {
    let forward = PeerFrame::Forward(Box::new(request(call(), Bytes::from(chat_body(1)))));
    add(report, "peer: forward with a body of one message", &forward);
    add(report, "peer: presence with one shard", &presence(1));
    add(
        report,
        "peer: one configuration in force",
        &PeerFrame::ConfigInForce(vec![status()]),
    );
    add(report, "peer: ping", &PeerFrame::Ping { nonce: u64::MAX });
    add(report, "peer: pong", &PeerFrame::Pong { nonce: u64::MAX });
}

fn status() -> ConfigStatus {
    ConfigStatus {
        process: "side-kalo-engine-00001".to_owned(),
        version: 1_000_000,
    }
}

fn dispatch(turn: usize) -> EntryFrame {
    let mut request = request(call(), Bytes::from(chat_body(turn)));
    request.program = Some(program(7));
    EntryFrame::Dispatch(Box::new(DispatchOrder {
        request,
        target: target(),
        session: SessionId::from_bytes([7; 16]),
        token: FencingToken(7),
        rank: QueueRank::default(),
    }))
}

fn chunk(tokens: usize) -> AnswerFrame {
    AnswerFrame::Chunk {
        call: call(),
        offset: 29_400,
        bytes: Bytes::from(TOKEN_EVENT.repeat(tokens)),
    }
}

fn presence(shards: usize) -> PeerFrame {
    let claim = |number| ShardClaim {
        shard: ShardKey(number as u16),
        epoch: FencingToken(1_000),
    };
    PeerFrame::Presence {
        session: Some(SessionId::from_bytes([7; 16])),
        is_draining: false,
        shards: (0..shards).map(claim).collect(),
    }
}

fn measure_tokens(report: &mut CapacityReport) {
    let sizes = CHUNK_TOKENS.map(|tokens| once(tokens, encode_frame(&chunk(tokens)).len() as f64));
    let times = CHUNK_TOKENS.map(|tokens| both_ways(tokens, &chunk(tokens)));
    report.add("wire: a chunk of an answer", ("token", "bytes"), sizes.to_vec());
    report.add(
        "wire: encoding and decoding a chunk",
        ("token", "µs"),
        times.to_vec(),
    );
}

fn measure_bodies(report: &mut CapacityReport) {
    let times = TURNS.map(|turn| both_ways(chat_body(turn).len(), &dispatch(turn)));
    report.add(
        "wire: encoding and decoding a dispatch",
        ("byte of body", "µs"),
        times.to_vec(),
    );
}

fn both_ways<T: Serialize + DeserializeOwned>(size: usize, message: &T) -> SizePoint {
    repeat(size, || {
        let time = cpu_micros(|| {
            for _ in 0..ROUNDS {
                let bytes = encode_frame(message);
                assert!(std::hint::black_box(decode::<T>(&bytes)).is_ok());
            }
        });
        time / ROUNDS as f64
    })
}

fn measure_lists(report: &mut CapacityReport) {
    let vouch = |count| EntryFrame::Vouch {
        programs: (0..count).map(program).collect(),
    };
    let vouches = ITEMS.map(|count| once(count, encode_frame(&vouch(count)).len() as f64));
    report.add(
        "wire: a list of programs to vouch for",
        ("program", "bytes"),
        vouches.to_vec(),
    );
    let presences = ITEMS.map(|count| once(count, encode_frame(&presence(count)).len() as f64));
    report.add(
        "wire: presence of an entry",
        ("shard", "bytes"),
        presences.to_vec(),
    );
}
