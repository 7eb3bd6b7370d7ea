//! Finds the client account of a request by its key, and keeps what callers say of it from servers.

use std::sync::Arc;

use hyper::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue};
use lentilcart_platform::HEADER_NAMES;
use lentilcart_state::{Account, AccountKey, PathRoute, RouteTable};
use lentilcart_util::common;

/// Scheme of the header with the key (RFC 6750, section 2.1), of which the case does not matter.
const KEY_SCHEME: &[u8] = b"bearer";

common! { value,
    /// Why a request has no client account, though its route needs one.
    pub(crate) enum KeyRefusal {
        /// There is no key.
        Missing,
        /// There is something else than one key, or several different keys.
        Malformed,
        /// No account in force has the key.
        Unknown,
    }
}

impl KeyRefusal {
    /// Returns the text for callers and logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "the key is missing",
            Self::Malformed => "the key is malformed",
            Self::Unknown => "the key is unknown",
        }
    }
}

/// The client account of a request, and the key by which it was found.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) account: Arc<Account>,
    pub(crate) key: AccountKey,
}

/// Returns the client account of a request by its key, or `None` where it needs none: its route is public,
/// or there are no accounts.
///
/// # Errors
///
/// Returns why the key is refused.
pub(crate) fn find_account(
    table: &RouteTable,
    route: &PathRoute,
    headers: &HeaderMap,
) -> Result<Option<Identity>, KeyRefusal> {
    if route.public || table.accounts.is_empty() {
        return Ok(None);
    }
    let key = find_key(headers)?;
    let account = table.accounts.find_hashed(key);
    let account = account.cloned().ok_or(KeyRefusal::Unknown)?;
    Ok(Some(Identity { account, key }))
}

/// Returns the key of a request. Several headers with the same key count as one.
fn find_key(headers: &HeaderMap) -> Result<AccountKey, KeyRefusal> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let first = values.next().ok_or(KeyRefusal::Missing)?;
    let key = parse_key(first).ok_or(KeyRefusal::Malformed)?;
    if values.all(|value| parse_key(value) == Some(key)) {
        Ok(key)
    } else {
        Err(KeyRefusal::Malformed)
    }
}

/// Returns the key of a header value such as `Bearer KEY`, or `None` for a value of another form. A key has
/// neither spaces nor commas.
fn parse_key(value: &HeaderValue) -> Option<AccountKey> {
    let value = value.as_bytes().trim_ascii();
    let (scheme, rest) = value.split_at_checked(KEY_SCHEME.len())?;
    let key = rest.strip_prefix(b" ")?.trim_ascii_start();
    let is_whole = !key
        .iter()
        .any(|byte| byte.is_ascii_whitespace() || *byte == b',');
    let is_valid = scheme.eq_ignore_ascii_case(KEY_SCHEME) && !key.is_empty() && is_whole;
    is_valid.then(|| AccountKey::new(key))
}

/// Removes the key and every account name that the caller set. Underscores count as hyphens, since some
/// servers do not tell them apart.
pub(crate) fn remove_account_headers(headers: &mut HeaderMap) {
    let is_account = |name: &HeaderName| name.as_str().replace('_', "-") == HEADER_NAMES.account;
    let names: Vec<HeaderName> = headers
        .keys()
        .filter(|name| is_account(name))
        .cloned()
        .collect();
    for name in names.iter().chain(&[AUTHORIZATION]) {
        headers.remove(name);
    }
}

/// Sets the header that tells the server the account of a request. Its name is a valid value, unless the
/// platform's decoding allows others than it should; the header is left out then, and that is logged.
pub(crate) fn set_account_header(headers: &mut HeaderMap, account: &Account) {
    match HeaderValue::from_bytes(account.name.as_bytes()) {
        Ok(value) => {
            headers.insert(HEADER_NAMES.account, value);
        }
        Err(error) => {
            log::warn!(account:% = account.name; "account not told to the server: {error}");
        }
    }
}
