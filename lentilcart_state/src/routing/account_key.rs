use std::fmt;
use std::hash::Hasher;
use std::sync::LazyLock;

use siphasher::sip128::{Hasher128, SipHasher24};

/// Secret key of the hash, which differs in each process: whoever cannot read the memory of the process learns
/// nothing of a client account's key from a hash or from the time of a look-up.
static HASH_KEY: LazyLock<[u8; 16]> = LazyLock::new(rand::random);

/// Keyed hash of the key of a client account, which stands for the key everywhere after the configuration or the
/// request has been read.
///
/// It is SipHash-2-4 with 128 bits (Aumasson and Bernstein, 2012). Its values hold for this process only, and its
/// debug output does not contain them.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct AccountKey(u128);

impl AccountKey {
    /// Hashes the text of a key.
    #[must_use]
    pub fn new(text: &[u8]) -> Self {
        let mut hasher = SipHasher24::new_with_key(&HASH_KEY);
        hasher.write(text);
        Self(hasher.finish128().as_u128())
    }
}

impl fmt::Debug for AccountKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("AccountKey(..)")
    }
}
