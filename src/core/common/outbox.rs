//! Outputs produced while handling the current input, until the driver takes them.

use crate::core::Output;
use crate::wire::peer::Frame;

/// Outputs of the current step.
#[derive(Debug, Default)]
pub struct Outbox {
    outputs: Vec<Output>,
    /// Frames from this node to itself, which occur because the leader may own shards too.
    local_frames: Vec<Frame>,
}

impl Outbox {
    /// Adds an output.
    pub fn push(&mut self, output: Output) {
        self.outputs.push(output);
    }

    /// Adds a frame from this node to itself, to be handled within the same step.
    pub(crate) fn push_local(&mut self, frame: Frame) {
        self.local_frames.push(frame);
    }

    /// Removes and returns the outputs so far.
    pub(crate) fn take(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Removes and returns the frames from this node to itself so far.
    pub(crate) fn take_local(&mut self) -> Vec<Frame> {
        std::mem::take(&mut self.local_frames)
    }
}
