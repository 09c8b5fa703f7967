//! Clocks: the process's monotonic time in milliseconds, a monotonic time that counts while the
//! machine is suspended, and Unix time.

use {
    nix::time::{ClockId, clock_gettime},
    std::{
        sync::LazyLock,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Milliseconds on this process's monotonic clock.
///
/// Values of two processes can't be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the current time, counted from the first call in this process.
    #[must_use]
    pub fn now() -> Self {
        static START: LazyLock<tokio::time::Instant> = LazyLock::new(tokio::time::Instant::now);
        Self(millis(START.elapsed()))
    }

    /// Returns the time `duration` later.
    #[must_use]
    pub fn plus(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(millis(duration)))
    }

    /// Returns the time from `earlier` to `self`, zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Time on the machine's monotonic clock that goes on while the machine is suspended.
///
/// Values of two machines can't be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(pub Duration);

impl BootTime {
    /// Returns the current time; `None` if the system doesn't tell it.
    #[must_use]
    pub fn now() -> Option<Self> {
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
        Some(Self(now.into()))
    }

    /// Returns the time from `earlier` to `self`, zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

/// Returns the whole milliseconds in `duration`.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns milliseconds since the Unix epoch, for deadlines that are sent to other
/// processes.
#[must_use]
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, millis)
}
