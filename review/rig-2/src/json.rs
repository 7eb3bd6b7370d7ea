//! A small JSON reader, and the escaping of texts.

use std::collections::BTreeMap;

/// A JSON value. Numbers are kept as text, since revisions need all 64 bits.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Reads a value; returns `None` where the text is not JSON.
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader {
            chars: text.chars().collect(),
            at: 0,
        };
        let value = reader.value()?;
        reader.skip_space();
        (reader.at == reader.chars.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

/// Returns a text as a JSON string, quotes included.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Reader {
    chars: Vec<char>,
    at: usize,
}

impl Reader {
    fn skip_space(&mut self) {
        while self.chars.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: char) -> Option<()> {
        self.skip_space();
        (self.chars.get(self.at) == Some(&expected)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        for c in word.chars() {
            (self.chars.get(self.at) == Some(&c)).then(|| self.at += 1)?;
        }
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.chars.get(self.at)? {
            '{' => self.object(),
            '[' => self.list(),
            '"' => self.string().map(Json::Text),
            't' => self.word("true", Json::Bool(true)),
            'f' => self.word("false", Json::Bool(false)),
            'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while let Some(c) = self.chars.get(self.at) {
            if !c.is_ascii_digit() && !"+-.eE".contains(*c) {
                break;
            }
            self.at += 1;
        }
        (self.at > start).then(|| Json::Number(self.chars[start..self.at].iter().collect()))
    }

    fn string(&mut self) -> Option<String> {
        self.take('"')?;
        let mut out = String::new();
        loop {
            let c = *self.chars.get(self.at)?;
            self.at += 1;
            match c {
                '"' => return Some(out),
                '\\' => {
                    let escape = *self.chars.get(self.at)?;
                    self.at += 1;
                    match escape {
                        'n' => out.push('\n'),
                        't' => out.push('\t'),
                        'r' => out.push('\r'),
                        'b' => out.push('\u{8}'),
                        'f' => out.push('\u{c}'),
                        'u' => {
                            let digits: String =
                                self.chars.get(self.at..self.at + 4)?.iter().collect();
                            self.at += 4;
                            let code = u32::from_str_radix(&digits, 16).ok()?;
                            out.push(char::from_u32(code).unwrap_or('\u{fffd}'));
                        }
                        other => out.push(other),
                    }
                }
                c => out.push(c),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take('[')?;
        let mut items = Vec::new();
        if self.take(']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(']').is_some() {
                return Some(Json::List(items));
            }
            self.take(',')?;
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take('{')?;
        let mut fields = BTreeMap::new();
        if self.take('}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.take(':')?;
            fields.insert(name, self.value()?);
            if self.take('}').is_some() {
                return Some(Json::Object(fields));
            }
            self.take(',')?;
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for place in 0..4 {
            if place > chunk.len() {
                out.push('=');
            } else {
                out.push(ALPHABET[(word >> (18 - 6 * place) & 63) as usize] as char);
            }
        }
    }
    out
}
