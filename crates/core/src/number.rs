//! Integers of JSON documents that others write.
//!
//! JSON has one type of number: `16384`, `16384.0` and `1.6384e4` are the same value, and writers may choose any of
//! these forms. The functions are for `#[serde(deserialize_with = "…")]`.

use std::fmt;

use serde::de::{Error, Unexpected, Visitor};
use serde::{Deserialize, Deserializer};

/// Smallest number above all integers of 64 bits.
const U64_END: f64 = 18_446_744_073_709_551_616.0;

/// Deserializes an integer in any form of a JSON number.
///
/// # Examples
///
/// ```
/// #[derive(serde::Deserialize)]
/// struct Limits {
///     #[serde(deserialize_with = "heathpitch_core::number::integer")]
///     max_bytes: usize,
/// }
///
/// let limits: Limits = serde_json::from_str(r#"{ "max_bytes": 16384.0 }"#)?;
/// assert_eq!(limits.max_bytes, 16_384);
/// assert!(serde_json::from_str::<Limits>(r#"{ "max_bytes": 0.5 }"#).is_err());
/// # Ok::<(), serde_json::Error>(())
/// ```
///
/// # Errors
///
/// If it is no number, has a fraction, or is out of range of `T`.
pub fn integer<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: TryFrom<u64>,
    D: Deserializer<'de>,
{
    let value = deserializer.deserialize_u64(IntegerVisitor)?;
    let out_of_range = |_| D::Error::invalid_value(Unexpected::Unsigned(value), &"a smaller one");
    T::try_from(value).map_err(out_of_range)
}

/// Like [`integer`], for a value that may be `null`.
///
/// # Errors
///
/// As [`integer`].
pub fn optional_integer<'de, T, D>(deserializer: D) -> Result<Option<T>, D::Error>
where
    T: TryFrom<u64>,
    D: Deserializer<'de>,
{
    let value = Option::<Integer<T>>::deserialize(deserializer)?;
    Ok(value.map(|Integer(value)| value))
}

struct Integer<T>(T);

impl<'de, T: TryFrom<u64>> Deserialize<'de> for Integer<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        integer(deserializer).map(Self)
    }
}

struct IntegerVisitor;

impl Visitor<'_> for IntegerVisitor {
    type Value = u64;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an integer that is not negative")
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<u64, E> {
        Ok(value)
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<u64, E> {
        u64::try_from(value).map_err(|_| E::invalid_value(Unexpected::Signed(value), &self))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<u64, E> {
        match value.fract() == 0.0 && (0.0..U64_END).contains(&value) {
            true => Ok(value as u64),
            false => Err(E::invalid_value(Unexpected::Float(value), &self)),
        }
    }
}
