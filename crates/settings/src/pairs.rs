//! Settings as path=value pairs, and typed access to their values.

use std::collections::BTreeMap;
use std::str::FromStr;

use anyhow::{Context, Result, anyhow, bail};
use oatpitch::interface::Time;

/// Microseconds, the unit of settings, in one unit of [`Time`], a tenth of a millisecond.
const MICROSECONDS_PER_TIME_UNIT: u64 = 100;

/// The values of settings by key.
#[derive(Default)]
pub(crate) struct Pairs(BTreeMap<String, String>);

impl Pairs {
    /// Parses one pair a line; empty lines are skipped.
    pub(crate) fn parse(text: &[u8]) -> Result<Pairs> {
        let text = std::str::from_utf8(text).context("settings: not UTF-8")?;
        let mut pairs = Pairs::default();
        for (index, line) in text.lines().enumerate() {
            if line.is_empty() {
                continue;
            }
            let Some((key, value)) = line.split_once('=') else {
                bail!("settings: line {} is not a path=value pair", index + 1);
            };
            if pairs.insert(key.into(), value.into()).is_some() {
                bail!("settings: {key} is given twice");
            }
        }
        Ok(pairs)
    }

    /// Sets the value of a key and returns the previous one.
    pub(crate) fn insert(&mut self, key: String, value: String) -> Option<String> {
        self.0.insert(key, value)
    }

    /// Returns the text of a key that may be missing.
    pub(crate) fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    /// Whether the key is given.
    pub(crate) fn contains(&self, key: &str) -> bool {
        self.0.contains_key(key)
    }

    /// Returns the text of a key.
    pub(crate) fn text(&self, key: &str) -> Result<&str> {
        self.get(key).ok_or_else(|| anyhow!("settings: {key} is missing"))
    }

    /// Parses the value of a key.
    pub(crate) fn value<T: FromStr>(&self, key: &str) -> Result<T> {
        let text = self.text(key)?;
        text.parse().map_err(|_| anyhow!("settings: {key} has a malformed value: {text:?}"))
    }

    /// Parses a number that must be finite and not negative.
    pub(crate) fn non_negative(&self, key: &str) -> Result<f64> {
        let number: f64 = self.value(key)?;
        if !number.is_finite() || number < 0.0 {
            bail!("settings: {key} is out of range: {number}");
        }
        Ok(number)
    }

    /// Parses a number that must be finite and above 0. With a limit of 0, no line could ever be sent.
    pub(crate) fn positive(&self, key: &str) -> Result<f64> {
        let number = self.non_negative(key)?;
        if number == 0.0 {
            bail!("settings: {key} must be above 0");
        }
        Ok(number)
    }

    /// Parses a time that is given in microseconds and rounds it down to the unit of [`Time`].
    pub(crate) fn time(&self, key: &str) -> Result<Time> {
        let microseconds: u64 = self.value(key)?;
        Ok(Time(microseconds / MICROSECONDS_PER_TIME_UNIT))
    }

    /// Returns the choice whose name is the value of a key.
    pub(crate) fn choice<T: Copy>(&self, key: &str, choices: &[(&str, T)]) -> Result<T> {
        let text = self.text(key)?;
        choices
            .iter()
            .find(|(name, _)| *name == text)
            .map(|(_, choice)| *choice)
            .ok_or_else(|| anyhow!("settings: {key} has an unknown value: {text:?}"))
    }

    /// Returns the items of a list separated by commas, without empty ones.
    pub(crate) fn list(&self, key: &str) -> Result<impl Iterator<Item = &str>> {
        Ok(self.text(key)?.split(',').filter(|item| !item.is_empty()))
    }
}
