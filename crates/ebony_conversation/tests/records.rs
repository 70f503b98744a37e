//! Records of turns beside processes of the build before, whose records have no customer.

use bytes::Bytes;
use ebony_conversation::TurnRecord;
use ebony_types::{CustomerName, ProgramName, TurnName};
use serde::{Deserialize, Serialize};

/// The record of the build before.
#[derive(Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct EarlierRecord {
    #[serde(rename = "p")]
    program: Option<ProgramName>,
    #[serde(rename = "a")]
    ancestors: Vec<TurnName>,
    #[serde(rename = "c")]
    content: Bytes,
}

fn encode(record: &EarlierRecord) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(record, &mut bytes).expect("writing to memory does not fail");
    bytes
}

fn records() -> (EarlierRecord, TurnRecord) {
    let earlier = EarlierRecord {
        program: ProgramName::parse("p1").ok(),
        ancestors: vec![TurnName::parse("t1").expect("a name")],
        content: Bytes::from_static(b"question\nanswer\n"),
    };
    let record = TurnRecord {
        program: earlier.program.clone(),
        ancestors: earlier.ancestors.clone(),
        content: earlier.content.clone(),
        customer: None,
    };
    (earlier, record)
}

/// Guards against an upgrade that loses the conversations under way.
#[test]
fn records_of_the_build_before_have_no_customer() {
    let (earlier, record) = records();
    assert_eq!(TurnRecord::from_bytes(&encode(&earlier)), Ok(record));
}

/// Guards against records that processes of the build before cannot read, and against different rows for the same turn,
/// which would count as another turn of the same name.
#[test]
fn the_build_before_reads_all_records() {
    let (earlier, record) = records();
    assert_eq!(record.to_bytes(), encode(&earlier));
    let lali = CustomerName::parse("lali").expect("a name");
    let owned = record.with_customer(Some(&lali));
    let bytes = owned.to_bytes();
    let read: EarlierRecord = ciborium::from_reader(&*bytes).expect("the record can be read");
    assert_eq!(read, earlier);
    assert_eq!(TurnRecord::from_bytes(&bytes), Ok(owned));
}

/// Guards against a customer that is taken for none because its name cannot be read.
#[test]
fn a_record_with_an_invalid_customer_is_malformed() {
    #[derive(Serialize)]
    struct OwnedRecord {
        p: Option<ProgramName>,
        a: Vec<TurnName>,
        c: Bytes,
        o: &'static str,
    }
    let record = OwnedRecord {
        p: None,
        a: Vec::new(),
        c: Bytes::new(),
        o: "a\r\nb",
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&record, &mut bytes).expect("writing to memory does not fail");
    assert!(TurnRecord::from_bytes(&bytes).is_err());
}
