//! Hosts instances of the decision module for the simulator. Reads batches of records from standard input and
//! writes one reply to each on standard output. Decodes, calls the module and encodes; takes no decision
//! itself.

mod events;
mod fields;
mod reply;
#[cfg(test)]
mod tests;

use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;

use anyhow::{Context, Result, bail};
use bytes::Buf;
use oatpitch::interface::Time;

/// The bytes of a batch's header: the body's length, the number of records and the clock.
const HEADER_BYTES: usize = 16;

/// Microseconds, the unit of the wire, in one unit of [`Time`], a tenth of a millisecond.
const MICROSECONDS_PER_TIME_UNIT: u64 = 100;

fn main() -> ExitCode {
    let input = io::stdin().lock();
    let output = io::stdout().lock();
    match host(BufReader::new(input), BufWriter::new(output)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oatpitch-wirehost: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until the input ends between two of them.
fn host(mut input: impl Read, mut output: impl Write) -> Result<()> {
    let mut fleet = events::Fleet::default();
    let mut batch = 0u64;
    while let Some(header) = read_header(&mut input).with_context(|| format!("batch {batch}"))? {
        let mut header = &header[..];
        let length = header.get_u32();
        let count = header.get_u32();
        let now = Time(header.get_u64() / MICROSECONDS_PER_TIME_UNIT);
        let mut body = Vec::new();
        // The buffer grows with the bytes that arrive, so that a wrong length allocates nothing.
        input.by_ref().take(length.into()).read_to_end(&mut body).context("reading standard input")?;
        if body.len() != length as usize {
            bail!("batch {batch}: the input ends after {} of {length} bytes", body.len());
        }
        let reply = fleet.batch(&body, count, now).with_context(|| format!("batch {batch}"))?;
        let frame = reply.frame()?;
        output.write_all(&frame).context("writing standard output")?;
        output.flush().context("writing standard output")?;
        batch += 1;
    }
    Ok(())
}

/// Reads the header of the next batch. Returns `None` if the input ends before its first byte.
fn read_header(input: &mut impl Read) -> Result<Option<[u8; HEADER_BYTES]>> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES);
    input.by_ref().take(HEADER_BYTES as u64).read_to_end(&mut bytes).context("reading standard input")?;
    if bytes.is_empty() {
        return Ok(None);
    }
    let found = bytes.len();
    match <[u8; HEADER_BYTES]>::try_from(bytes) {
        Ok(header) => Ok(Some(header)),
        Err(_) => bail!("the input ends after {found} of {HEADER_BYTES} bytes of a header"),
    }
}
