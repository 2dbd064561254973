//! Monotonic and wall-clock time of the input that is being handled.

use crate::model::Ms;

/// Monotonic time and wall-clock time that the driver passed with the latest input.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    now: Ms,
    wall: Ms,
    started: Ms,
}

impl Clock {
    /// Creates the clock of a process that starts at this monotonic time.
    pub fn new(now: Ms) -> Clock {
        Clock { now, wall: 0, started: now }
    }

    /// Advances to the times of the next input. A monotonic time that steps back is ignored,
    /// so that ages never become negative.
    pub fn advance(&mut self, now: Ms, wall: Ms) {
        self.now = self.now.max(now);
        self.wall = wall;
    }

    /// Current monotonic time.
    pub fn now(&self) -> Ms {
        self.now
    }

    /// Current wall-clock time, in milliseconds since the Unix epoch.
    pub fn wall(&self) -> Ms {
        self.wall
    }

    /// Monotonic time at which this process started.
    pub fn started(&self) -> Ms {
        self.started
    }
}
