//! The one reducer: every input changes the state here, and nothing else does.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use oatpitch::Balance;
use oatpitch::interface::*;

use super::counters::Counters;
use super::heard::{Entry, News, Said};
use super::names::Names;
use super::ordered::Ordered;
use super::{ConnId, Effect, Ending, Grade, Input, limits};
use crate::must;

/// Who is at the other end of a connection, as far as it has said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Party {
    Stranger,
    Collector,
    Proxy(ProxyId),
}

/// Something asked of discovery, by its number, and the version that it has come to: a watch begins with the one
/// that it was opened from, and a fetch keeps the one that was held when it was asked for.
#[derive(Clone, Copy, Debug)]
struct Ask {
    number: u64,
    version: u64,
}

/// What is asked of discovery, and what was heard.
#[derive(Debug, Default)]
struct Watch {
    /// Wanted at all, and the one that is open.
    wanted: bool,
    open: Option<Ask>,
    /// The number last given: watches and fetches have them in turn, so that none is taken for another.
    number: u64,
    /// One at an address that discovery has left: kept until another is answered, so that nothing told
    /// meanwhile is missed.
    former: Option<Ask>,
    fetch: Option<Ask>,
    /// The version held; the whole list is needed before the next watch.
    version: u64,
    gap: bool,
    /// An older list than the one held was told: when the whole list is asked for, to be taken as it stands.
    doubted: Option<Time>,
    failures: u32,
    again: Option<Time>,
}

impl Watch {
    fn ask(&mut self) -> Ask {
        self.number += 1;
        Ask { number: self.number, version: self.version }
    }
}

/// Takes out what was asked under a number.
fn take(ask: &mut Option<Ask>, number: u64) -> Option<Ask> {
    ask.take_if(|ask| ask.number == number)
}

/// What the reducer starts from.
pub struct Start {
    pub mandate: Mandate,
    pub classes: u16,
    pub seed: u64,
    pub known: News,
    pub discovery: SocketAddr,
    /// The most connections, strangers included.
    pub places: usize,
}

pub struct Memory {
    balance: Balance,
    ordered: Ordered,
    names: Names,
    /// The list of an earlier life has been taken.
    started: bool,
    conns: BTreeMap<ConnId, (Party, SocketAddr)>,
    /// What joined proxies said of themselves; those without anything have no entry.
    tags: BTreeMap<ProxyId, BTreeMap<String, String>>,
    places: usize,
    /// What a message counts in the channel beside its lines.
    head: f64,
    /// Those that have not joined, and since when they are here; and those of them that are being dismissed.
    strangers: BTreeMap<ConnId, Time>,
    dismissed: BTreeSet<ConnId>,
    /// The roster speaks only when the module asks.
    asked: bool,
    watch: Watch,
    /// The version of the list that the tables, withdrawals and marks ordered so far stand for in full.
    settled: u64,
    discovery: SocketAddr,
    chance: fastrand::Rng,
    now: Time,
    /// When the log's room for faults of others was last full, and lines since then.
    logged: (Time, u32),
    pub counters: Counters,
    effects: Vec<Effect>,
}

impl Memory {
    /// A new start: the list of an earlier life is heard before anything else.
    pub fn begin(now: Time, start: Start) -> (Memory, Vec<Effect>) {
        let mut ordered = Ordered::new(start.classes);
        let (asked, head) = (start.mandate.roster_asked, start.mandate.message_head);
        let balance = Balance::begin(now, start.mandate, start.seed, &mut ordered);
        let mut memory = Memory {
            balance,
            ordered,
            names: Names::default(),
            started: false,
            conns: BTreeMap::new(),
            tags: BTreeMap::new(),
            places: start.places,
            head,
            strangers: BTreeMap::new(),
            dismissed: BTreeSet::new(),
            asked,
            watch: Watch { wanted: !asked, ..Watch::default() },
            settled: 0,
            discovery: start.discovery,
            chance: fastrand::Rng::with_seed(start.seed),
            now,
            logged: (now, 0),
            counters: Counters::default(),
            effects: Vec::new(),
        };
        memory.watch.version = start.known.version;
        let known = memory.listings(&start.known.entries);
        memory.balance.roster_whole(now, &known, true, &mut memory.ordered);
        memory.balance.rang(now, &mut memory.ordered);
        memory.started = true;
        let effects = memory.close();
        (memory, effects)
    }

