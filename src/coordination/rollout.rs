//! The configuration record: the document in force with the history of its changes.
//!
//! Document and history are one value in the platform's store, written by one
//! compare-and-swap, so that the audit trail can't disagree with the document.

use {
    crate::{
        collections::Name,
        declaration::{Declaration, Problems},
    },
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::{
        fmt,
        io::{self, Read, Write},
    },
    zstd::stream::{Decoder, Encoder},
};

/// Largest number of changes kept beside the document. Beyond it, the older half is written
/// to an archive first and then dropped from the record.
pub const MAX_CHANGES: usize = 200;

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Id that the submitter chose, by which it recognises its own change.
    pub id: Name,
    /// Revision that it created.
    pub revision: u64,
    /// Revision that it was based on.
    pub base: u64,
    /// Who submitted it.
    pub who: String,
    /// Reason for the change.
    pub why: String,
    /// When it was accepted, milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// The configuration as one value in the platform's store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Revision in force; 0 for none.
    pub revision: u64,
    /// The document, YAML.
    pub document: String,
    /// Latest changes, oldest first.
    pub changes: Vec<ChangeRecord>,
    /// Number of archives of older changes.
    #[serde(default)]
    pub archives: u64,
}

/// A document that an operator submits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Id chosen by the submitter, new for each change.
    pub id: Name,
    /// Revision that the document was made from.
    pub base: u64,
    /// Who submits it.
    pub who: String,
    /// Reason for the change.
    pub why: String,
    /// The document, YAML.
    pub document: String,
}

/// The outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmissionOutcome {
    /// The submission is accepted and gives this record.
    Accept(Record),
    /// The submission was accepted before, as this revision. The submitter sends it again
    /// when the first response was lost.
    AlreadyAccepted(u64),
    /// Another change was accepted on the same base before.
    Conflict(Conflict),
    /// The document is invalid.
    Invalid(Problems),
}

/// The change that a submission conflicts with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Revision in force.
    pub revision: u64,
    /// The change that was accepted on the same base, unless it is archived.
    pub lost_to: Option<ChangeRecord>,
}

impl fmt::Display for Conflict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "revision {} is in force", self.revision)?;
        match &self.lost_to {
            Some(change) => write!(
                formatter,
                "; change {} by {} came first: {}",
                change.id, change.who, change.why
            ),
            None => Ok(()),
        }
    }
}

impl Record {
    /// Parses a record from its JSON form in the store.
    ///
    /// # Errors
    ///
    /// Fails when the value is not a record.
    pub fn parse(value: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(value)
    }

    /// Returns the JSON form of the record for the store.
    ///
    /// # Panics
    ///
    /// Never: every field has a JSON form.
    #[must_use]
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).expect("a record has a JSON form")
    }

    /// Returns whether this record, from the store, lacks changes of `known`, which was in
    /// force: the store was restored from an older copy since.
    #[must_use]
    pub fn has_lost(&self, known: &Self) -> bool {
        let Some(last) = known.changes.last() else {
            return false;
        };
        match self.change(known.revision) {
            Some(change) => change.id != last.id,
            // A change that is archived is not lost.
            None => self.revision < known.revision,
        }
    }

    /// Returns this record with the changes of `known` that it has lost. Changes that were
    /// accepted since, on the older copy, follow them under new revisions: daemons that have
    /// `known` ignore revisions that they have.
    #[must_use]
    pub fn recover(&self, known: &Self) -> Self {
        let mut record = known.clone();
        let oldest = known.changes.first().map_or(0, |change| change.revision);
        let is_known = |change: &ChangeRecord| {
            change.revision < oldest || known.changes.iter().any(|known| known.id == change.id)
        };
        for change in self.changes.iter().filter(|change| !is_known(change)) {
            record.revision += 1;
            record.changes.push(ChangeRecord {
                revision: record.revision,
                ..change.clone()
            });
            record.document.clone_from(&self.document);
        }
        record
    }

    /// Returns the outcome of `submission` against this record.
    #[must_use]
    pub fn evaluate(&self, submission: &Submission, at_ms: u64) -> SubmissionOutcome {
        if let Some(change) = self
            .changes
            .iter()
            .find(|change| change.id == submission.id)
        {
            return SubmissionOutcome::AlreadyAccepted(change.revision);
        }
        if submission.base != self.revision {
            return SubmissionOutcome::Conflict(Conflict {
                revision: self.revision,
                lost_to: self.change(submission.base + 1).cloned(),
            });
        }
        if let Err(problems) = Declaration::parse(&submission.document) {
            return SubmissionOutcome::Invalid(problems);
        }
        SubmissionOutcome::Accept(self.with_change(submission, at_ms))
    }

    fn with_change(&self, submission: &Submission, at_ms: u64) -> Self {
        let revision = self.revision + 1;
        let mut changes = self.changes.clone();
        changes.push(ChangeRecord {
            id: submission.id.clone(),
            revision,
            base: submission.base,
            who: submission.who.clone(),
            why: submission.why.clone(),
            at_ms,
        });
        Self {
            revision,
            document: submission.document.clone(),
            changes,
            archives: self.archives,
        }
    }

    /// Splits off the older half of the changes when there are more than [`MAX_CHANGES`].
    /// Returns the number and content of the archive, which is written first, and the
    /// record without these changes.
    #[must_use]
    pub fn split_archive(&self) -> Option<(u64, Vec<ChangeRecord>, Self)> {
        if self.changes.len() <= MAX_CHANGES {
            return None;
        }
        let (old, kept) = self.changes.split_at(MAX_CHANGES / 2);
        let record = Self {
            changes: kept.to_vec(),
            archives: self.archives + 1,
            ..self.clone()
        };
        Some((self.archives, old.to_vec(), record))
    }

    /// Returns the change that created `revision`, unless it is archived.
    #[must_use]
    pub fn change(&self, revision: u64) -> Option<&ChangeRecord> {
        self.changes
            .iter()
            .find(|change| change.revision == revision)
    }
}

