//! Hosts instances of the decision module on the simulator's wire: batches of events on standard input,
//! one reply for each on standard output. It decodes, calls the module and writes; it decides nothing.

mod events;
mod reply;

use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;

use anyhow::{Context, Result, bail};
use bytes::Buf;
use oatpitch::interface::Time;

const HEADER: usize = 16;
/// The clock counts microseconds, the module tenths of a millisecond.
const US: u64 = 100;

fn main() -> ExitCode {
    let (input, output) = (io::stdin().lock(), io::stdout().lock());
    match host(BufReader::new(input), BufWriter::new(output)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(trouble) => {
            eprintln!("oatpitch-wirehost: {trouble:#}");
            ExitCode::FAILURE
        }
    }
}

fn host(mut input: impl Read, mut output: impl Write) -> Result<()> {
    let mut fleet = events::Fleet::default();
    let mut batch = 0u64;
    while let Some(header) = header(&mut input).with_context(|| format!("batch {batch}"))? {
        let mut header = &header[..];
        let (length, count, clock) = (header.get_u32(), header.get_u32(), header.get_u64());
        let mut body = Vec::new();
        // Grows with what comes, so that a wrong length allocates nothing.
        input.by_ref().take(length.into()).read_to_end(&mut body).context("reading standard input")?;
        if body.len() != length as usize {
            bail!("batch {batch}: the input ends after {} of {length} bytes", body.len());
        }
        let reply = fleet.batch(&body, count, Time(clock / US)).with_context(|| format!("batch {batch}"))?;
        output.write_all(&reply.frame()?).and_then(|()| output.flush()).context("writing standard output")?;
        batch += 1;
    }
    Ok(())
}

/// The header of the next batch, or nothing where the input ends between two batches.
fn header(input: &mut impl Read) -> Result<Option<[u8; HEADER]>> {
    let mut bytes = Vec::with_capacity(HEADER);
    input.by_ref().take(HEADER as u64).read_to_end(&mut bytes).context("reading standard input")?;
    if bytes.is_empty() {
        return Ok(None);
    }
    let found = bytes.len();
    match <[u8; HEADER]>::try_from(bytes) {
        Ok(header) => Ok(Some(header)),
        Err(_) => bail!("the input ends after {found} of {HEADER} bytes of a header"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn run(input: &[u8]) -> (Result<()>, Vec<u8>) {
        let mut output = Vec::new();
        (host(input, &mut output), output)
    }

    fn frame(count: u32, body: &[u8]) -> Vec<u8> {
        [&(body.len() as u32).to_be_bytes()[..], &count.to_be_bytes(), &8_412_250u64.to_be_bytes(), body]
            .concat()
    }

    #[test]
    fn an_empty_batch_gets_an_empty_reply_and_the_end_is_clean() {
        let (result, output) = run(&frame(0, &[]));
        assert!(result.is_ok());
        assert_eq!(output, [0; 8]);
    }

    #[test]
    fn what_is_malformed_gets_one_plain_line() {
        let died = [8, 0, 0, 0, 4, 0, 0, 0, 3];
        let short = [8, 0, 0, 0, 2, 0, 0];
        let unlisted = [&[2, 0, 0, 0, 15, 0, 0, 0, 3, 1, 0, 7][..], &[0; 8]].concat();
        let cases: [(Vec<u8>, &str); 9] = [
            (vec![0; 7], "after 7 of 16 bytes"),
            (frame(1, &died)[..20].to_vec(), "after 4 of 9 bytes"),
            ([&u32::MAX.to_be_bytes()[..], &[0; 12]].concat(), "after 0 of 4294967295 bytes"),
            (frame(2, &died), "not born"),
            (frame(0, &died), "9 bytes are left"),
            (frame(1, &[99, 0, 0, 0, 0]), "unknown code 99"),
            (frame(1, &short), "record 0, code 8"),
            (frame(1, &[8, 0, 0, 0, 9, 0]), "record 0"),
            (frame(1, &unlisted), "not born"),
        ];
        for (input, expected) in cases {
            let trouble = run(&input).0.expect_err(expected);
            let line = format!("{trouble:#}");
            assert!(line.contains(expected) && !line.contains('\n'), "{line} lacks: {expected}");
        }
    }
}
