//! Timer service: one periodic tick to which the tasks of a daemon subscribe.
//!
//! A tick that comes far too late means that the process or its host was frozen. The tick
//! carries that to the subscribers, since state from before the freeze (leases, the state
//! of targets) may no longer be valid.

use {
    crate::clock::Millis,
    std::time::Duration,
    tokio::{
        sync::watch,
        time::{MissedTickBehavior, interval},
    },
};

/// Interval between ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Lateness of a tick beyond which the process is taken to have been frozen.
pub const FREEZE_THRESHOLD: Duration = Duration::from_millis(500);

/// One tick of the timer service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tick {
    /// Time of the tick.
    pub now: Millis,
    /// Number of freezes since the start.
    pub freezes: u64,
}

/// Publishes ticks to subscribers.
#[derive(Clone, Debug)]
pub struct Timer {
    ticks: watch::Receiver<Tick>,
}

/// Receives the ticks for one task, at most one per `period`.
#[derive(Debug)]
pub struct Subscription {
    ticks: watch::Receiver<Tick>,
    period: Duration,
    last: Tick,
}

/// A tick as one subscriber receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubscriberTick {
    /// Time of the tick.
    pub now: Millis,
    /// True if the process was frozen since the subscriber's last tick.
    pub was_frozen: bool,
}

impl Timer {
    /// Starts the service on the current Tokio runtime.
    #[must_use]
    pub fn start() -> Self {
        let (sender, ticks) = watch::channel(Tick {
            now: Millis::now(),
            freezes: 0,
        });
        tokio::spawn(async move {
            let mut interval = interval(TICK_INTERVAL);
            interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
            while !sender.is_closed() {
                interval.tick().await;
                sender.send_modify(|tick| *tick = tick.next(Millis::now()));
            }
        });
        Self { ticks }
    }

    /// Returns a subscription that yields at most one tick per `period`.
    #[must_use]
    pub fn subscribe(&self, period: Duration) -> Subscription {
        Subscription {
            ticks: self.ticks.clone(),
            period,
            last: *self.ticks.borrow(),
        }
    }
}

impl Tick {
    /// Returns the tick at `now` that follows this one.
    #[must_use]
    pub fn next(self, now: Millis) -> Self {
        let was_frozen = now.since(self.now) > TICK_INTERVAL + FREEZE_THRESHOLD;
        Self {
            now,
            freezes: self.freezes + u64::from(was_frozen),
        }
    }
}

impl Subscription {
    /// Waits until `period` has passed since the last tick, or until the first tick after a
    /// freeze; `None` when the service has ended.
    pub async fn next_tick(&mut self) -> Option<SubscriberTick> {
        loop {
            self.ticks.changed().await.ok()?;
            let tick = *self.ticks.borrow_and_update();
            let was_frozen = tick.freezes != self.last.freezes;
            if was_frozen || tick.now.since(self.last.now) >= self.period {
                self.last = tick;
                return Some(SubscriberTick {
                    now: tick.now,
                    was_frozen,
                });
            }
        }
    }
}
