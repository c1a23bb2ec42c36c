//! Lines of the open stream: updates are assembled, and applied, kept beside the current table or refused.

use std::cmp::Ordering;

use super::{Action, CandidateTable, OpenStream, PartialUpdate, StreamError, Subscriber};
use crate::core::line::*;
use crate::core::order::{Position, TableOrder};
use crate::core::table::Table;

/// The maximum number of marks to acknowledge at once; a publisher requests one at a time.
const MAX_PENDING_MARKS: usize = 16;

/// The maximum size of an update in lines, so that its assembly is bounded.
const MAX_UPDATE_COST: usize = 1_000_000;

impl Subscriber {
    pub(super) fn handle_line(&mut self, line: Line, actions: &mut Vec<Action>) -> Result<(), StreamError> {
        let line = match (line, &self.stream) {
            (Line::Welcome(welcome), None) => {
                self.handle_welcome(welcome);
                return Ok(());
            }
            (Line::Welcome(_), Some(_)) => return Err(StreamError::SecondWelcome),
            (Line::End(reason), _) => return Err(StreamError::Ended(reason)),
            (_, None) => return Err(StreamError::BeforeWelcome),
            (line, Some(_)) => line,
        };
        let epoch = match &line {
            Line::Fragment(fragment) => &fragment.point.epoch,
            Line::Withdrawal(withdrawal) => &withdrawal.epoch,
            Line::Heartbeat(heartbeat) => &heartbeat.epoch,
            Line::Welcome(_) | Line::End(_) => return Ok(()),
        };
        if self.stream.as_ref().is_some_and(|open| open.welcome.epoch != *epoch) {
            return Err(StreamError::OtherEpoch);
        }
        match line {
            Line::Fragment(fragment) => self.handle_fragment(fragment, actions),
            Line::Withdrawal(withdrawal) => {
                self.handle_withdrawal(withdrawal, actions);
                Ok(())
            }
            Line::Heartbeat(heartbeat) => self.handle_heartbeat(&heartbeat, actions),
            Line::Welcome(_) | Line::End(_) => Ok(()),
        }
    }

    fn handle_welcome(&mut self, welcome: Welcome) {
        self.counters.add("welcomes", 1);
        self.stream = Some(OpenStream { welcome, caught_up: false, live: true, latest: Revision::default() });
        self.last_alive_sent = self.now;
    }

    /// Adds a fragment to the update that is being assembled, and applies the update once it is complete.
    fn handle_fragment(
        &mut self,
        fragment: UpdateFragment,
        actions: &mut Vec<Action>,
    ) -> Result<(), StreamError> {
        let UpdateFragment { point, base, roster, part_number, part_count, part, mark } = fragment;
        let continues = |partial: &PartialUpdate| {
            let update = &partial.update;
            partial.next_part == part_number
                && partial.part_count == part_count
                && update.point == point
                && update.base == base
                && update.roster == roster
        };
        let mut partial = match self.partial_update.take() {
            Some(partial) if continues(&partial) => partial,
            abandoned => {
                if abandoned.is_some() {
                    // An update is applied completely or not at all, so that its parts are dropped.
                    self.counters.add("steps never ended", 1);
                }
                if part_number != 1 {
                    return Err(StreamError::MissingPart);
                }
                let update = TableUpdate { point, base, roster, parts: Vec::new(), mark: None };
                PartialUpdate { update, next_part: 1, part_count }
            }
        };
        partial.update.parts.push(part);
        partial.update.mark = mark.or(partial.update.mark);
        if partial.update.cost() > MAX_UPDATE_COST {
            return Err(StreamError::UpdateTooLarge);
        }
        if part_number < part_count {
            partial.next_part += 1;
            self.partial_update = Some(partial);
            return Ok(());
        }
        self.handle_update(partial.update, actions)
    }

    /// Handles a complete update.
    fn handle_update(&mut self, update: TableUpdate, actions: &mut Vec<Action>) -> Result<(), StreamError> {
        let Some(open) = self.stream.as_ref() else { return Ok(()) };
        let offered = Position {
            epoch: update.point.epoch,
            feed: update.point.feed,
            revision: update.point.revision,
            lineage: open.welcome.lineage.clone(),
            roster: update.roster,
        };
        let classes: Vec<Name> = open.welcome.classes.iter().map(|terms| terms.name.clone()).collect();
        let Some(base) = update.base else {
            let mut table = Table::default();
            table.apply(&update.parts, &classes);
            let marks = update.mark.into_iter().collect();
            return self.consider_table(offered, table, marks, true, actions);
        };
        // A change builds on the latest table that this stream brought, whether or not it was applied.
        let no_marks = Vec::new();
        let latest = match &self.candidate {
            Some(candidate) => Some((&candidate.position, &candidate.table, &candidate.marks)),
            None => self.history.current().map(|current| (current, &self.table, &no_marks)),
        };
        let is_same_feed = |(position, ..): &(&Position, &Table, &Vec<u16>)| {
            position.epoch == offered.epoch && position.feed == offered.feed
        };
        let Some((position, table, marks)) = latest.filter(is_same_feed) else {
            return Err(StreamError::UnknownTable);
        };
        if offered.revision <= position.revision {
            self.counters.add("steps had before", 1);
            return Ok(());
        }
        if base != position.revision {
            return Err(StreamError::MissingChange);
        }
        let mut table = table.clone();
        table.apply(&update.parts, &classes);
        let mut marks = marks.clone();
        marks.extend(update.mark);
        self.consider_table(offered, table, marks, false, actions)
    }

