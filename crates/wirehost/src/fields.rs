//! Reads the fields of a record, in network byte order.

use anyhow::{Result, anyhow, bail};
use bytes::{Buf, TryGetError};
use oatpitch::interface::{LoadReport, NodeId, ProxyId, Time};
use oatpitch_settings::LoadColumn;

use crate::MICROSECONDS_PER_TIME_UNIT;

/// The bytes that are still to be read.
pub struct Fields<'a>(&'a [u8]);

type FieldResult<T> = Result<T, TryGetError>;

impl<'a> Fields<'a> {
    /// Starts reading at the first of some bytes.
    pub fn new(bytes: &'a [u8]) -> Self {
        Fields(bytes)
    }

    /// Reads an unsigned integer of 8 bits.
    pub fn u8(&mut self) -> FieldResult<u8> {
        self.0.try_get_u8()
    }

    /// Reads an unsigned integer of 16 bits.
    pub fn u16(&mut self) -> FieldResult<u16> {
        self.0.try_get_u16()
    }

    /// Reads an unsigned integer of 32 bits.
    pub fn u32(&mut self) -> FieldResult<u32> {
        self.0.try_get_u32()
    }

    /// Reads an unsigned integer of 64 bits.
    pub fn u64(&mut self) -> FieldResult<u64> {
        self.0.try_get_u64()
    }

    /// Reads a floating-point number of 32 bits.
    pub fn f32(&mut self) -> FieldResult<f32> {
        self.0.try_get_f32()
    }

    /// Reads a duration: microseconds in 32 bits.
    pub fn duration(&mut self) -> FieldResult<Time> {
        Ok(Time(u64::from(self.u32()?) / MICROSECONDS_PER_TIME_UNIT))
    }

    /// Reads a flag: a byte that is 0 or 1.
    pub fn flag(&mut self) -> Result<bool> {
        match self.u8()? {
            0 => Ok(false),
            1 => Ok(true),
            other => bail!("expected a flag of 0 or 1, found {other}"),
        }
    }

    /// Reads a proxy's number: 16 bits on this wire.
    pub fn proxy(&mut self) -> FieldResult<ProxyId> {
        Ok(ProxyId(self.u16()?.into()))
    }

    /// Reads a node's id: its address and its port.
    pub fn node(&mut self) -> FieldResult<NodeId> {
        let mut address = [0; 4];
        self.0.try_copy_to_slice(&mut address)?;
        let port = self.u16()?;
        Ok(NodeId(address, port))
    }

    /// Reads a number of bytes.
    pub fn bytes(&mut self, length: usize) -> Result<&'a [u8]> {
        let (bytes, rest) = self
            .0
            .split_at_checked(length)
            .ok_or_else(|| anyhow!("expected {length} bytes, only {} are left", self.0.len()))?;
        self.0 = rest;
        Ok(bytes)
    }

    /// Reads a load report: either no value or one for each column of the settings.
    pub fn load_report(&mut self, columns: &[LoadColumn]) -> Result<Option<LoadReport>> {
        let count = usize::from(self.u8()?);
        if count != 0 && count != columns.len() {
            bail!("a load report has {count} values, the settings name {}", columns.len());
        }
        let mut values = Vec::with_capacity(count);
        for _ in 0..count {
            values.push(f64::from(self.f32()?));
        }
        Ok(LoadColumn::load_report(columns, &values))
    }

    /// Checks that no byte is left.
    pub fn end(&self) -> Result<()> {
        if !self.0.is_empty() {
            bail!("{} bytes are left", self.0.len());
        }
        Ok(())
    }
}
