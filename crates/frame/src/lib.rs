//! Lines in a stream of bytes that comes in any pieces.

use bytes::{Buf, Bytes, BytesMut};

/// A line was longer than allowed.
#[derive(Debug, PartialEq, Eq)]
pub struct TooLong;

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
        let line = self.kept.split_to(end).freeze();
        self.kept.advance(1);
        Ok(Some(line))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn lines(pieces: &[&[u8]], longest: usize) -> Result<Vec<Bytes>, TooLong> {
        let mut framing = Lines::new(longest);
        let mut found = Vec::new();
        for piece in pieces {
            framing.room().extend_from_slice(piece);
            while let Some(line) = framing.cut()? {
                found.push(line);
            }
        }
        Ok(found)
    }

    #[test]
    fn lines_are_the_same_wherever_the_input_is_cut() {
        let input = b"{\"t\":\"probe\"}\n\n{\"t\":\"agent\",\"zone\":\"a\"}\nrest";
        let whole = lines(&[input], 64).expect("short lines");
        assert_eq!(whole, [&input[..13], b"", &input[15..39]]);
        for cut in 0..=input.len() {
            for second in cut..=input.len() {
                let pieces = [&input[..cut], &input[cut..second], &input[second..]];
                assert_eq!(lines(&pieces, 64).expect("short lines"), whole);
            }
        }
    }

    #[test]
    fn a_line_is_too_long_whether_it_ends_or_not() {
        assert_eq!(lines(&[b"12345678\n"], 8).expect("just short enough").len(), 1);
        assert_eq!(lines(&[b"123456789\n"], 8), Err(TooLong));
        assert_eq!(lines(&[b"12345", b"6789"], 8), Err(TooLong));
    }
}