    /// One turn: all that came by now, one input after another, then what it asks to be done.
    pub fn turn(&mut self, now: Time, inputs: impl IntoIterator<Item = Input>) -> Vec<Effect> {
        // What a turn writes to a proxy is one message: a second turn at the same time would make two of it.
        self.now = now.max(self.now + Time(1));
        for input in inputs {
            self.take(input);
        }
        self.dismiss();
        self.balance.rang(self.now, &mut self.ordered);
        self.close()
    }

    fn take(&mut self, input: Input) {
        let now = self.now;
        match input {
            Input::Opened(conn, peer) => self.opened(conn, peer),
            Input::Refused => {
                self.counters.add("connections refused", 1);
                self.end_oldest(limits::REFUSED_ROOM);
            }
            Input::Said(conn, said) => self.said(conn, said),
            Input::Spoilt(conn, cause) => self.unusable(conn, "messages spoilt", &cause.to_string()),
            Input::Ended(conn, ending) => self.ended(conn, ending),
            Input::Renewed(renewal) => self.renewed(renewal),
            Input::Entered(lines) => self.balance.entered(now, lines),
            Input::Advised(advice) => {
                self.counters.add("advice taken", 1);
                self.balance.advise(now, advice);
            }
            Input::Noted(lines) => lines.into_iter().for_each(|line| self.complain(line)),
            Input::Watching(number) => self.watching(number),
            Input::News(number, news) => self.news(number, news),
            Input::NewsEnded(number, cause) => self.news_ended(number, &cause),
            Input::Peer(from) => {
                let name = if from.is_some() { "datagrams of peers" } else { "datagrams dropped" };
                self.counters.add(name, 1);
            }
            Input::Bell => {
                let later = self.ordered.bells.split_off(&(now + Time(1)));
                let due = std::mem::replace(&mut self.ordered.bells, later);
                if let Some(first) = due.first() {
                    self.counters.add("bells", 1);
                    if *first < now {
                        self.counters.add("bells late by a tick or more", 1);
                        self.counters.peak("latest bell in ms", (now - *first).0 / 10);
                    }
                }
            }
        }
    }

    /// The version of the list that all that was ordered so far stands for in full.
    pub fn settled(&self) -> u64 {
        self.settled
    }

    /// What the module shows of itself, and the names of its nodes.
    pub fn look(&self) -> (Look, BTreeMap<NodeId, String>) {
        let look = self.balance.look();
        let name = |node: &NodeLook| Some((node.node, self.names.name(node.node)?.to_string()));
        let names = look.nodes.iter().filter_map(name).collect();
        (look, names)
    }

    /// What joined proxies said of themselves.
    pub fn tags(&self) -> BTreeMap<u16, BTreeMap<String, String>> {
        self.tags.iter().map(|(proxy, tags)| (proxy.0, tags.clone())).collect()
    }

    /// A node by its name.
    pub fn node(&self, name: &str) -> Option<NodeId> {
        self.names.id(name)
    }

    /// How many nodes have a name here.
    #[cfg(test)]
    pub fn known(&self) -> usize {
        self.names.count()
    }

    /// Ends the turn.
    fn close(&mut self) -> Vec<Effect> {
        if self.balance.settled() {
            self.settled = self.watch.version;
        }
        let (mut lines, mut proxies) = (0.0, 0);
        for (conns, message) in self.ordered.close(self.now, self.settled, &self.names, &mut self.counters) {
            proxies += conns.len();
            lines += conns.len() as f64 * (message.cost() as f64 + self.head);
            self.effects.push(Effect::Order(conns, message));
        }
        // What was reckoned with is put right by what is written: nodes let back, and who is told of a withdrawal.
        self.balance.counted(lines, proxies);
        for node in self.ordered.forgotten() {
            self.counters.add("nodes forgotten", 1);
            self.names.forget(node);
        }
        self.follow();
        for (node, text) in std::mem::take(&mut self.ordered.notes) {
            let name = node.and_then(|node| self.names.name(node)).map(|name| format!("{name} "));
            self.effects.push(Effect::Log(Grade::Info, name.unwrap_or_default() + &text));
        }
        let orders = std::mem::take(&mut self.ordered.effects);
        let tells = orders.iter().filter(|effect| matches!(effect, Effect::Tell(..))).count();
        if tells > 0 {
            self.counters.add("datagrams ordered", tells as u64);
        }
        self.effects.extend(orders);
        let (again, doubted) = (self.watch.again, self.watch.doubted);
        let wake = self.ordered.bells.first().copied().into_iter().chain(again).chain(doubted);
        let wake = wake.chain(self.dismissal()).min();
        self.effects.extend(wake.map(Effect::Wake));
        std::mem::take(&mut self.effects)
    }