/// A record as daemons send it: compressed, and as the difference from an earlier record
/// where the receiver has that.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PackedRecord {
    /// Revision of the record.
    pub revision: u64,
    /// Revision of the record that this is the difference from; 0 when it is whole.
    pub base: u64,
    /// Compressed value.
    pub bytes: Bytes,
}

/// Compression level of zstd.
const ZSTD_LEVEL: i32 = 3;

/// Binary logarithm of the distance over which zstd finds repetitions, bytes.
const WINDOW_LOG: u32 = 24;

/// Largest record that is unpacked, bytes.
const MAX_RECORD_BYTES: u64 = 16 << 20;

impl PackedRecord {
    /// Packs a record's value; `base` is an earlier record that the receiver has.
    ///
    /// # Errors
    ///
    /// Fails when the compression fails.
    pub fn new(revision: u64, value: &[u8], base: Option<(u64, &[u8])>) -> io::Result<Self> {
        let (base, prefix) = base.unwrap_or_default();
        let mut encoder = Encoder::with_ref_prefix(Vec::new(), ZSTD_LEVEL, prefix)?;
        encoder.window_log(WINDOW_LOG)?;
        encoder.long_distance_matching(true)?;
        encoder.write_all(value)?;
        Ok(Self {
            revision,
            base,
            bytes: encoder.finish()?.into(),
        })
    }

    /// Unpacks the record's value; `base` is the value of the record of revision
    /// `self.base`.
    ///
    /// # Errors
    ///
    /// Fails when the bytes were not packed by [`PackedRecord::new`] with that base, or when the
    /// value is larger than 16 MiB (`MAX_RECORD_BYTES`).
    pub fn open(&self, base: &[u8]) -> io::Result<Bytes> {
        let prefix = if self.base == 0 { &[] } else { base };
        let mut decoder = Decoder::with_ref_prefix(&*self.bytes, prefix)?;
        decoder.window_log_max(WINDOW_LOG)?;
        let mut value = Vec::new();
        decoder.take(MAX_RECORD_BYTES + 1).read_to_end(&mut value)?;
        if value.len() as u64 > MAX_RECORD_BYTES {
            return Err(io::Error::other(format!(
                "record is larger than {MAX_RECORD_BYTES} bytes"
            )));
        }
        Ok(value.into())
    }
}

/// Largest number of children of a member in the tree along which a value is pushed.
pub const PUSH_FAN_OUT: usize = 3;

/// Returns the members that `own_id` pushes a new value to.
///
/// `ids` are all members. They are ranked by a hash seeded with `salt` (a revision or
/// epoch), so that the work of the upper ranks moves between members from value to value. A
/// member that read the value from the store also sends it to the root of the tree.
#[must_use]
pub fn push_children(ids: &[Name], own_id: &str, salt: u64, from_store: bool) -> Vec<Name> {
    let mut ranked: Vec<&Name> = ids.iter().collect();
    ranked.sort_by_key(|id| xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), salt));
    let Some(rank) = ranked.iter().position(|id| ***id == *own_id) else {
        return Vec::new();
    };
    let first = rank * PUSH_FAN_OUT + 1;
    let mut children: Vec<Name> = ranked
        .iter()
        .skip(first)
        .take(PUSH_FAN_OUT)
        .map(|id| (*id).clone())
        .collect();
    if from_store && rank != 0 {
        children.push(ranked[0].clone());
    }
    children
}
