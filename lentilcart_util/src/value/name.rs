use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Immutable, reference-counted string for short texts that are cloned often: names of services,
/// hosts, servers and data centres, store keys, and path prefixes.
///
/// A clone shares the text. Names compare and hash like the text, so that a map keyed by names can
/// be searched with a `&str`.
///
/// # Examples
///
/// ```
/// let name = lentilcart_util::Name::from("catalogue");
/// assert_eq!(&*name.clone(), "catalogue");
/// ```
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Name(Arc<str>);

impl Name {
    /// Returns the name as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Default for Name {
    fn default() -> Self {
        Self::from("")
    }
}

impl Deref for Name {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl From<String> for Name {
    fn from(text: String) -> Self {
        Self(text.into())
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}
