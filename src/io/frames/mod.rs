//! Length-delimited frames over TCP, between the nodes of a cell and between cells.
//!
//! A frame consists of the length of its body as a big-endian `u32`, followed by the body. Each
//! sender keeps one connection to each receiver ([`Link`]). The receiver ([`listen`]) passes the
//! messages to the core. A message that can't be sent is dropped without a retry, because the
//! next message contains the whole state again.

mod link;
mod listener;

pub use link::Link;
pub use listener::{RECEIVE_QUEUE_CAPACITY, listen};

use crate::wire::peer::Frame;
use thiserror::Error;
use woadlever_cells::message::{CellMessage, VERSION};

/// Error of decoding the body of a frame.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The body is too short for the version at its beginning.
    #[error("too short")]
    TooShort,
    /// The body is not a valid message of this type.
    #[error(transparent)]
    Malformed(#[from] bitcode::Error),
}

/// A message that is sent as one frame.
pub trait Payload: Sized + 'static {
    /// Encodes the message as the body of a frame, without the length.
    fn encode(&self) -> Vec<u8>;

    /// Decodes the body of a frame. Returns `None` if the message has an unknown version and is to
    /// be ignored.
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
