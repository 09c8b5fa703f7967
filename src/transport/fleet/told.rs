//! Entries as they are told to other hosts: made ready once, however many they go to.

use {
    crate::{
        protocol::generated::{ChangedEntry, Entries},
        transport::registry::Entry,
    },
    bytes::Bytes,
    prost::Message,
    std::{io, sync::OnceLock},
};

/// Bytes of entries from which they are compressed: less costs more time than its bytes do.
const LEAST_PACKED: usize = 4 << 10;

/// Entries compress to a tenth at the fastest level, since they repeat each other's names.
const LEVEL: i32 = 1;

/// Largest size of entries that are unpacked, bytes: thousands of leaves with some hundred
/// bytes each.
const UNPACKED_LIMIT: usize = 32 << 20;

/// Entries, and the form in which other hosts get them.
#[derive(Debug, Default)]
pub struct Told {
    entries: Vec<Entry>,
    ready: OnceLock<Ready>,
}

/// Entries on the wire.
#[derive(Clone, Debug)]
pub enum Ready {
    /// As they are.
    Plain(Vec<ChangedEntry>),
    /// Compressed.
    Packed(Bytes),
}

impl Told {
    /// Returns `entries` to be told.
    #[must_use]
    pub fn new(entries: Vec<Entry>) -> Self {
        Self {
            entries,
            ready: OnceLock::new(),
        }
    }

    /// Returns the entries.
    #[must_use]
    pub fn get(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns them as other hosts get them.
    #[must_use]
    pub fn ready(&self) -> &Ready {
        self.ready.get_or_init(|| {
            let entries = self.entries.iter().map(|entry| ChangedEntry {
                key: entry.key.to_string(),
                value: entry.value.clone(),
            });
            let plain = Entries {
                entries: entries.collect(),
            };
            if plain.encoded_len() < LEAST_PACKED {
                return Ready::Plain(plain.entries);
            }
            match zstd::bulk::compress(&plain.encode_to_vec(), LEVEL) {
                Ok(packed) => Ready::Packed(packed.into()),
                Err(_) => Ready::Plain(plain.entries),
            }
        })
    }
}

impl Ready {
    /// Returns the two fields of a message that hold them, one of them empty.
    #[must_use]
    pub fn into_fields(self) -> (Vec<ChangedEntry>, Bytes) {
        match self {
            Self::Plain(entries) => (entries, Bytes::new()),
            Self::Packed(packed) => (Vec::new(), packed),
        }
    }
}

/// Returns the entries of a [`Ready::Packed`].
///
/// # Errors
///
/// Fails when they can't be read or are too many.
pub fn unpack(packed: &[u8]) -> io::Result<Vec<ChangedEntry>> {
    let plain = zstd::bulk::decompress(packed, UNPACKED_LIMIT)?;
    let plain = Entries::decode(&*plain).map_err(io::Error::other)?;
    Ok(plain.entries)
}
