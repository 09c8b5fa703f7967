//! Merge of the replies of many shards.

use bytes::{Bytes, BytesMut};

/// Length of a record, bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the greatest `limit` records of `bodies`, greatest first, duplicates included.
/// A remainder shorter than a record is ignored.
#[must_use]
pub fn merge_greatest<'a>(bodies: impl Iterator<Item = &'a Bytes>, limit: usize) -> Bytes {
    let mut records: Vec<&[u8]> = bodies
        .flat_map(|body| body.chunks_exact(RECORD_BYTES))
        .collect();
    let limit = limit.min(records.len());
    if limit > 0 && limit < records.len() {
        records.select_nth_unstable_by(limit - 1, |left, right| right.cmp(left));
        records.truncate(limit);
    }
    records.sort_unstable_by(|left, right| right.cmp(left));
    let mut merged = BytesMut::with_capacity(limit * RECORD_BYTES);
    for record in records {
        merged.extend_from_slice(record);
    }
    merged.freeze()
}