    /// Faults of others are logged as far as the room for them goes.
    fn complain(&mut self, text: String) {
        if self.now >= self.logged.0 + limits::FAULTS_SPAN {
            self.logged = (self.now, 0);
        }
        self.logged.1 += 1;
        if self.logged.1 <= limits::FAULTS_LOGGED {
            self.effects.push(Effect::Log(Grade::Warning, text));
        } else {
            self.counters.add("log lines left out", 1);
        }
    }
}

// ---- Connections ----

impl Memory {
    fn opened(&mut self, conn: ConnId, peer: SocketAddr) {
        self.counters.add("connections opened", 1);
        self.conns.insert(conn, (Party::Stranger, peer));
        self.strangers.insert(conn, self.now);
        self.counters.peak("connections at most", self.conns.len() as u64);
    }

    /// Strangers leave some places free; where those that joined have taken nearly all, half of what is left.
    fn crowded(&self) -> bool {
        let joined = self.conns.len().saturating_sub(self.strangers.len() + self.dismissed.len());
        let left = self.places.saturating_sub(joined);
        let free = self.places / limits::SOCKETS_FREE_PART;
        self.strangers.len() > left.saturating_sub(free).max(left / 2)
    }

    /// When the oldest stranger is to be ended.
    fn dismissal(&self) -> Option<Time> {
        let patience = if self.crowded() { limits::NEWCOMER } else { limits::STRANGER_LONGEST };
        self.strangers.first_key_value().map(|(_, since)| *since + patience)
    }

    /// Dismisses those that have had their time to join; who only asked for a sign of life has had the answer.
    fn dismiss(&mut self) {
        while self.dismissal().is_some_and(|due| due <= self.now) {
            let counter = if self.crowded() { "strangers ended for room" } else { "strangers ended in time" };
            self.counters.add(counter, 1);
            self.end_oldest(1);
        }
    }

    /// Dismisses connections that have not joined, the oldest first, once their first message can have come.
    /// Whoever reads them ends them, unless they have joined by then: what came may not have been heard yet, as
    /// after a stall, and a proxy turned away has no other conductor to answer for it.
    fn end_oldest(&mut self, count: usize) {
        let old = |(_, since): &(&ConnId, &Time)| **since + limits::NEWCOMER <= self.now;
        let oldest: Vec<ConnId> =
            self.strangers.iter().take_while(old).take(count).map(|(conn, _)| *conn).collect();
        for conn in oldest {
            self.strangers.remove(&conn);
            self.dismissed.insert(conn);
            self.effects.push(Effect::Dismiss(conn));
        }
    }