    /// Applies a table, keeps it as the candidate, or drops it, according to its order.
    fn consider_table(
        &mut self,
        position: Position,
        table: Table,
        marks: Vec<u16>,
        is_snapshot: bool,
        actions: &mut Vec<Action>,
    ) -> Result<(), StreamError> {
        let order = self.history.compare(&position);
        // A snapshot is always the latest state. After a resumption only a heartbeat shows whether a change is.
        if let Some(open) = self.stream.as_mut().filter(|_| is_snapshot && order != TableOrder::Older) {
            open.caught_up = true;
        }
        match order {
            TableOrder::Newer => {
                let since = self.now;
                self.candidate = Some(CandidateTable { position, table, marks, order, since });
                self.apply_candidate(actions);
            }
            TableOrder::Same => {
                self.counters.add("steps had before", 1);
                self.candidate = None;
            }
            TableOrder::Older => {
                self.counters.add("older tables refused", 1);
                return Err(StreamError::OlderTable);
            }
            TableOrder::Behind | TableOrder::Unordered => {
                let previous = self.candidate.take().filter(|candidate| candidate.order == order);
                if previous.is_none() {
                    let counter =
                        if order == TableOrder::Behind { "tables behind" } else { "tables without order" };
                    self.counters.add(counter, 1);
                }
                let since = previous.map_or(self.now, |candidate| candidate.since);
                self.candidate = Some(CandidateTable { position, table, marks, order, since });
            }
        }
        Ok(())
    }

    /// Replaces the current table with the candidate.
    pub(super) fn apply_candidate(&mut self, actions: &mut Vec<Action>) {
        let Some(candidate) = self.candidate.take() else { return };
        self.counters.add("tables applied", 1);
        if self.history.current().is_some_and(|current| current.epoch != candidate.position.epoch) {
            self.counters.add("moves to another epoch", 1);
        }
        let epoch = &candidate.position.epoch;
        let revision = candidate.position.revision;
        let is_same_epoch = self.history.current().is_some_and(|current| current.epoch == *epoch);
        self.withdrawn_ahead.retain(|_, withdrawn_at| is_same_epoch && *withdrawn_at > revision);
        self.history.record(candidate.position);
        self.table = candidate.table;
        self.pending_marks.extend(candidate.marks);
        let excess = self.pending_marks.len().saturating_sub(MAX_PENDING_MARKS);
        self.pending_marks.drain(..excess);
        if let Some(open) = self.stream.as_mut() {
            open.latest = revision;
            let terms = &open.welcome.classes;
            self.classes = terms.iter().map(|terms| terms.name.clone()).collect();
            self.non_idempotent =
                terms.iter().map(|terms| (terms.name.clone(), terms.non_idempotent)).collect();
        }
        actions.push(Action::Applied);
    }

    /// Applies a withdrawal ahead of queued changes, if the sender's tables may be applied. A sender that is behind
    /// may withdraw a node that has long been restored.
    fn handle_withdrawal(&mut self, withdrawal: Withdrawal, actions: &mut Vec<Action>) {
        let Some(current) = self.history.current() else { return };
        let is_old = current.epoch != withdrawal.epoch || withdrawal.revision < current.revision;
        if self.candidate.is_some() || is_old {
            self.counters.add("withdrawals not taken", 1);
            return;
        }
        self.counters.add("withdrawals taken", 1);
        if withdrawal.revision > current.revision {
            let nodes = withdrawal.nodes.iter().map(|node| (node.clone(), withdrawal.revision));
            self.withdrawn_ahead.extend(nodes);
        }
        actions.push(Action::Withdrawn(withdrawal.nodes));
    }

    fn handle_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        actions: &mut Vec<Action>,
    ) -> Result<(), StreamError> {
        if let Some(open) = self.stream.as_mut() {
            open.live = heartbeat.live;
        }
        let Some((feed, revision)) = heartbeat.position else { return Ok(()) };
        let is_same_feed = |position: &Position| position.epoch == heartbeat.epoch && position.feed == feed;
        if let Some(candidate) = &mut self.candidate {
            if !is_same_feed(&candidate.position) || candidate.position.revision < revision {
                return Err(StreamError::HeartbeatOfUnknownRevision);
            }
            if candidate.position.revision == revision {
                candidate.position.roster = candidate.position.roster.max(heartbeat.roster);
                if self.history.compare(&candidate.position) == TableOrder::Newer {
                    self.apply_candidate(actions);
                }
            }
            return Ok(());
        }
        let Some(current) = self.history.current().filter(|current| is_same_feed(current)) else {
            return Err(StreamError::HeartbeatOfUnknownTable);
        };
        match revision.cmp(&current.revision) {
            Ordering::Greater => Err(StreamError::HeartbeatOfUnknownRevision),
            Ordering::Less => Ok(()),
            Ordering::Equal => {
                self.history.raise_roster(heartbeat.roster);
                if let Some(open) = &mut self.stream {
                    open.caught_up = true;
                    open.latest = open.latest.max(heartbeat.latest.unwrap_or_default());
                }
                Ok(())
            }
        }
    }
}
