//! Filter: authenticates the client account.

use std::sync::Arc;

use heathpitch_core::{Account, digest};
use hyper::header::{AUTHORIZATION, HeaderMap};

use super::parse::header;
use super::{Context, Refusal, RefusalKind};

/// Header with the account's name.
const ACCOUNT: &str = "x-heathpitch-account";

/// The account named by the headers, or the one their API key belongs to.
pub(crate) fn find(cx: &Context, headers: &HeaderMap) -> Result<Arc<Account>, Refusal> {
    let index = cx.traffic.shared.index.load();
    if index.revision.0 == 0 {
        return Err(
            Refusal::not_run(RefusalKind::NotReady, "no configuration yet").with_retry_after(1_000)
        );
    }
    let bearer = header(headers, AUTHORIZATION.as_str())?.and_then(|a| a.strip_prefix("Bearer "));
    let by_key = bearer.and_then(|k| index.keys.get(&digest(&[k.as_bytes()])));
    let named = match header(headers, ACCOUNT)? {
        Some(text) => index.accounts.get(text),
        None => by_key,
    };
    match named {
        None => {
            Err(Refusal::not_run(RefusalKind::UnknownAccount, "the account is missing or unknown"))
        }
        Some(account) if account.keys.is_empty() => Ok(account.clone()),
        Some(account) if by_key.is_some_and(|k: &Arc<Account>| k.name == account.name) => {
            Ok(account.clone())
        }
        Some(_) => {
            Err(Refusal::not_run(RefusalKind::BadKey, "the API key does not belong to the account"))
        }
    }
}
