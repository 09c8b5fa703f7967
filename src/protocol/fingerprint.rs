//! Fingerprints: what the attempts of callers at the same request have in common.

use {
    sha2::{Digest, Sha256},
    std::{fmt, num::ParseIntError, str::FromStr},
};

/// Fingerprint of a request, the same on all hosts. A caller can't find two requests with the
/// same fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Returns the fingerprint of a request with these parts, in this order.
    #[must_use]
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            // With its length, so that the end of one part can't move into the next.
            hasher.update(part.len().to_be_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let bytes = digest.iter().take(16);
        Self(bytes.fold(0, |value, byte| value << 8 | u128::from(*byte)))
    }

    /// Returns a number from 0 to 1 that differs between requests and is the same on all hosts.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(u32::try_from(self.0 >> 96).unwrap_or(u32::MAX)) / f64::from(u32::MAX)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}
