//! Lines in a stream of bytes that comes in any pieces.

use bytes::{Buf, Bytes, BytesMut};

/// A line was longer than allowed.
#[derive(Debug, PartialEq, Eq)]
pub struct TooLong;

/// A line over so many bytes takes its buffer along, as most lines are far shorter.
const LONG: usize = 64 << 10;

/// Cuts what has come into lines, without the byte that ends each.
pub struct Lines {
    kept: BytesMut,
    searched: usize,
    longest: usize,
}

impl Lines {
    pub fn new(longest: usize) -> Lines {
        Lines { kept: BytesMut::new(), searched: 0, longest }
    }

    /// Where bytes are to be added.
    pub fn room(&mut self) -> &mut BytesMut {
        &mut self.kept
    }

    /// Bytes held, filled or not. What a long line took is given back once the line is gone.
    pub fn held(&mut self, usual: usize) -> usize {
        if self.kept.capacity() > usual && self.kept.len() < usual / 2 {
            self.kept = BytesMut::from(&self.kept[..]);
        }
        self.kept.capacity()
    }

    /// What has come of a line that has not ended, once [`Lines::cut`] has none.
    pub fn rest(&self) -> &[u8] {
        &self.kept
    }

    pub fn cut(&mut self) -> Result<Option<Bytes>, TooLong> {
        let end = self.kept[self.searched..].iter().position(|byte| *byte == b'\n');
        let Some(end) = end.map(|end| self.searched + end) else {
            self.searched = self.kept.len();
            return if self.searched > self.longest { Err(TooLong) } else { Ok(None) };
        };
        self.searched = 0;
        if end > self.longest {
            return Err(TooLong);
        }
        if end > LONG && self.kept.len() - end <= end {
            return Ok(Some(self.cut_long(end)));
        }
        let line = self.kept.split_to(end).freeze();
        self.kept.advance(1);
        Ok(Some(line))
    }

    /// Moves what follows a long line, which is no more than the line, so that the buffer goes with the line.
    fn cut_long(&mut self, end: usize) -> Bytes {
        let rest = BytesMut::from(&self.kept[end + 1..]);
        let mut line = std::mem::replace(&mut self.kept, rest);
        line.truncate(end);
        line.freeze()
    }
}

#[cfg(test)]
mod tests;
