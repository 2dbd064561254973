//! A record's value as it is sent and stored: JSON text, encoded once and decoded into its
//! type without a tree of generic values in between.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// JSON text of one value.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Encoded(Box<RawValue>);

impl Encoded {
    /// Encodes a value. Our own types always can be; what can't becomes `null`, which no
    /// reader takes for a record.
    pub fn new<T: Serialize + ?Sized>(value: &T) -> Encoded {
        Encoded(serde_json::value::to_raw_value(value).unwrap_or_else(|_| RawValue::NULL.to_owned()))
    }

    /// Reads the value as a `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_str(self.0.get())
    }

    /// The length of the text in bytes, which the limits of the key-value store count.
    pub fn len(&self) -> usize {
        self.0.get().len()
    }

    /// Whether there is no text; there always is.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Default for Encoded {
    fn default() -> Self {
        Encoded(RawValue::NULL.to_owned())
    }
}
