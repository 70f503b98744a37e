//! Measures the encoded size of link frames, and the time to encode and decode them.

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
use crate::owner_bench::{chat_body, chat_request, program_id};
use crate::policy::load_report;
use crate::report::{CapacityReport, FrameCost};
use crate::sample::{cpu_micros, repeat_measurement, single_sample};

/// Encodings or decodings per repetition.
const ITERATIONS: usize = 2_000;

/// Turns of conversation in the body of a dispatched call.
const TURN_COUNTS: [usize; 4] = [1, 21, 42, 84];

/// Tokens in a chunk. An engine sends one event for each token.
const CHUNK_TOKEN_COUNTS: [usize; 4] = [1, 4, 16, 64];

/// Items in the list of a variable-length frame.
const ITEM_COUNTS: [usize; 4] = [1, 64, 256, 846];

/// The event of one token of five characters, in the format in which engines stream it.
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

fn add_frame<T: Serialize + DeserializeOwned>(report: &mut CapacityReport, frame: &'static str, message: &T) {
    let bytes = encode_frame(message);
    let encoding = repeat_measurement(1, || {
        cpu_micros(|| (0..ITERATIONS).all(|_| !std::hint::black_box(encode_frame(message)).is_empty()))
    });
    let decoding = repeat_measurement(1, || {
        cpu_micros(|| (0..ITERATIONS).all(|_| std::hint::black_box(decode::<T>(&bytes)).is_ok()))
    });
    report.add_frame(FrameCost {
        frame,
        bytes: bytes.len(),
        encode_micros: encoding.value / ITERATIONS as f64,
        decode_micros: decoding.value / ITERATIONS as f64,
    });
}

pub(crate) fn measure(report: &mut CapacityReport) -> anyhow::Result<()> {
    add_frame(report, "entry: dispatch with a body of one message", &dispatch(1));
    add_frame(
        report,
        "entry: credit",
        &EntryFrame::Credit {
            call: call(),
            bytes: 65_536,
        },
    );
    add_frame(report, "entry: settled", &EntryFrame::Settled { call: call() });
    add_frame(report, "entry: ping", &EntryFrame::Ping { nonce: u64::MAX });
    add_side_frames(report)?;
    add_peer_frames(report);
    measure_chunks(report);
    measure_bodies(report);
    measure_lists(report);
    Ok(())
}

fn add_side_frames(report: &mut CapacityReport) -> anyhow::Result<()> {
    let answer = |frame| SideFrame::Answer(frame);
    add_frame(
        report,
        "side: accepted",
        &answer(AnswerFrame::Accepted { call: call() }),
    );
    let head = AnswerHead {
        status: 200,
        headers: Vec::new(),
    };
    add_frame(
        report,
        "side: head",
        &answer(AnswerFrame::Head { call: call(), head }),
    );
    add_frame(report, "side: chunk of one token", &answer(chunk(1)));
    let end = AnswerFrame::End {
        call: call(),
        length: 58_800,
        usage: CallUsage {
            prompt_tokens: 100_000,
            cached_tokens: 90_000,
            output_tokens: 294,
        },
    };
    add_frame(report, "side: end", &answer(end));
    let problem = ProblemReport::not_run(ProblemCode::Overloaded, "the queue is full");
    add_frame(
        report,
        "side: failed",
        &answer(AnswerFrame::Failed {
            call: call(),
            problem,
        }),
    );
    add_frame(
        report,
        "side: load of one target",
        &SideFrame::Load(vec![load_report()]),
    );
    let event = CacheEvent {
        target: target(),
        sequence: 1_000_000,
        program: program_id(7),
        held_tokens: 100_000,
    };
    add_frame(report, "side: one cache event", &SideFrame::Cache(vec![event]));
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
    add_frame(report, "side: welcome", &welcome);
    add_frame(
        report,
        "side: configuration in force",
        &SideFrame::ConfigInForce(status()),
    );
    add_frame(report, "side: pong", &SideFrame::Pong { nonce: u64::MAX });
    Ok(())
}

fn add_peer_frames(report: &mut CapacityReport) {
    let forward = PeerFrame::Forward(Box::new(chat_request(call(), Bytes::from(chat_body(1)))));
    add_frame(report, "peer: forward with a body of one message", &forward);
    add_frame(report, "peer: presence with one shard", &presence(1));
    add_frame(
        report,
        "peer: one configuration in force",
        &PeerFrame::ConfigInForce(vec![status()]),
    );
    add_frame(report, "peer: ping", &PeerFrame::Ping { nonce: u64::MAX });
    add_frame(report, "peer: pong", &PeerFrame::Pong { nonce: u64::MAX });
}

fn status() -> ConfigStatus {
    ConfigStatus {
        process: "side-kalo-engine-00001".to_owned(),
        version: 1_000_000,
    }
}

fn dispatch(turn: usize) -> EntryFrame {
    let mut request = chat_request(call(), Bytes::from(chat_body(turn)));
    request.program = Some(program_id(7));
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

fn measure_chunks(report: &mut CapacityReport) {
    let sizes =
        CHUNK_TOKEN_COUNTS.map(|tokens| single_sample(tokens, encode_frame(&chunk(tokens)).len() as f64));
    let times = CHUNK_TOKEN_COUNTS.map(|tokens| time_round_trip(tokens, &chunk(tokens)));
    report.add("wire: a chunk of an answer", ("token", "bytes"), sizes.to_vec());
    report.add(
        "wire: encoding and decoding a chunk",
        ("token", "µs"),
        times.to_vec(),
    );
}

fn measure_bodies(report: &mut CapacityReport) {
    let times = TURN_COUNTS.map(|turn| time_round_trip(chat_body(turn).len(), &dispatch(turn)));
    report.add(
        "wire: encoding and decoding a dispatch",
        ("byte of body", "µs"),
        times.to_vec(),
    );
}

fn time_round_trip<T: Serialize + DeserializeOwned>(size: usize, message: &T) -> SizePoint {
    repeat_measurement(size, || {
        let time = cpu_micros(|| {
            for _ in 0..ITERATIONS {
                let bytes = encode_frame(message);
                assert!(std::hint::black_box(decode::<T>(&bytes)).is_ok());
            }
        });
        time / ITERATIONS as f64
    })
}

fn measure_lists(report: &mut CapacityReport) {
    let vouch = |count| EntryFrame::Vouch {
        programs: (0..count).map(program_id).collect(),
    };
    let vouches = ITEM_COUNTS.map(|count| single_sample(count, encode_frame(&vouch(count)).len() as f64));
    report.add(
        "wire: a list of programs to vouch for",
        ("program", "bytes"),
        vouches.to_vec(),
    );
    let presences =
        ITEM_COUNTS.map(|count| single_sample(count, encode_frame(&presence(count)).len() as f64));
    report.add(
        "wire: presence of an entry",
        ("shard", "bytes"),
        presences.to_vec(),
    );
}
