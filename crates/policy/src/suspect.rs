//! What is suspected of crashing engines, as store entries and records name it.

use std::fmt;
use std::str::FromStr;

use heathpitch_core::{FingerprintError, PromptPart, RequestFingerprint};

use crate::PartKey;

/// Prefix of the text form of parts of prompts.
const PART: &str = "part-";

/// A request or a part of prompts under which engines exited.
///
/// # Examples
///
/// ```
/// use heathpitch_core::{PromptPart, RequestFingerprint};
/// use heathpitch_policy::{PartKey, Suspect};
///
/// let request = Suspect::Request(RequestFingerprint(0x2f));
/// assert_eq!(request.to_string(), "000000000000002f");
/// let part = Suspect::Part(PartKey { service: 1, part: PromptPart(2), account: 3 });
/// assert_eq!(part.to_string(), "part-0000000000000001-0000000000000002-0000000000000003");
/// assert_eq!(part.to_string().parse(), Ok(part));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Suspect {
    /// A whole request.
    Request(RequestFingerprint),
    /// A part of the prompts of a client account.
    Part(PartKey),
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => fingerprint.fmt(f),
            Self::Part(PartKey { service, part, account }) => {
                write!(f, "{PART}{service:016x}-{part}-{account:016x}")
            }
        }
    }
}

impl FromStr for Suspect {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        let Some(part) = text.strip_prefix(PART) else { return text.parse().map(Self::Request) };
        let mut fields = part.split('-').map(str::parse::<RequestFingerprint>);
        let mut next = || fields.next().ok_or(FingerprintError)?.map(|RequestFingerprint(n)| n);
        let (service, part, account) = (next()?, PromptPart(next()?), next()?);
        Ok(Self::Part(PartKey { service, part, account }))
    }
}
