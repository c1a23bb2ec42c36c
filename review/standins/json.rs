//! A small reader of JSON, enough for the conductor's orders.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    /// Returns a field of an object.
    pub fn field(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        if let Value::Number(number) = self { Some(*number) } else { None }
    }

    pub fn text(&self) -> Option<&str> {
        if let Value::Text(text) = self { Some(text) } else { None }
    }

    pub fn list(&self) -> Option<&[Value]> {
        if let Value::List(items) = self { Some(items) } else { None }
    }

    pub fn is_true(&self) -> bool {
        *self == Value::Bool(true)
    }
}

/// Parses a whole text as one value. Returns `None` if it is not JSON.
pub fn parse(text: &str) -> Option<Value> {
    let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
    let value = parser.value()?;
    parser.skip_space();
    (parser.at == parser.bytes.len()).then_some(value)
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

    /// Skips a byte if it comes next.
    fn take(&mut self, byte: u8) -> bool {
        self.skip_space();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn value(&mut self) -> Option<Value> {
        self.skip_space();
        match *self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.items(),
            b'"' => self.string().map(Value::Text),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => self.digits(),
        }
    }

    fn object(&mut self) -> Option<Value> {
        let mut fields = BTreeMap::new();
        self.at += 1;
        if self.take(b'}') {
            return Some(Value::Object(fields));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            if !self.take(b':') {
                return None;
            }
            fields.insert(name, self.value()?);
            if self.take(b'}') {
                return Some(Value::Object(fields));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn items(&mut self) -> Option<Value> {
        let mut items = Vec::new();
        self.at += 1;
        if self.take(b']') {
            return Some(Value::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b']') {
                return Some(Value::List(items));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    /// Reads a string. Names in these tests need no escapes beyond quotes and backslashes.
    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut text = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => break,
                b'\\' => {
                    self.at += 1;
                    text.push(*self.bytes.get(self.at)?);
                }
                byte => text.push(byte),
            }
            self.at += 1;
        }
        self.at += 1;
        String::from_utf8(text).ok()
    }

    fn digits(&mut self) -> Option<Value> {
        let start = self.at;
        while self.bytes.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
            self.at += 1;
        }
        std::str::from_utf8(&self.bytes[start..self.at]).ok()?.parse().ok().map(Value::Number)
    }
}
