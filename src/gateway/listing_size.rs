use lentilcart_state::{StoreCall, StoreReply};

/// Largest number of pages of a listing: at about 500 items a page, many times what a store holds.
const MAX_LISTING_PAGES: usize = 1000;
/// Largest size of the keys and values of a listing, in bytes. The mirror of another entry has the same bound.
const MAX_LISTING_BYTES: usize = 32 * 1024 * 1024;

/// Size of the listing in progress, which the mirror gathers until it is complete.
#[derive(Debug, Default)]
pub(super) struct ListingSize {
    pages: usize,
    bytes: usize,
}

impl ListingSize {
    /// Counts the reply to a call, if it is a page of a listing.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the listing is larger than any that is expected.
    pub(super) fn add(&mut self, call: &StoreCall, reply: &StoreReply) -> Result<(), String> {
        let (StoreCall::List { after, .. }, StoreReply::Page { items, .. }) = (call, reply) else {
            return Ok(());
        };
        if after.is_none() {
            *self = Self::default();
        }
        self.pages += 1;
        let sizes = items.iter().map(|item| item.key.len() + item.value.len());
        self.bytes += sizes.sum::<usize>();
        if self.pages > MAX_LISTING_PAGES || self.bytes > MAX_LISTING_BYTES {
            return Err(format!(
                "the listing was given up: more than {MAX_LISTING_PAGES} pages or {MAX_LISTING_BYTES} bytes"
            ));
        }
        Ok(())
    }
}