    fn said(&mut self, conn: ConnId, said: Said) {
        let Some((party, _)) = self.conns.get(&conn).copied() else {
            // Ended by the memory while this was on its way.
            return self.counters.add("messages of ended connections", 1);
        };
        let now = self.now;
        match (said, party) {
            (Said::Probe, _) => {
                self.counters.add("probes answered", 1);
                self.effects.push(Effect::Alive(conn));
            }
            (Said::Collector { .. }, Party::Stranger | Party::Collector) => {
                self.counters.add("collectors", 1);
                self.name(conn, Party::Collector);
            }
            (Said::Joined { proxy, zone, rate, fresh, anew, tags }, Party::Stranger) => {
                let held = self.ordered.streams.get(&proxy).map(|stream| stream.conn);
                if held.is_some_and(|held| held > conn) {
                    // The greeting of a connection given up since, late: the newer one is the proxy's stream,
                    // whichever is heard last.
                    self.counters.add("streams overtaken", 1);
                    return self.drop_conn(conn);
                }
                self.counters.add("streams opened", 1);
                if let Some(old) = held {
                    // Dialled anew before the old end was seen: the old one is over.
                    self.counters.add("streams replaced", 1);
                    self.drop_conn(old);
                }
                self.name(conn, Party::Proxy(proxy));
                self.ordered.join(proxy, conn, anew);
                if !tags.is_empty() {
                    self.tags.insert(proxy, tags);
                }
                self.balance.joined(now, proxy, zone, rate, fresh);
            }
            (Said::Acknowledged { proxy, mark, took }, Party::Proxy(own)) if own == proxy => {
                match self.ordered.answered(now, proxy, mark, took) {
                    Some(mark) => {
                        self.counters.add("marks answered", 1);
                        self.balance.acknowledged(now, mark, took);
                    }
                    None => self.counters.add("marks never ordered", 1),
                }
            }
            (Said::Met { node, zone, tries, lost, mean, span, load }, Party::Collector) => {
                match self.names.id(&node) {
                    Some(node) => {
                        self.counters.add("sums heard", 1);
                        let met = Met { node, zone, span, tries, lost, mean, load };
                        self.balance.met(now, &met);
                    }
                    None => self.counters.add("sums of nodes never listed", 1),
                }
            }
            (Said::Asked { proxy, class, exchanges, lost, span }, party)
                if party == Party::Collector || party == Party::Proxy(proxy) =>
            {
                if self.ordered.streams.contains_key(&proxy) {
                    self.counters.add("demand heard", 1);
                    let asked = Asked { proxy: Some(proxy), class, exchanges, lost, span };
                    self.balance.asked(now, &asked);
                } else {
                    self.counters.add("demand of proxies not joined", 1);
                }
            }
            _ => self.unusable(conn, "messages out of place", "out of place"),
        }
    }

    /// A message that can't be used costs one who has joined that message alone, as those around it are good.
    /// Of a stranger nothing is known that would make it worth keeping.
    fn unusable(&mut self, conn: ConnId, counter: &'static str, cause: &str) {
        match self.conns.get(&conn).copied() {
            None => self.counters.add("messages of ended connections", 1),
            Some((Party::Stranger, _)) => self.fault(conn, "faults: strangers", cause),
            Some((party, peer)) => {
                self.counters.add(counter, 1);
                self.complain(format!("{peer} ({party:?}): a message dropped: {cause}"));
            }
        }
    }

    fn name(&mut self, conn: ConnId, party: Party) {
        self.strangers.remove(&conn);
        self.dismissed.remove(&conn);
        if let Some(known) = self.conns.get_mut(&conn) {
            known.0 = party;
        }
    }

    fn ended(&mut self, conn: ConnId, ending: Ending) {
        if !self.conns.contains_key(&conn) {
            return;
        }
        match ending {
            Ending::Closed => self.counters.add("connections closed", 1),
            Ending::Broken => self.counters.add("connections broken", 1),
            Ending::Dismissed => self.counters.add("strangers ended", 1),
            Ending::Unread => {
                return self.fault(conn, "faults: unread", "too much is left unread");
            }
            Ending::Crowded => {
                return self.fault(conn, "faults: crowded", "buffers are full");
            }
            Ending::Unusable(cause) => {
                return self.fault(conn, "faults: unusable", &cause.to_string());
            }
        }
        self.drop_conn(conn);
    }

    /// A connection that can't be gone on with is ended, and it alone.
    fn fault(&mut self, conn: ConnId, counter: &'static str, cause: &str) {
        self.counters.add(counter, 1);
        if let Some((party, peer)) = self.conns.get(&conn).copied() {
            self.complain(format!("{peer} ({party:?}) ended: {cause}"));
        }
        self.drop_conn(conn);
    }

    fn drop_conn(&mut self, conn: ConnId) {
        self.strangers.remove(&conn);
        self.dismissed.remove(&conn);
        self.effects.push(Effect::End(conn));
        if let Some((Party::Proxy(proxy), _)) = self.conns.remove(&conn) {
            let own = self.ordered.streams.get(&proxy).is_some_and(|stream| stream.conn == conn);
            must!(self.counters, own, "a proxy's connection is its stream");
            self.counters.add("streams ended", 1);
            self.ordered.leave(proxy);
            self.tags.remove(&proxy);
            self.balance.left(self.now, proxy);
        }
    }
}

// ---- Discovery ----

