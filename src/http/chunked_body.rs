/// Where in a chunked body the next byte is (RFC 9112, section 7.1).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    /// The size of a chunk, with its value so far and the number of its digits.
    Size(u64, u32),
    /// An extension of a chunk of this size.
    Extension(u64),
    /// The end of the line with the size.
    SizeEnd(u64),
    /// The data of a chunk, of which this number of bytes is missing.
    Data(u64),
    /// The two bytes behind the data of a chunk.
    DataCr,
    DataLf,
    /// The beginning of a line behind the last chunk, and its rest.
    Trailer,
    TrailerRest,
    /// The last byte.
    EndLf,
    /// Behind the body.
    Ended,
}

/// What is known of a chunked body after some of its bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChunkedProgress {
    /// It goes on.
    Unfinished,
    /// It ended after this number of the bytes.
    Ended(usize),
    /// It is not written as it should be, so that it is not known where it ends.
    Unclear,
}

/// Finds the end of a chunked body. It is as strict as hyper, which decodes the body itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ChunkedBody(Part);

/// Largest number of digits of the size of a chunk; 64 bits have room for one more.
const MAX_SIZE_DIGITS: u32 = 15;

impl ChunkedBody {
    /// Begins a body.
    pub(super) fn new() -> Self {
        Self(Part::Size(0, 0))
    }

    /// Takes further bytes of the connection.
    pub(super) fn advance(&mut self, bytes: &[u8]) -> ChunkedProgress {
        let mut index = 0;
        while index < bytes.len() {
            if let Part::Data(missing) = self.0 {
                let count = missing.min((bytes.len() - index) as u64);
                index += count as usize;
                self.0 = match missing - count {
                    0 => Part::DataCr,
                    missing => Part::Data(missing),
                };
                continue;
            }
            let Some(next) = self.0.step(bytes[index]) else {
                return ChunkedProgress::Unclear;
            };
            self.0 = next;
            index += 1;
            if next == Part::Ended {
                return ChunkedProgress::Ended(index);
            }
        }
        ChunkedProgress::Unfinished
    }
}

impl Part {
    /// Returns the part behind a byte, or `None` if the byte is not allowed here.
    fn step(self, byte: u8) -> Option<Self> {
        let digit = char::from(byte).to_digit(16);
        match (self, byte) {
            (Self::Size(size, digits), _) if digit.is_some() && digits < MAX_SIZE_DIGITS => {
                digit.map(|digit| Self::Size(size << 4 | u64::from(digit), digits + 1))
            }
            (Self::Size(size, 1..) | Self::Extension(size), b'\r') => Some(Self::SizeEnd(size)),
            (Self::Size(size, 1..), b';') | (Self::Extension(size), ..=b'\t' | b'\x0b'..) => {
                Some(Self::Extension(size))
            }
            (Self::SizeEnd(0) | Self::TrailerRest, b'\n') => Some(Self::Trailer),
            (Self::SizeEnd(size), b'\n') => Some(Self::Data(size)),
            (Self::DataCr, b'\r') => Some(Self::DataLf),
            (Self::DataLf, b'\n') => Some(Self::Size(0, 0)),
            (Self::Trailer, b'\r') => Some(Self::EndLf),
            (Self::Trailer | Self::TrailerRest, _) => Some(Self::TrailerRest),
            (Self::EndLf, b'\n') => Some(Self::Ended),
            _ => None,
        }
    }
}
