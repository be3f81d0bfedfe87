//! The module, the fleet it is told of, and the numbers between them.

use std::time::Duration;

use dahliaroad::Pilot;
use dahliaroad::interface::{EndpointId, EndpointState, EndpointUpdate, Orders, ProbeOutcome, ZoneId};
use dahliaroad_fleet::{Change, Changes, Fleet, Freshness, ServingState, SourceId, SourceMessage};

use crate::counters;
use crate::endpoint_ids::EndpointIds;

pub struct Controller {
    pub pilot: Pilot,
    pub endpoint_ids: EndpointIds,
    pub fleet: Fleet,
}

impl Controller {
    pub fn new(pilot: Pilot, fleet: Fleet) -> Controller {
        Controller { pilot, endpoint_ids: EndpointIds::default(), fleet }
    }

    /// A source's word; what the module is to hear of it later goes by [`apply_due`](Controller::apply_due).
    pub fn apply(&mut self, now: Duration, from: SourceId, word: SourceMessage) -> (Freshness, Orders) {
        let heard = self.fleet.apply(now, from, word);
        let counts = self.fleet.counts;
        let told = [
            (&counters::STALE, counts.stale),
            (&counters::GAPS, counts.gaps),
            (&counters::BARRED, counts.blocked),
            (&counters::UNREADABLE, counts.unreadable),
            (&counters::FORGOTTEN, counts.forgotten),
        ];
        told.into_iter().for_each(|(counter, count)| counter.set(count));
        (heard.verdict, heard.changes.map_or_else(Orders::default, |changes| self.list(now, changes)))
    }

    /// Tells the module what is due of what sources said.
    pub fn apply_due(&mut self, now: Duration) -> Orders {
        let changes = self.fleet.take_changes(now);
        counters::HELD.set(self.fleet.counts.held);
        changes.map_or_else(Orders::default, |changes| self.list(now, changes))
    }

    /// How a probe of this life ended: of the one that has the number now it says nothing, if that is another.
    pub fn probe_finished(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        life: u64,
        end: ProbeOutcome,
    ) -> Orders {
        let same = self.endpoint_ids.life(endpoint) == life;
        counters::OUTLIVED.add(usize::from(!same));
        self.pilot.probe_finished(now, endpoint, if same { end } else { ProbeOutcome::TurnedAway })
    }

    /// What the decisions stand at, for the line of counters.
    pub fn tell_counters(&self) {
        let waiting = self.pilot.lines_waiting() as usize;
        counters::LINES_WAITING.set(waiting);
        counters::MOST_LINES_WAITING.raise(waiting);
        let least = self.pilot.admissions().iter().copied().fold(1.0, f64::min);
        counters::LEAST_LEVEL.set((least * 1000.0) as usize);
    }

    /// The level of each class, by name.
    pub fn tell_levels(&self, classes: &[String]) {
        let levels = classes.iter().zip(self.pilot.admissions());
        let levels: Vec<String> = levels.map(|(class, level)| format!("{class} {level:.2}")).collect();
        tracing::info!("levels: {}", levels.join(", "));
    }

    /// A line a source: how far it has told, and how long ago it last said anything.
    pub fn tell_sources(&self, now: Duration) {
        for state in self.fleet.states() {
            let age = state.heard.map(|at| now.saturating_sub(at).as_secs_f64());
            let (epoch, revision) = state.known.map_or((0, 0), |(epoch, revision)| (epoch.0, revision.0));
            match age {
                Some(age) => tracing::info!(
                    "source {}: {} listed, revision {revision} of epoch {epoch}, heard {age:.1} s ago",
                    state.name,
                    state.listed
                ),
                None => tracing::info!("source {}: not heard yet", state.name),
            }
        }
    }

    fn list(&mut self, now: Duration, changes: Changes) -> Orders {
        counters::LISTS.add(1);
        let entries: Vec<EndpointUpdate> =
            changes.entries.iter().filter_map(|handed| self.listed(handed)).collect();
        let orders = self.pilot.update_endpoints(now, changes.whole, &entries);
        while let Some(gone) = self.pilot.release_endpoint_id() {
            self.endpoint_ids.release(gone);
        }
        orders
    }

    /// One that is gone and was never numbered is none of the module's.
    fn listed(&mut self, handed: &Change) -> Option<EndpointUpdate> {
        Some(match &handed.entry {
            Some(entry) => EndpointUpdate {
                endpoint: self.endpoint_ids.assign(&handed.name, entry.dial, entry.incarnation.started),
                zone: entry.zone,
                kind: entry.kind,
                weight: entry.weight,
                started: entry.incarnation.started,
                state: match entry.standing {
                    ServingState::Running => EndpointState::Running,
                    ServingState::Aside | ServingState::Draining => EndpointState::Draining,
                },
            },
            None => EndpointUpdate {
                endpoint: self.endpoint_ids.find(&handed.name)?,
                zone: ZoneId(0),
                kind: 0,
                weight: 0.0,
                started: None,
                state: EndpointState::Gone,
            },
        })
    }
}
