//! Splits a stream of bytes into lines, whatever the sizes of the pieces it arrives in.

use bytes::{Buf, Bytes, BytesMut};

/// A line is longer than the buffer accepts.
#[derive(Debug, PartialEq, Eq)]
pub struct LineTooLong;

/// Length in bytes above which a line is returned together with its buffer. Most lines are far shorter.
const LONG_LINE_BYTES: usize = 64 << 10;

/// Buffers the bytes received and splits them into lines, without the newline that ends each.
pub struct LineBuffer {
    /// Bytes received and not yet returned.
    buffer: BytesMut,
    /// Number of bytes at the start of `buffer` that are known to hold no newline.
    searched: usize,
    /// Longest line accepted, in bytes and without its newline.
    max_length: usize,
}

impl LineBuffer {
    /// Creates an empty buffer that accepts lines of up to `max_length` bytes.
    pub fn new(max_length: usize) -> LineBuffer {
        LineBuffer { buffer: BytesMut::new(), searched: 0, max_length }
    }

    /// Returns the buffer to which received bytes are appended.
    pub fn buffer_mut(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Releases the memory left over from a long line, and returns the remaining capacity in bytes.
    ///
    /// The buffer is reallocated only if its capacity exceeds `usual` and less than half of `usual` is in use.
    pub fn shrink_to(&mut self, usual: usize) -> usize {
        if self.buffer.capacity() > usual && self.buffer.len() < usual / 2 {
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
        self.buffer.capacity()
    }

    /// Returns the bytes of a line that has not ended yet, provided that [`LineBuffer::next_line`] has returned
    /// `None`.
    pub fn partial_line(&self) -> &[u8] {
        &self.buffer
    }

    /// Removes and returns the next complete line, or `None` if more bytes are needed.
    ///
    /// Fails once a line exceeds the longest accepted, whether or not its newline has arrived.
    pub fn next_line(&mut self) -> Result<Option<Bytes>, LineTooLong> {
        let newline = self.buffer[self.searched..].iter().position(|byte| *byte == b'\n');
        let Some(end) = newline.map(|offset| self.searched + offset) else {
            self.searched = self.buffer.len();
            return if self.searched > self.max_length { Err(LineTooLong) } else { Ok(None) };
        };
        self.searched = 0;
        if end > self.max_length {
            return Err(LineTooLong);
        }
        if end > LONG_LINE_BYTES && self.buffer.len() - end <= end {
            return Ok(Some(self.split_long_line(end)));
        }
        let line = self.buffer.split_to(end).freeze();
        self.buffer.advance(1);
        Ok(Some(line))
    }

    /// Returns a long line with the buffer that holds it, and copies the bytes after it to a new buffer.
    ///
    /// The copy is cheap because no more bytes follow than the line has itself.
    fn split_long_line(&mut self, end: usize) -> Bytes {
        let rest = BytesMut::from(&self.buffer[end + 1..]);
        let mut line = std::mem::replace(&mut self.buffer, rest);
        line.truncate(end);
        line.freeze()
    }
}

#[cfg(test)]
mod tests;
