//! Orders on a stream, encoded once from what the memory asks to be written.

use bytes::Bytes;
use oatpitch::interface::FurtherTries;
use oatpitch_memory::counters::Counters;
use oatpitch_memory::invariant;
use oatpitch_memory::message::{Level, Name, Part};
use serde::Serialize;

use super::limits;

/// The answer to a probe.
pub const ALIVE: &[u8] = b"{\"t\":\"alive\"}\n";

/// The most parts of a message, and bytes of lines' names and figures that one part may hold.
const PARTS_MOST: usize = 64;
const PART_BYTES: usize = 512 * 1024;
const LINE_BYTES: usize = 32;

#[derive(Serialize)]
struct Push<'a> {
    t: &'static str,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    routes: Vec<&'a str>,
    #[serde(skip_serializing_if = "is_false")]
    full: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    endpoints: Option<&'a [(Name, f32)]>,
    #[serde(skip_serializing_if = "Option::is_none")]
    admit: Option<f32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    policy: Option<u8>,
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    eject: &'a [Name],
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    restore: &'a [Name],
    #[serde(skip_serializing_if = "Option::is_none")]
    nonce_out: Option<u16>,
    #[serde(skip_serializing_if = "is_false")]
    continued: bool,
}

fn is_false(flag: &bool) -> bool {
    !flag
}

/// All parts of one message, lines of a part in so many pieces that each is within the longest line.
pub fn encode(parts: &[Part], classes: &[String], counters: &mut Counters) -> Bytes {
    let (mut bytes, mut written) = (Vec::new(), 0);
    for (k, part) in parts.iter().enumerate() {
        let pieces = pieces(&part.lines);
        let last = pieces.len() - 1;
        for (piece, lines) in pieces.into_iter().enumerate() {
            let (first, ends) = (piece == 0, piece == last);
            let level: Option<Level> = part.level.filter(|_| ends);
            let names = part.classes.iter().filter_map(|class| classes.get(usize::from(class.0)));
            let push = Push {
                t: "push",
                routes: names.map(String::as_str).collect(),
                full: part.whole && first,
                endpoints: (part.whole && first || !lines.is_empty()).then_some(lines),
                admit: level.map(|(_, amount)| amount),
                policy: level.map(|(tries, _)| match tries {
                    FurtherTries::None => 0,
                    FurtherTries::IfNeverRan => 1,
                    FurtherTries::One => 2,
                    FurtherTries::Two => 3,
                }),
                eject: if first { &part.out } else { &[] },
                restore: if first { &part.back } else { &[] },
                nonce_out: part.mark.filter(|_| ends),
                continued: k + 1 < parts.len() || !ends,
            };
            // Into memory, from strings and numbers: nothing in it can fail.
            let encoded = serde_json::to_writer(&mut bytes, &push);
            debug_assert!(encoded.is_ok());
            bytes.push(b'\n');
            written += 1;
        }
    }
    invariant!(counters, written <= PARTS_MOST, "a message has at most 64 parts");
    let short = |line: &[u8]| line.len() <= limits::LINE_LONGEST;
    invariant!(counters, bytes.split(|byte| *byte == b'\n').all(short), "a line is within the longest");
    bytes.into()
}

/// At least one piece.
fn pieces(lines: &[(Name, f32)]) -> Vec<&[(Name, f32)]> {
    let (mut pieces, mut start, mut size) = (Vec::new(), 0, 0);
    for (k, line) in lines.iter().enumerate() {
        size += line.0.len() + LINE_BYTES;
        if size > PART_BYTES {
            pieces.push(&lines[start..k]);
            (start, size) = (k, line.0.len() + LINE_BYTES);
        }
    }
    pieces.push(&lines[start..]);
    pieces
}

#[cfg(test)]
mod tests {
    use oatpitch::interface::ClassId;

    use super::*;

    fn classes() -> Vec<String> {
        ["lookup", "order", "batch"].map(String::from).to_vec()
    }

    #[test]
    fn the_pages_orders_are_written_to_the_byte() {
        let table = Part {
            classes: vec![ClassId(0), ClassId(1)],
            whole: true,
            lines: vec![("s-5be2a07c".into(), 1.5), ("s-0badcafe".into(), 0.2)],
            level: Some((FurtherTries::IfNeverRan, 0.9)),
            ..Part::default()
        };
        let rest = Part { out: vec!["s-77aa0310".into()], mark: Some(905), ..Part::default() };
        let expected = concat!(
            r#"{"t":"push","routes":["lookup","order"],"full":true,"endpoints":[["s-5be2a07c",1.5],"#,
            r#"["s-0badcafe",0.2]],"admit":0.9,"policy":1,"continued":true}"#,
            "\n",
            r#"{"t":"push","eject":["s-77aa0310"],"nonce_out":905}"#,
            "\n"
        );
        assert_eq!((table.cost(), rest.cost()), (4, 2));
        assert_eq!(encode(&[table, rest], &classes(), &mut Counters::default()), expected.as_bytes());
    }

    #[test]
    fn an_empty_table_is_still_a_whole_one() {
        let part = Part { whole: true, ..Part::default() };
        let written = encode(&[part], &classes(), &mut Counters::default());
        assert_eq!(written, r#"{"t":"push","full":true,"endpoints":[]}"#.to_string() + "\n");
    }

    /// Guards against a table so large that its line would be over the longest, which resets the stream.
    #[test]
    fn a_table_too_large_for_one_line_comes_in_parts() {
        let lines: Vec<(Name, f32)> = (0..20_000).map(|k| (format!("s-{k:060}").into(), 1.0)).collect();
        let level = Some((FurtherTries::One, 0.5));
        let (out, mark) = (vec!["s-x".into()], Some(7));
        let part = Part { whole: true, lines, level, out, mark, ..Part::default() };
        let (mut counters, parts) = (Counters::default(), [part, Part::default()]);
        let message = encode(&parts, &classes(), &mut counters);
        assert!(!counters.to_string().contains("missed"));
        let read: Vec<serde_json::Value> = message
            .split(|byte| *byte == b'\n')
            .filter(|line| !line.is_empty())
            .map(|line| serde_json::from_slice(line).expect("JSON"))
            .collect();
        assert!(read.len() > 3);
        let table = &read[..read.len() - 1];
        let count = |key: &str| table.iter().filter(|part| !part[key].is_null()).count();
        assert_eq!(["full", "admit", "eject", "nonce_out"].map(count), [1; 4]);
        assert!(table[0]["full"] == true && table[0]["eject"][0] == "s-x");
        assert_eq!(
            table.iter().filter_map(|part| part["endpoints"].as_array()).map(Vec::len).sum::<usize>(),
            20_000
        );
        assert!(table[table.len() - 1]["nonce_out"] == 7);
        assert!(read.iter().rev().skip(1).all(|part| part["continued"] == true));
        assert!(read[read.len() - 1]["continued"].is_null());
    }
}
