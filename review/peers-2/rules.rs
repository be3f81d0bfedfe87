//! The rules, as the users' pages state them.

use crate::world::{Condition, World};

impl World {
    /// Rule 3. The clock starts when the pilot was told, or when the proxy joined, whichever is later.
    pub fn check_drain(&mut self, now: f64, proxy: usize, endpoint: usize) {
        let (Some(told), Some(joined)) = (self.endpoints[endpoint].told_ended, self.proxies[proxy].joined) else {
            return;
        };
        let since = now - told.max(joined).max(self.first_alive.unwrap_or(f64::INFINITY) + 1000.0);
        self.worst_drain = self.worst_drain.max(since);
        if since > self.site.grace_ms + 300.0 {
            let name = self.endpoints[endpoint].name.clone();
            let zone = self.proxies[proxy].zone;
            self.break_rule(format!(
                "drain: proxy {proxy} (zone {zone}) sends to {name} {since:.0} ms after the pilot was told"
            ));
        }
    }

    /// Rule 1.
    pub fn check_bare(&mut self, now: f64) {
        for proxy in 0..self.proxies.len() {
            for class in 0..self.site.classes.len() {
                let has_endpoint = (0..self.endpoints.len()).any(|index| {
                    let e = &self.endpoints[index];
                    e.listed == "active" && self.is_warm(e, now) && self.is_open_to(index, proxy, class)
                });
                let is_bare =
                    self.proxies[proxy].joined.is_some() && has_endpoint && self.lines(proxy, class).is_empty();
                if !is_bare {
                    self.proxies[proxy].bare_since[class] = None;
                    continue;
                }
                let begin = now.max(self.first_alive.unwrap_or(f64::INFINITY) + 1000.0);
                let since = *self.proxies[proxy].bare_since[class].get_or_insert(begin);
                self.worst_bare = self.worst_bare.max(now - since);
                if now - since > self.site.blackhole_ms + 300.0 {
                    let name = self.site.classes[class].name;
                    self.break_rule(format!(
                        "bare: proxy {proxy} has had no line to pick for {name} for {:.0} ms",
                        now - since
                    ));
                }
            }
        }
    }

    /// Rule 4: over any window of the tipping time and 300 ms more, with a slack of two calls for chance.
    pub fn check_cold(&mut self, index: usize, now: f64) {
        let window = self.site.tip_after_ms + 300.0;
        let Some(started) = self.endpoints[index].started else { return };
        if self.endpoints[index].condition != Condition::Up || self.endpoints[index].fallen.is_some() {
            return;
        }
        while self.endpoints[index].work.front().is_some_and(|(at, ..)| *at < now - window) {
            self.endpoints[index].work.pop_front();
        }
        if now < started + window || now > started + self.site.warm_up_ms {
            return;
        }
        let sent: f64 = self.endpoints[index].work.iter().map(|(_, work, _)| work).sum();
        let known: f64 = self.endpoints[index].work.iter().filter(|(.., knows)| *knows).map(|(_, work, _)| work).sum();
        let steps = 16;
        let mean = (0..steps).map(|step| {
            self.capacity_at(index, now - window + window * (step as f64 + 0.5) / steps as f64)
        });
        let able = mean.sum::<f64>() / steps as f64 * window / 1000.0;
        let largest = self.site.classes.iter().map(|class| class.work).fold(0.0, f64::max);
        self.worst_cold = self.worst_cold.max((sent - 2.0 * largest) / able);
        if sent > self.site.fall_multiple * able + 2.0 * largest && known * 3.0 >= sent * 2.0 {
            let e = &mut self.endpoints[index];
            e.fallen = Some(now);
            let name = e.name.clone();
            self.break_rule(format!(
                "cold: {name}, started {:.0} ms ago, was sent {sent:.2} s of work in {window:.0} ms and could do {able:.2} \
                 s: {:.2} times; it falls over",
                now - started,
                sent / able
            ));
        }
    }

    pub fn break_rule(&mut self, text: String) {
        if self.broken.len() < 20 {
            self.note(format!("RULE BROKEN: {text}"));
        }
        self.broken.push(text);
    }
}
