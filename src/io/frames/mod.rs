//! Length-delimited frames over TCP, between the nodes of a cell and between cells.
//!
//! A frame is its length as a big-endian `u32` and then as many bytes. Each sender keeps one
//! connection to each receiver ([`Link`]); what arrives ([`listen`]) is handed to the core.
//! What can't be sent is dropped: the next message, which carries the whole state again,
//! makes up for it.

mod link;
mod listener;

pub use link::Link;
pub use listener::{RECEIVE_QUEUE, listen};

use crate::wire::peer::Frame;
use thiserror::Error;
use woadlever_cells::message::{CellMessage, VERSION};

/// Why the bytes of a frame can't be decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The version at the beginning is incomplete.
    #[error("too short")]
    TooShort,
    /// The bytes are no message of this type.
    #[error(transparent)]
    Malformed(#[from] bitcode::Error),
}

/// A message that is sent as one frame.
pub trait Payload: Sized + 'static {
    /// The bytes of the frame, without their length.
    fn encode(&self) -> Vec<u8>;

    /// Reads the bytes of a frame. `None`: the message is of a version to be ignored.
    fn decode(bytes: &[u8]) -> Result<Option<Self>, DecodeError>;
}

impl Payload for Frame {
    fn encode(&self) -> Vec<u8> {
        bitcode::encode(self)
    }

    fn decode(bytes: &[u8]) -> Result<Option<Frame>, DecodeError> {
        Ok(Some(bitcode::decode(bytes)?))
    }
}

/// A message between cells begins with its version, so that cells of different versions
/// ignore each other's messages instead of misreading them.
impl Payload for CellMessage {
    fn encode(&self) -> Vec<u8> {
        let mut bytes = VERSION.to_be_bytes().to_vec();
        bytes.extend_from_slice(&bitcode::encode(self));
        bytes
    }

    fn decode(bytes: &[u8]) -> Result<Option<CellMessage>, DecodeError> {
        let (version, body) = bytes.split_first_chunk().ok_or(DecodeError::TooShort)?;
        if u16::from_be_bytes(*version) != VERSION {
            return Ok(None);
        }
        Ok(Some(bitcode::decode(body)?))
    }
}
