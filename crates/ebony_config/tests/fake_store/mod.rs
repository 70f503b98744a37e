//! A table service and object store that lose, delay and repeat requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use ebony_config::{
    ChangeRecord, CheckpointRef, ConfigDocument, CurrentRow, EditAction, EditNonce, EditReply, OperatorName,
    RowStamp, WallTime,
};

/// Returns the sample document.
pub(crate) fn sample() -> ConfigDocument {
    let text = include_str!("../common/sample.json");
    ConfigDocument::decode(text.as_bytes()).expect("the sample decodes as a document")
}

/// The fault of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    None,
    /// The request is refused and does not run.
    Refused,
    /// The request is lost and does not run.
    LostRequest,
    /// The request takes effect, and the reply is lost.
    LostReply,
    /// The request takes effect later, and the reply is lost.
    Delayed,
    /// The request takes effect twice, and the second reply arrives.
    Repeated,
}

impl Fault {
    pub(crate) const ALL: [Self; 5] = [
        Self::Refused,
        Self::LostRequest,
        Self::LostReply,
        Self::Delayed,
        Self::Repeated,
    ];
}

#[derive(Default)]
pub(crate) struct FakeStore {
    current: Option<(RowStamp, Arc<ChangeRecord>)>,
    pub(crate) history: BTreeMap<u64, ChangeRecord>,
    pub(crate) objects: BTreeMap<String, Arc<ConfigDocument>>,
    /// The document of every version, from the changes that took effect.
    pub(crate) documents: BTreeMap<u64, Arc<ConfigDocument>>,
    delayed: Vec<EditAction>,
}

impl FakeStore {
    pub(crate) fn empty() -> Self {
        let mut store = Self::default();
        store.documents.insert(0, Arc::default());
        store
    }

    pub(crate) fn with_first_version() -> Self {
        Self::with_document(ConfigDocument {
            version: 1,
            ..sample()
        })
    }

    pub(crate) fn with_document(document: ConfigDocument) -> Self {
        let mut store = Self::default();
        let (version, nonce) = (document.version, EditNonce([0xff; 16]));
        let checkpoint = CheckpointRef { version, nonce };
        let record = ChangeRecord {
            version,
            nonce,
            author: OperatorName::parse("sela").expect("the name is valid"),
            summary: String::new(),
            time: WallTime(1),
            reverts: None,
            checkpoint,
            patch: None,
        };
        let document = Arc::new(document);
        store
            .objects
            .insert(checkpoint.object_key(), Arc::clone(&document));
        store.documents.insert(version, document);
        store.current = Some((RowStamp(version), Arc::new(record)));
        store
    }

    pub(crate) fn current_record(&self) -> &ChangeRecord {
        &self.current.as_ref().expect("there is a version").1
    }

    pub(crate) fn current_row(&self) -> Option<Box<CurrentRow>> {
        let (stamp, record) = self.current.as_ref()?;
        // The record is encoded and decoded, as in a real table.
        let record = ChangeRecord::decode(&record.encode()).expect("an encoded record can be decoded");
        Some(Box::new(CurrentRow {
            stamp: *stamp,
            record,
        }))
    }

    pub(crate) fn newest_version(&self) -> u64 {
        self.current_record().version
    }

    pub(crate) fn newest_document(&self) -> Arc<ConfigDocument> {
        Arc::clone(&self.documents[&self.newest_version()])
    }

    /// Returns history and the newest record.
    pub(crate) fn all_records(&self) -> Vec<ChangeRecord> {
        let mut records: BTreeMap<_, _> = self.history.clone();
        records.insert(self.newest_version(), self.current_record().clone());
        records.into_values().collect()
    }

    pub(crate) fn run(&mut self, action: EditAction, fault: Fault) -> EditReply {
        match fault {
            Fault::None => self.apply(action),
            Fault::Refused => EditReply::NotRun,
            Fault::LostRequest => EditReply::Unknown,
            Fault::LostReply => {
                self.apply(action);
                EditReply::Unknown
            }
            Fault::Delayed => {
                self.delayed.push(action);
                EditReply::Unknown
            }
            Fault::Repeated => {
                self.apply(action.clone());
                self.apply(action)
            }
        }
    }

    /// Runs one of the delayed requests.
    pub(crate) fn deliver_delayed(&mut self, choice: u8) {
        if !self.delayed.is_empty() {
            let action = self.delayed.swap_remove(usize::from(choice) % self.delayed.len());
            self.apply(action);
        }
    }

    pub(crate) fn deliver_all_delayed(&mut self) {
        for action in std::mem::take(&mut self.delayed) {
            self.apply(action);
        }
    }

    fn apply(&mut self, action: EditAction) -> EditReply {
        match action {
            EditAction::ReadCurrent => EditReply::Current(self.current_row()),
            EditAction::ReadHistory(version) => {
                EditReply::History(self.history.get(&version).cloned().map(Box::new))
            }
            EditAction::CreateHistory(record) => self.create_history(&record),
            EditAction::PutCheckpoint { checkpoint, document } => {
                self.objects.insert(checkpoint.object_key(), document);
                EditReply::Done
            }
            EditAction::WriteCurrent { expected, record } => self.write_current(expected, record),
            EditAction::Finish(_) => panic!("an edit that has ended sends no request"),
        }
    }

    fn create_history(&mut self, record: &ChangeRecord) -> EditReply {
        if let Some(present) = self.history.get(&record.version) {
            assert_eq!(present, record, "two records of one version");
            return EditReply::Conflict;
        }
        self.history.insert(record.version, record.clone());
        EditReply::Done
    }

    fn write_current(&mut self, expected: Option<RowStamp>, record: Arc<ChangeRecord>) -> EditReply {
        let stamp = self.current.as_ref().map(|(stamp, _)| *stamp);
        if stamp != expected {
            return EditReply::Conflict;
        }
        let base = &self.documents[&(record.version - 1)];
        let document = match &record.patch {
            Some(patch) => Arc::new(
                patch
                    .apply(base)
                    .expect("a written change applies to the previous version"),
            ),
            None => Arc::clone(&self.objects[&record.checkpoint.object_key()]),
        };
        assert!(
            self.documents.insert(record.version, document).is_none(),
            "a version was written twice"
        );
        self.current = Some((RowStamp(stamp.map_or(1, |stamp| stamp.0 + 1)), record));
        EditReply::Done
    }
}
