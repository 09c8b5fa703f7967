//! Registry entries and their encoding for other hosts, which is made once for all
//! recipients.

use {
    crate::{
        protocol::generated::{ChangedEntry, Entries},
        transport::registry::Entry,
    },
    bytes::Bytes,
    prost::Message,
    std::{io, sync::OnceLock},
};

/// Size of entries from which they are compressed: compressing fewer bytes takes longer than
/// sending them.
const MIN_COMPRESSED_BYTES: usize = 4 << 10;

/// Zstandard's fastest level: entries repeat each other's field names and compress to a
/// tenth with it.
const COMPRESSION_LEVEL: i32 = 1;

/// Largest size of decompressed entries: thousands of leaves with some hundred bytes each.
const MAX_UNPACKED_BYTES: usize = 32 << 20;

/// Entries, and their encoding for other hosts.
#[derive(Debug, Default)]
pub struct EncodedEntries {
    entries: Vec<Entry>,
    encoded: OnceLock<WireEntries>,
}

/// Encoded entries.
#[derive(Clone, Debug)]
pub enum WireEntries {
    /// Uncompressed.
    Plain(Vec<ChangedEntry>),
    /// A Zstandard frame of an [`Entries`] message.
    Packed(Bytes),
}

impl EncodedEntries {
    /// Wraps `entries`; they are encoded on first use.
    #[must_use]
    pub fn new(entries: Vec<Entry>) -> Self {
        Self {
            entries,
            encoded: OnceLock::new(),
        }
    }

    /// Returns the entries.
    #[must_use]
    pub fn get(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the encoded entries: compressed from `MIN_COMPRESSED_BYTES` on.
    #[must_use]
    pub fn encoded(&self) -> &WireEntries {
        self.encoded.get_or_init(|| {
            let entries = self.entries.iter().map(|entry| ChangedEntry {
                key: entry.key.to_string(),
                value: entry.value.clone(),
            });
            let plain = Entries {
                entries: entries.collect(),
            };
            if plain.encoded_len() < MIN_COMPRESSED_BYTES {
                return WireEntries::Plain(plain.entries);
            }
            match zstd::bulk::compress(&plain.encode_to_vec(), COMPRESSION_LEVEL) {
                Ok(packed) => WireEntries::Packed(packed.into()),
                Err(_) => WireEntries::Plain(plain.entries),
            }
        })
    }
}

impl WireEntries {
    /// Returns the `entries` and `packed` fields of a message; one of them is empty.
    #[must_use]
    pub fn into_fields(self) -> (Vec<ChangedEntry>, Bytes) {
        match self {
            Self::Plain(entries) => (entries, Bytes::new()),
            Self::Packed(packed) => (Vec::new(), packed),
        }
    }
}

/// Returns the entries of a [`WireEntries::Packed`].
///
/// # Errors
///
/// Fails when `packed` can't be decoded or decompresses to more than `MAX_UNPACKED_BYTES`.
pub fn unpack(packed: &[u8]) -> io::Result<Vec<ChangedEntry>> {
    let plain = zstd::bulk::decompress(packed, MAX_UNPACKED_BYTES)?;
    let plain = Entries::decode(&*plain).map_err(io::Error::other)?;
    Ok(plain.entries)
}
