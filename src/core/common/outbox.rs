//! What the present input gives rise to, until the driver takes it.

use crate::core::Output;
use crate::wire::peer::Frame;

/// Outputs of the step under way.
#[derive(Debug, Default)]
pub struct Outbox {
    outputs: Vec<Output>,
    /// Frames from this node to itself: the leader may own shards too.
    local_frames: Vec<Frame>,
}

impl Outbox {
    /// Adds an output.
    pub fn push(&mut self, output: Output) {
        self.outputs.push(output);
    }

    /// Adds a frame to this node itself, to be handled within the same step.
    pub(crate) fn push_local(&mut self, frame: Frame) {
        self.local_frames.push(frame);
    }

    /// The outputs so far.
    pub(crate) fn take(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// The frames to this node itself so far.
    pub(crate) fn take_local(&mut self) -> Vec<Frame> {
        std::mem::take(&mut self.local_frames)
    }
}
