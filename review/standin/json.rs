//! JSON values: parser and writer.

use std::fmt::{self, Write};

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.skip_space();
        match parser.at == parser.bytes.len() {
            true => Ok(value),
            false => Err(format!("text after the value at {}", parser.at)),
        }
    }

    pub fn get(&self, name: &str) -> &Json {
        let Json::Object(fields) = self else {
            return &Json::Null;
        };
        let field = fields.iter().find(|(field, _)| field == name);
        field.map_or(&Json::Null, |(_, value)| value)
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) if *number >= 0.0 => Some(*number as u64),
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

impl From<&str> for Json {
    fn from(text: &str) -> Self {
        Json::Text(text.to_owned())
    }
}

impl From<u64> for Json {
    fn from(number: u64) -> Self {
        Json::Number(number as f64)
    }
}

impl From<bool> for Json {
    fn from(value: bool) -> Self {
        Json::Bool(value)
    }
}

impl From<Vec<Json>> for Json {
    fn from(items: Vec<Json>) -> Self {
        Json::List(items)
    }
}

/// Builds an object from pairs of names and values.
pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Json {
    let fields = fields.into_iter();
    Json::Object(
        fields
            .map(|(name, value)| (name.to_owned(), value))
            .collect(),
    )
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(number) if number.fract() == 0.0 => write!(f, "{}", *number as i64),
            Json::Number(number) => write!(f, "{number}"),
            Json::Text(text) => write_text(f, text),
            Json::List(items) => {
                f.write_char('[')?;
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        f.write_char(',')?;
                    }
                    write!(f, "{item}")?;
                }
                f.write_char(']')
            }
            Json::Object(fields) => {
                f.write_char('{')?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        f.write_char(',')?;
                    }
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_char('}')
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_char('"')?;
    for character in text.chars() {
        match character {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            control if control < ' ' => write!(f, "\\u{:04x}", control as u32)?,
            other => f.write_char(other)?,
        }
    }
    f.write_char('"')
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.skip_space();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn expect(&mut self, byte: u8) -> Result<(), String> {
        match self.take(byte) {
            true => Ok(()),
            false => Err(format!("expected {:?} at {}", char::from(byte), self.at)),
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Result<Json, String> {
        match self.bytes[self.at..].starts_with(word.as_bytes()) {
            true => {
                self.at += word.len();
                Ok(value)
            }
            false => Err(format!("unknown word at {}", self.at)),
        }
    }

    fn value(&mut self) -> Result<Json, String> {
        self.skip_space();
        match self.bytes.get(self.at) {
            Some(b'{') => self.object(),
            Some(b'[') => self.list(),
            Some(b'"') => self.string().map(Json::Text),
            Some(b't') => self.word("true", Json::Bool(true)),
            Some(b'f') => self.word("false", Json::Bool(false)),
            Some(b'n') => self.word("null", Json::Null),
            Some(_) => self.number(),
            None => Err("unexpected end".to_owned()),
        }
    }

    fn object(&mut self) -> Result<Json, String> {
        self.expect(b'{')?;
        let mut fields = Vec::new();
        if self.take(b'}') {
            return Ok(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.expect(b':')?;
            fields.push((name, self.value()?));
            if !self.take(b',') {
                self.expect(b'}')?;
                return Ok(Json::Object(fields));
            }
        }
    }

    fn list(&mut self) -> Result<Json, String> {
        self.expect(b'[')?;
        let mut items = Vec::new();
        if self.take(b']') {
            return Ok(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if !self.take(b',') {
                self.expect(b']')?;
                return Ok(Json::List(items));
            }
        }
    }

    fn number(&mut self) -> Result<Json, String> {
        let rest = &self.bytes[self.at..];
        let is_part = |byte: &u8| matches!(byte, b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E');
        let length = rest.iter().take_while(|byte| is_part(byte)).count();
        let text = std::str::from_utf8(&rest[..length]).unwrap_or_default();
        self.at += length;
        let number = text
            .parse()
            .map_err(|_| format!("no value at {}", self.at))?;
        Ok(Json::Number(number))
    }

    fn string(&mut self) -> Result<String, String> {
        self.expect(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at).ok_or("unexpected end of a text")?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).map_err(|error| error.to_string()),
                b'\\' => self.escape(&mut bytes)?,
                other => bytes.push(other),
            }
        }
    }

    fn escape(&mut self, bytes: &mut Vec<u8>) -> Result<(), String> {
        let byte = *self.bytes.get(self.at).ok_or("unexpected end of a text")?;
        self.at += 1;
        bytes.push(match byte {
            b'n' => b'\n',
            b't' => b'\t',
            b'r' => b'\r',
            b'u' => {
                let digits = self.bytes.get(self.at..self.at + 4).unwrap_or_default();
                let digits = std::str::from_utf8(digits).unwrap_or_default();
                let code = u32::from_str_radix(digits, 16).map_err(|error| error.to_string())?;
                self.at += 4;
                let character = char::from_u32(code).unwrap_or(char::REPLACEMENT_CHARACTER);
                bytes.extend(character.to_string().bytes());
                return Ok(());
            }
            other => other,
        });
        Ok(())
    }
}