impl Memory {
    fn listings(&mut self, entries: &[Entry]) -> Vec<Listing> {
        let listing = |entry: &Entry| {
            // Known before the start, it would have been listed then: it may be one that was forgotten.
            let back = self.started && self.names.id(&entry.node).is_none();
            let node = self.names.list(&entry.node);
            if back || entry.started.is_some() || entry.standing != Standing::Ready {
                self.ordered.doubt(node);
            }
            Listing {
                node,
                zone: ZoneId(entry.zone),
                kind: self.names.kind(&entry.kind),
                standing: entry.standing,
                weight: entry.weight,
                started: entry.started,
            }
        };
        entries.iter().map(listing).collect()
    }

    /// Streams, tables and the list held stay as they are, whatever the file says.
    fn renewed(&mut self, renewal: Result<(SocketAddr, Vec<&'static str>), String>) {
        let (address, fixed) = match renewal {
            Ok(renewal) => renewal,
            Err(cause) => {
                self.counters.add("configurations refused", 1);
                return self.complain(format!("configuration not taken over: {cause}"));
            }
        };
        self.counters.add("configurations read anew", 1);
        for key in fixed {
            self.complain(format!("configuration: {key} has changed, which takes a new start"));
        }
        if address == self.discovery {
            return;
        }
        self.complain(format!("discovery: from {} to {address}", self.discovery));
        self.discovery = address;
        self.effects.push(Effect::Discovery(address));
        if let Some(open) = self.watch.open.take() {
            // Of two in a row that were never answered, only the first is worth keeping.
            match self.watch.former {
                Some(_) => self.effects.push(Effect::Unwatch(open.number)),
                None => self.watch.former = Some(open),
            }
        }
        // A list that the address left may still send would come after newer ones.
        self.let_go(|watch| &mut watch.fetch);
        (self.watch.failures, self.watch.again) = (0, None);
    }

    fn let_go(&mut self, which: impl Fn(&mut Watch) -> &mut Option<Ask>) {
        let ended = which(&mut self.watch).take().map(|ask| Effect::Unwatch(ask.number));
        self.effects.extend(ended);
    }

    fn watching(&mut self, number: u64) {
        if self.watch.open.is_some_and(|open| open.number == number) {
            self.let_go(|watch| &mut watch.former);
        }
    }

    fn news(&mut self, number: u64, news: News) {
        if news.unreadable > 0 {
            self.counters.add("entries unreadable", news.unreadable as u64);
            self.complain(format!("discovery: {} entries can't be read", news.unreadable));
        }
        let (version, held) = (news.version, self.watch.version);
        if let Some(fetch) = take(&mut self.watch.fetch, number) {
            self.effects.push(Effect::Unwatch(number));
            if version >= held {
                (self.watch.gap, self.watch.doubted) = (false, None);
                self.take_news(news);
            } else if held > fetch.version {
                // Older than what was heard meanwhile: the next need not be.
                self.counters.add("lists overtaken", 1);
                let again = Some(self.now + limits::RECONNECT_FIRST);
                (self.watch.again, self.watch.doubted) =
                    if self.watch.gap { (again, None) } else { (self.watch.again, again) };
                return;
            } else {
                self.watch.gap = false;
                self.take_older(news);
            }
            if self.watch.wanted && self.watch.open.is_none() {
                self.watch.again = Some(self.now);
            }
            return;
        }
        let asked = [&mut self.watch.open, &mut self.watch.former].into_iter().flatten();
        let Some(asked) = asked.into_iter().find(|asked| asked.number == number) else {
            return self.counters.add("news of ended watches", 1);
        };
        let back = version < std::mem::replace(&mut asked.version, version);
        let former = self.watch.former.is_some_and(|former| former.number == number);
        match (back, news.whole) {
            (false, _) if version >= held => self.take_news(news),
            // Another watch has told it already, and what came after it.
            (false, _) => self.counters.add("news heard before", 1),
            (true, _) if former => {
                self.counters.add("false versions", 1);
                self.let_go(|watch| &mut watch.former);
            }
            (true, true) => self.take_older(news),
            (true, false) => {
                // What lies between is not known: the list held stands until the whole one comes.
                self.counters.add("false versions", 1);
                self.watch.gap = true;
                self.end_watch("a version before the one held");
            }
        }
    }

    /// News no older than what is held.
    fn take_news(&mut self, news: News) {
        self.counters.add(if news.whole { "whole lists" } else { "changes of the list" }, 1);
        (self.watch.version, self.watch.failures) = (news.version, 0);
        let listings = self.listings(&news.entries);
        // With an entry missing, what is not named is not known to be gone.
        if news.whole && news.unreadable == 0 {
            let named: BTreeSet<&str> = news.entries.iter().map(|entry| entry.node.as_str()).collect();
            self.names.missing(&named).into_iter().for_each(|node| self.ordered.doubt(node));
            self.balance.roster_whole(self.now, &listings, false, &mut self.ordered);
        } else {
            self.balance.roster_changed(self.now, &listings, &mut self.ordered);
        }
    }

    /// A whole list older than the one held: kept by somebody on the way, or discovery has truly gone back. The
    /// one must not undo a drain nor drop what was told since; the other is taken as it stands once it still
    /// says so after the time in which all that was to be told counts as told.
    fn take_older(&mut self, news: News) {
        self.counters.add("older lists", 1);
        self.complain(format!("discovery: version {} after {}", news.version, self.watch.version));
        (self.watch.version, self.watch.failures) = (news.version, 0);
        let (look, _) = self.look();
        let shut: BTreeSet<NodeId> =
            look.nodes.iter().filter(|node| !node.open).map(|node| node.node).collect();
        let listings = self.listings(&news.entries);
        let still = |listing: &Listing| listing.standing != Standing::Ready || !shut.contains(&listing.node);
        let listings: Vec<Listing> = listings.into_iter().filter(still).collect();
        self.balance.roster_changed(self.now, &listings, &mut self.ordered);
        self.watch.doubted = Some(self.now + limits::TOLD_LATEST);
    }

    fn news_ended(&mut self, number: u64, cause: &str) {
        if take(&mut self.watch.former, number).is_some() {
            self.counters.add("watches ended", 1);
            self.effects.push(Effect::Unwatch(number));
        } else if take(&mut self.watch.fetch, number).is_some() {
            self.effects.push(Effect::Unwatch(number));
            self.fetch_failed(cause);
        } else if self.watch.open.is_some_and(|open| open.number == number) {
            self.end_watch(cause);
        }
    }

    /// The whole list did not come. Where a watch stands all the same, it goes on.
    fn fetch_failed(&mut self, cause: &str) {
        if self.watch.gap {
            return self.end_watch(cause);
        }
        self.complain(format!("discovery: {cause}"));
        self.watch.doubted = Some(self.now + limits::TOLD_LATEST);
    }

    /// The watch is over, or the whole list did not come: tried again after a while.
    fn end_watch(&mut self, cause: &str) {
        self.counters.add("watches ended", 1);
        self.complain(format!("discovery: {cause}"));
        self.let_go(|watch| &mut watch.open);
        let wait = limits::RECONNECT_FIRST.0 << self.watch.failures.min(limits::RECONNECT_DOUBLINGS);
        self.watch.failures = self.watch.failures.saturating_add(1);
        let wait = Time((wait as f64 * (0.5 + self.chance.f64())) as u64);
        if self.asked {
            // The module's own business, by its own waits.
            self.watch.wanted = false;
            self.balance.roster_failed(self.now);
        } else {
            self.watch.again = Some(self.now + wait);
        }
    }

    /// Opens the watch where it should be open and is not.
    fn follow(&mut self) {
        if let Some(on) = self.ordered.watched.take() {
            if !on {
                self.let_go(|watch| &mut watch.open);
                self.let_go(|watch| &mut watch.former);
            }
            (self.watch.wanted, self.watch.again) = (on, None);
        }
        if std::mem::take(&mut self.ordered.fetched) || self.watch.doubted.is_some_and(|at| at <= self.now) {
            self.watch.doubted = None;
            self.fetch();
        }
        let open = self.watch.open.is_some();
        if !self.watch.wanted || open || self.watch.again.is_some_and(|at| self.now < at) {
            return;
        }
        if self.watch.gap {
            self.watch.again = Some(self.now + limits::FETCH_LONGEST);
            return self.fetch();
        }
        self.watch.again = None;
        let asked = self.watch.ask();
        self.watch.open = Some(asked);
        self.counters.add("watches opened", 1);
        self.effects.push(Effect::Watch { number: asked.number, since: asked.version });
    }

    /// Asks for the whole list; one asked for before is given up.
    fn fetch(&mut self) {
        self.let_go(|watch| &mut watch.fetch);
        let asked = self.watch.ask();
        self.watch.fetch = Some(asked);
        self.effects.push(Effect::Fetch(asked.number));
    }
}
