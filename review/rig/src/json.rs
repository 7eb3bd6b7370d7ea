//! A small JSON reader, for the bodies of the store's calls.

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|(name, _)| name == key).map(|f| &f.1),
            _ => None,
        }
    }

    pub fn as_list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn as_text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn as_u64(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn parse(text: &str) -> Json {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        parser.value()
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn peek(&mut self) -> u8 {
        self.skip();
        self.bytes.get(self.at).copied().unwrap_or(0)
    }

    fn value(&mut self) -> Json {
        match self.peek() {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while self.peek() == b'"' {
                    let key = self.text();
                    self.peek();
                    self.at += 1;
                    fields.push((key, self.value()));
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::Table(fields)
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                while !matches!(self.peek(), b']' | 0) {
                    items.push(self.value());
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::List(items)
            }
            b'"' => Json::Text(self.text()),
            b't' => self.word(4, Json::Bool(true)),
            b'f' => self.word(5, Json::Bool(false)),
            b'n' => self.word(4, Json::Null),
            _ => {
                let start = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|b| b"+-.eE0123456789".contains(b))
                {
                    self.at += 1;
                }
                if self.at == start {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).unwrap_or("0");
                Json::Number(text.parse().unwrap_or(0.0))
            }
        }
    }

    fn word(&mut self, length: usize, value: Json) -> Json {
        self.at += length;
        value
    }

    /// Reads a text; escapes other than `\uXXXX` are taken as the character that follows.
    fn text(&mut self) -> String {
        self.at += 1;
        let mut bytes = Vec::new();
        while let Some(&byte) = self.bytes.get(self.at) {
            self.at += 1;
            match byte {
                b'"' => break,
                b'\\' => {
                    bytes.push(self.bytes.get(self.at).copied().unwrap_or(b'?'));
                    self.at += 1;
                }
                byte => bytes.push(byte),
            }
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .chain(&[0, 0])
            .take(3)
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(DIGITS[(word >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
