//! The times of the input that is being handled.

use crate::model::Ms;

/// Steady time and time of day, as the driver last told them.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    now: Ms,
    wall: Ms,
    started: Ms,
}

impl Clock {
    /// The clock of a process that starts at this steady time.
    pub fn new(now: Ms) -> Clock {
        Clock { now, wall: 0, started: now }
    }

    /// Moves on to the times of the next input. Steady time that steps back is ignored:
    /// it must not make ages negative.
    pub fn advance(&mut self, now: Ms, wall: Ms) {
        self.now = self.now.max(now);
        self.wall = wall;
    }

    /// Steady time.
    pub fn now(&self) -> Ms {
        self.now
    }

    /// Time of day, in milliseconds since the epoch.
    pub fn wall(&self) -> Ms {
        self.wall
    }

    /// Steady time at which this process started.
    pub fn started(&self) -> Ms {
        self.started
    }
}
