//! The value of a record as it is sent and stored: JSON text that is encoded once and decoded
//! directly into its type, without an intermediate tree of generic values.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A value encoded as JSON text.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Encoded(Box<RawValue>);

impl Encoded {
    /// Encodes a value. The types of this crate can always be encoded; a value that cannot be
    /// becomes `null`, which no reader accepts as a record.
    pub fn new<T: Serialize + ?Sized>(value: &T) -> Encoded {
        Encoded(serde_json::value::to_raw_value(value).unwrap_or_else(|_| RawValue::NULL.to_owned()))
    }

    /// Decodes the value as a `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_str(self.0.get())
    }

    /// Returns the length of the text in bytes, to which the limits of the key-value store apply.
    pub fn len(&self) -> usize {
        self.0.get().len()
    }

    /// Whether the text is empty, which it never is.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Default for Encoded {
    fn default() -> Self {
        Encoded(RawValue::NULL.to_owned())
    }
}
