//! The query of a request to follow.

use std::collections::BTreeMap;

use oatpitch::interface::{ProxyId, ZoneId};

use super::server::ServerSettings;
use crate::core::line::{Epoch, FeedId, FeedPoint, Revision};
use crate::core::publisher::FollowRequest;

/// The maximum number of tags of a subscriber.
const MAX_TAGS: usize = 8;

/// The maximum length in bytes of a tag's name, and of its value.
const MAX_TAG_BYTES: usize = 64;

/// The maximum rate that a subscriber may state, in exchanges per second.
const MAX_RATE: f64 = 100_000.0;

/// A field of a request that is wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct FieldError {
    /// The name of the field.
    pub(super) key: &'static str,
    /// What is wrong with it.
    pub(super) problem: &'static str,
}

fn invalid(key: &'static str, problem: &'static str) -> FieldError {
    FieldError { key, problem }
}

/// The fields of a query, each by its key, and its tags by name.
struct QueryFields {
    fields: BTreeMap<String, String>,
    tags: BTreeMap<String, String>,
}

impl QueryFields {
    fn parse(query: &str) -> Result<QueryFields, FieldError> {
        let mut fields = BTreeMap::new();
        let mut tags = BTreeMap::new();
        for (key, value) in form_urlencoded::parse(query.as_bytes()) {
            if key == "tag" {
                let (name, value) =
                    value.split_once(':').ok_or(invalid("tag", "is not of the form NAME:VALUE"))?;
                let is_too_long = name.len() > MAX_TAG_BYTES || value.len() > MAX_TAG_BYTES;
                if name.is_empty() || is_too_long || tags.len() >= MAX_TAGS {
                    return Err(invalid("tag", "is too long, has no name, or is one of too many"));
                }
                tags.insert(name.into(), value.into());
                continue;
            }
            fields.insert(key.into_owned(), value.into_owned());
        }
        Ok(QueryFields { fields, tags })
    }

    fn get(&self, key: &str) -> Option<&str> {
        self.fields.get(key).map(String::as_str)
    }

    fn require(&self, key: &'static str) -> Result<&str, FieldError> {
        self.get(key).ok_or(invalid(key, "is missing"))
    }

    fn whole_number(&self, key: &'static str) -> Result<Option<u64>, FieldError> {
        match self.get(key) {
            Some(text) => text.parse::<u64>().map(Some).map_err(|_| invalid(key, "is no whole number")),
            None => Ok(None),
        }
    }

    /// Returns the point to resume from; `None` if the query names none.
    fn resume_point(&self) -> Result<Option<FeedPoint>, FieldError> {
        let feed = self.whole_number("feed")?;
        let revision = self.whole_number("revision")?;
        let feed =
            feed.map(u32::try_from).transpose().map_err(|_| invalid("feed", "is no number of a feed"))?;
        let epoch = match self.get("epoch") {
            Some(text) => Some(Epoch::parse(text).ok_or(invalid("epoch", "is no epoch"))?),
            None => None,
        };
        match (epoch, feed, revision) {
            (Some(epoch), Some(feed), Some(revision)) => {
                Ok(Some(FeedPoint { epoch, feed: FeedId(feed), revision: Revision(revision) }))
            }
            (None, None, None) => Ok(None),
            _ => Err(invalid("epoch", "goes with feed and revision, or none of the three")),
        }
    }
}

/// Parses the query of a request to follow.
pub(super) fn parse_follow_request(
    query: &str,
    settings: &ServerSettings,
) -> Result<FollowRequest, FieldError> {
    let fields = QueryFields::parse(query)?;
    let proxy: u32 =
        fields.require("proxy")?.parse().map_err(|_| invalid("proxy", "is no number of a proxy"))?;
    if proxy >= settings.proxy_count {
        return Err(invalid("proxy", "is beyond the proxies that there are"));
    }
    let zone = fields.require("zone")?;
    let zone = match &settings.zones {
        Some(zones) => {
            zones.iter().position(|known| known == zone).ok_or(invalid("zone", "is no zone known here"))?
        }
        None => 0,
    };
    let rate: f64 = fields.get("rate").unwrap_or("1").parse().map_err(|_| invalid("rate", "is no number"))?;
    if !(0.0..=MAX_RATE).contains(&rate) {
        return Err(invalid("rate", "is out of range: exchanges a second, 0 to 100000"));
    }
    let resume = fields.resume_point()?;
    let fresh = match fields.get("fresh") {
        None => resume.is_none(),
        Some("true") => true,
        Some("false") => false,
        Some(_) => return Err(invalid("fresh", "is neither true nor false")),
    };
    Ok(FollowRequest {
        proxy: ProxyId(proxy),
        zone: ZoneId(zone as u16),
        rate,
        fresh,
        resume,
        tags: fields.tags,
    })
}
