//! Submission of documents by operators.

use {
    super::Coordinator,
    crate::{
        clock::unix_ms,
        coordination::rollout::{ChangeRecord, Conflict, Record, Submission, SubmissionOutcome},
        declaration::Problems,
        transport::store::{Store, StoreError, Versioned},
    },
    bytes::Bytes,
    slog::{info, warn},
};

/// Attempts at one submission when the store's replies are lost or others write in between.
const MAX_ATTEMPTS: usize = 6;

/// Outcome of a submission.
#[derive(Debug)]
pub enum Submitted {
    /// The document is accepted as this revision.
    Accepted(u64),
    /// Another change was accepted first.
    Conflict(Conflict),
    /// The document is invalid.
    Invalid(Problems),
    /// The store can't be reached; nothing was written.
    Unavailable(StoreError),
    /// The store's replies were lost, so that the change may be in force. Submitting it
    /// again under the same id determines whether it is.
    Unknown,
}

impl<S: Store> Coordinator<S> {
    /// Submits a document.
    pub async fn submit(&self, submission: &Submission) -> Submitted {
        let mut may_be_written = false;
        for _ in 0..MAX_ATTEMPTS {
            let (version, record) = match self.read_record().await {
                Ok(found) => found,
                Err(_) if may_be_written => continue,
                Err(error) => return Submitted::Unavailable(error),
            };
            let next = match record.evaluate(submission, unix_ms()) {
                SubmissionOutcome::Accept(next) => next,
                SubmissionOutcome::AlreadyAccepted(revision) => {
                    self.apply_record(&Bytes::from(record.to_value()));
                    return Submitted::Accepted(revision);
                }
                SubmissionOutcome::Conflict(conflict) => return Submitted::Conflict(conflict),
                SubmissionOutcome::Invalid(problems) => return Submitted::Invalid(problems),
            };
            match self.write_record(version, next).await {
                Ok(revision) => {
                    info!(self.shared.log, "rollout: change accepted"; "revision" => revision,
                        "change" => &*submission.id, "who" => &submission.who,
                        "why" => &submission.why);
                    return Submitted::Accepted(revision);
                }
                Err(StoreError::Conflict) => {}
                Err(StoreError::Unknown) => may_be_written = true,
                Err(error) => return Submitted::Unavailable(error),
            }
        }
        Submitted::Unknown
    }

    /// Reads the record and its version in the store. Changes that this daemon has and the
    /// store has lost are added.
    async fn read_record(&self) -> Result<(u64, Record), StoreError> {
        let (version, record) = match self.store.read(&self.declaration_key()).await? {
            Some(entry) => (entry.version, parse_record(&entry)?),
            None => (0, Record::default()),
        };
        let known = self.record();
        let record = if record.has_lost(&known) {
            record.recover(&known)
        } else {
            record
        };
        Ok((version, record))
    }

    /// Writes the changes that this daemon has and the record `entry` of the store has lost
    /// to the store again.
    pub(super) async fn restore_record(&self, entry: &Versioned) {
        let Ok(record) = parse_record(entry) else {
            return;
        };
        let known = self.record();
        if !record.has_lost(&known) {
            return;
        }
        let recovered = record.recover(&known);
        warn!(self.shared.log, "rollout: store lost changes; writing them again";
            "revision" => record.revision, "known" => known.revision,
            "recovered" => recovered.revision);
        // After a conflict the next watch shows what another daemon has written.
        if let Err(error) = self.write_record(entry.version, recovered).await {
            warn!(self.shared.log, "rollout: lost changes can't be written"; "error" => %error);
        }
    }

    async fn write_record(&self, version: u64, next: Record) -> Result<u64, StoreError> {
        let next = match next.split_archive() {
            Some((number, old, shorter)) => {
                self.write_archive(number, &old).await?;
                shorter
            }
            None => next,
        };
        let value = next.to_value();
        let key = self.declaration_key();
        self.store.write(&key, version, value.clone()).await?;
        self.apply_record(&Bytes::from(value));
        Ok(next.revision)
    }

    /// Writes an archive of old changes. A conflict is a success: an earlier attempt wrote
    /// the archive, and archives never change.
    async fn write_archive(&self, number: u64, old: &[ChangeRecord]) -> Result<(), StoreError> {
        let value = serde_json::to_string(old).map_err(|_| StoreError::TooLarge)?;
        match self.store.write(&self.archive_key(number), 0, value).await {
            Ok(_) | Err(StoreError::Conflict) => Ok(()),
            Err(error) => Err(error),
        }
    }

    fn archive_key(&self, number: u64) -> String {
        format!("{}.changes.{number}", self.shared.settings.cluster)
    }

    /// Returns the audit trail, oldest change first, with the archives of the store if
    /// `all` is set.
    ///
    /// # Errors
    ///
    /// Fails if the archives can't be read.
    pub async fn history(&self, all: bool) -> Result<Vec<ChangeRecord>, StoreError> {
        let record = self.record();
        let mut changes = Vec::new();
        for number in (0..record.archives).filter(|_| all) {
            if let Some(entry) = self.store.read(&self.archive_key(number)).await? {
                let old: Vec<ChangeRecord> =
                    serde_json::from_str(&entry.value).map_err(|_| StoreError::Unavailable)?;
                changes.extend(old);
            }
        }
        changes.extend(record.changes);
        Ok(changes)
    }
}

fn parse_record(entry: &Versioned) -> Result<Record, StoreError> {
    Record::parse(entry.value.as_bytes()).map_err(|_| StoreError::Unavailable)
}
