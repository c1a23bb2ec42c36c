//! Orders on a stream, encoded once from what the memory asks to be written.

use bytes::Bytes;
use oatpitch::interface::FurtherTries;
use serde::Serialize;

/// The answer to a probe.
pub const ALIVE: &[u8] = b"{\"t\":\"alive\"}\n";

/// How much of the classes named is let in, and when proxies try again.
pub type Level = (FurtherTries, f32);

/// One part of a message to a proxy: what it names, it changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Part<'a> {
    /// The classes meant; none for all.
    pub classes: Vec<&'a str>,
    /// The lines are the whole table.
    pub whole: bool,
    pub lines: Vec<(&'a str, f32)>,
    pub level: Option<Level>,
    pub out: Vec<&'a str>,
    pub back: Vec<&'a str>,
    pub mark: Option<u16>,
}

impl Part<'_> {
    /// What the part counts in the channel, without the head of its message.
    pub fn cost(&self) -> usize {
        let flags = usize::from(self.whole) + usize::from(self.level.is_some());
        flags + self.lines.len() + self.out.len() + self.back.len() + usize::from(self.mark.is_some())
    }
}

#[derive(Serialize)]
struct Push<'a> {
    t: &'static str,
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    routes: &'a [&'a str],
    #[serde(skip_serializing_if = "is_false")]
    full: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    endpoints: Option<&'a [(&'a str, f32)]>,
    #[serde(skip_serializing_if = "Option::is_none")]
    admit: Option<f32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    policy: Option<u8>,
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    eject: &'a [&'a str],
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    restore: &'a [&'a str],
    #[serde(skip_serializing_if = "Option::is_none")]
    nonce_out: Option<u16>,
    #[serde(skip_serializing_if = "is_false")]
    continued: bool,
}

fn is_false(flag: &bool) -> bool {
    !flag
}

/// All parts of one message.
pub fn encode(parts: &[Part]) -> Bytes {
    let mut bytes = Vec::new();
    for (k, part) in parts.iter().enumerate() {
        let push = Push {
            t: "push",
            routes: &part.classes,
            full: part.whole,
            endpoints: (part.whole || !part.lines.is_empty()).then_some(&part.lines),
            admit: part.level.map(|(_, amount)| amount),
            policy: part.level.map(|(tries, _)| match tries {
                FurtherTries::None => 0,
                FurtherTries::IfNeverRan => 1,
                FurtherTries::One => 2,
                FurtherTries::Two => 3,
            }),
            eject: &part.out,
            restore: &part.back,
            nonce_out: part.mark,
            continued: k + 1 < parts.len(),
        };
        // Into memory, from strings and numbers: nothing in it can fail.
        let written = serde_json::to_writer(&mut bytes, &push);
        debug_assert!(written.is_ok());
        bytes.push(b'\n');
    }
    bytes.into()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_pages_orders_are_written_to_the_byte() {
        let table = Part {
            classes: vec!["lookup", "order"],
            whole: true,
            lines: vec![("s-5be2a07c", 1.5), ("s-0badcafe", 0.2)],
            level: Some((FurtherTries::IfNeverRan, 0.9)),
            ..Part::default()
        };
        let rest = Part { out: vec!["s-77aa0310"], mark: Some(905), ..Part::default() };
        let expected = concat!(
            r#"{"t":"push","routes":["lookup","order"],"full":true,"endpoints":[["s-5be2a07c",1.5],"#,
            r#"["s-0badcafe",0.2]],"admit":0.9,"policy":1,"continued":true}"#,
            "\n",
            r#"{"t":"push","eject":["s-77aa0310"],"nonce_out":905}"#,
            "\n"
        );
        assert_eq!((table.cost(), rest.cost()), (4, 2));
        assert_eq!(encode(&[table, rest]), expected.as_bytes());
    }

    #[test]
    fn an_empty_table_is_still_a_whole_one() {
        let part = Part { whole: true, ..Part::default() };
        assert_eq!(encode(&[part]), r#"{"t":"push","full":true,"endpoints":[]}"#.to_string() + "\n");
    }
}
