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

/// The watch over discovery's list.
#[derive(Debug, Default)]
struct Watch {
    /// Wanted at all, and the number of the one that is open or was last.
    wanted: bool,
    open: bool,
    number: u64,
    /// One at an address that discovery has left: kept until another is answered, so that nothing told
    /// meanwhile is missed.
    former: Option<u64>,
    /// The version held; the whole list is needed before the next watch.
    version: u64,
    gap: bool,
    failures: u32,
    again: Option<Time>,
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
    /// Those that have not joined, and since when they are here.
    strangers: BTreeMap<ConnId, Time>,
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
        let again = self.watch.again;
        let wake = self.ordered.bells.first().copied().into_iter().chain(again).chain(self.dismissal()).min();
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
        let left = self.places.saturating_sub(self.conns.len() - self.strangers.len());
        let free = self.places / limits::SOCKETS_FREE_PART;
        self.strangers.len() > left.saturating_sub(free).max(left / 2)
    }

    /// When the oldest stranger is to be ended.
    fn dismissal(&self) -> Option<Time> {
        let patience = if self.crowded() { limits::NEWCOMER } else { limits::STRANGER_LONGEST };
        self.strangers.first_key_value().map(|(_, since)| *since + patience)
    }

    /// Ends those that have had their time to join; who only asked for a sign of life has had the answer.
    fn dismiss(&mut self) {
        while self.dismissal().is_some_and(|due| due <= self.now) {
            let counter = if self.crowded() { "strangers ended for room" } else { "strangers ended in time" };
            self.counters.add(counter, 1);
            self.end_oldest(1);
        }
    }

    /// Ends connections that have not joined, the oldest first, once their first message can have come.
    fn end_oldest(&mut self, count: usize) {
        let old = |(_, since): &(&ConnId, &Time)| **since + limits::NEWCOMER <= self.now;
        let oldest: Vec<ConnId> =
            self.strangers.iter().take_while(old).take(count).map(|(conn, _)| *conn).collect();
        oldest.into_iter().for_each(|conn| self.drop_conn(conn));
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
                self.counters.add("streams opened", 1);
                if let Some(old) = self.ordered.streams.get(&proxy).map(|stream| stream.conn) {
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
        if std::mem::take(&mut self.watch.open) {
            // Of two in a row that were never answered, only the first is worth keeping.
            match self.watch.former {
                Some(_) => self.effects.push(Effect::Unwatch(self.watch.number)),
                None => self.watch.former = Some(self.watch.number),
            }
        }
        (self.watch.failures, self.watch.again) = (0, None);
    }

    fn watching(&mut self, number: u64) {
        if self.watch.open && number == self.watch.number {
            self.effects.extend(self.watch.former.take().map(Effect::Unwatch));
        }
    }

    fn news(&mut self, number: Option<u64>, news: News) {
        let current = |number| self.watch.open && number == self.watch.number;
        let former = number.is_some() && number == self.watch.former;
        if number.is_some_and(|number| !current(number) && !former) {
            return self.counters.add("news of ended watches", 1);
        }
        if news.unreadable > 0 {
            self.counters.add("entries unreadable", news.unreadable as u64);
            self.complain(format!("discovery: {} entries can't be read", news.unreadable));
        }
        if !news.whole && news.version < self.watch.version {
            // What lies between is not known: the list held stands until the whole one comes.
            self.counters.add("false versions", 1);
            if former {
                return self.effects.extend(self.watch.former.take().map(Effect::Unwatch));
            }
            self.watch.gap = true;
            return self.end_watch("a version before the one held");
        }
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
        if number.is_none() {
            self.watch.gap = false;
            if self.watch.wanted && !self.watch.open {
                self.watch.again = Some(self.now);
            }
        }
    }

    fn news_ended(&mut self, number: Option<u64>, cause: &str) {
        if number.is_some() && number == self.watch.former {
            self.counters.add("watches ended", 1);
            self.watch.former = None;
        } else if number.is_none() || number == Some(self.watch.number) && self.watch.open {
            self.end_watch(cause);
        }
    }

    /// The watch is over, or the whole list did not come: tried again after a while.
    fn end_watch(&mut self, cause: &str) {
        self.counters.add("watches ended", 1);
        self.complain(format!("discovery: {cause}"));
        if std::mem::take(&mut self.watch.open) {
            self.effects.push(Effect::Unwatch(self.watch.number));
        }
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
            if !on && std::mem::take(&mut self.watch.open) {
                self.effects.push(Effect::Unwatch(self.watch.number));
            }
            if !on {
                self.effects.extend(self.watch.former.take().map(Effect::Unwatch));
            }
            (self.watch.wanted, self.watch.again) = (on, None);
        }
        if !self.watch.wanted || self.watch.open || self.watch.again.is_some_and(|at| self.now < at) {
            return;
        }
        if self.watch.gap {
            self.effects.push(Effect::Fetch);
            self.watch.again = Some(self.now + limits::FETCH_LONGEST);
            return;
        }
        self.watch.again = None;
        self.watch.open = true;
        self.watch.number += 1;
        self.counters.add("watches opened", 1);
        self.effects.push(Effect::Watch { number: self.watch.number, since: self.watch.version });
    }
}
